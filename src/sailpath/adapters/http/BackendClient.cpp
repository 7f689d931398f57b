#include <sailpath/adapters/http/BackendClient.hpp>

#include "BackendStream.hpp"
#include "LibraryExchange.hpp"

#include <sailpath/http/Head.hpp>

#include <algorithm>
#include <charconv>
#include <optional>

namespace sailpath::adapters::http
{
namespace
{
constexpr std::size_t      maxIdlePerServer = 64;
constexpr core::Duration   maxIdleTime = std::chrono::seconds{20};
constexpr core::Duration   recentIdleTime = std::chrono::milliseconds{500};
constexpr std::string_view headEnd = "\r\n\r\n";

////////////////////////////////////////////////////////////
/// \brief Skip interim (1xx) answers at the start of the recorded bytes and return the final head
////////////////////////////////////////////////////////////
std::string_view finalHead(std::string_view recorded)
{
    while (recorded.starts_with("HTTP/1.1 1"))
    {
        const auto end = recorded.find(headEnd);
        if (end == std::string_view::npos)
            break;
        recorded.remove_prefix(end + headEnd.size());
    }
    return recorded;
}

////////////////////////////////////////////////////////////
/// \brief Build the head of the answer from the received bytes, because the library decodes header values
///
/// \return Null when a line is no header of the protocol, or the status is not that of a final answer; the library accepts
///         both, and skips lines that it does not understand
////////////////////////////////////////////////////////////
std::optional<AnswerHead> makeHead(std::string_view recorded, const httplib::Response& response,
                                   std::string_view method)
{
    const std::string_view raw = finalHead(recorded);
    std::vector<Header>    all;
    const auto             lineEnd = raw.find("\r\n");
    const std::string_view fault = splitHeaders(raw.substr(std::min(raw.size(), lineEnd + 2)), all);
    const bool isFinal = response.status >= 0 && sailpath::http::isFinalStatus(static_cast<unsigned>(response.status));
    if (!fault.empty() || !isFinal)
        return std::nullopt;

    AnswerHead head;
    head.status = response.status;
    head.reason = response.reason;
    head.framing = BodyFraming::UntilEnd;
    std::string connection;
    for (const Header& header : all)
    {
        if (sameName(header.name, "Connection"))
            connection = header.value;
    }
    for (Header& header : all)
    {
        if (sameName(header.name, "Transfer-Encoding"))
            head.framing = BodyFraming::Chunked;
        if (sameName(header.name, "Content-Length"))
        {
            if (head.framing != BodyFraming::Chunked)
                head.framing = BodyFraming::Length;
            std::from_chars(header.value.data(), header.value.data() + header.value.size(), head.contentLength);
            continue;
        }
        if (!isHopByHop(header.name, connection))
            head.headers.push_back(std::move(header));
    }
    if (method == "HEAD" || head.status == 204 || head.status == 304)
    {
        head.lengthWithoutBody = head.framing == BodyFraming::Length && head.status != 204;
        head.framing = BodyFraming::None;
    }
    return head;
}

////////////////////////////////////////////////////////////
/// \brief Runs one exchange of the library and holds the state that its callbacks share
////////////////////////////////////////////////////////////
class ExchangeRun
{
public:
    ExchangeRun(priv::BackendStream& stream, const ServerRequest& request, const AnswerSink& sink) :
    m_stream(stream),
    m_request(request),
    m_sink(sink)
    {
    }

    ////////////////////////////////////////////////////////////
    ExchangeEnd execute()
    {
        httplib::Request      request = makeLibraryRequest();
        httplib::Response     response;
        httplib::Error        error = httplib::Error::Success;
        // A library client is created for each exchange and holds no connection of its own.
        priv::LibraryExchange library;
        const bool            whole = library.run(m_stream, request, response, error);
        if (whole && !m_headDelivered)
            (void)deliverHead(response);
        if (m_malformed)
            return ExchangeEnd::NoAnswer;
        if (m_sinkRefused)
            return ExchangeEnd::SinkRefused;
        if (m_endedAfterHead || whole)
        {
            const std::string connection = response.get_header_value("Connection");
            m_reusable = whole && !sameName(connection, "close") && response.version != "HTTP/1.0" &&
                         m_framing != BodyFraming::UntilEnd && !m_stream.hasUnconsumedBytes();
            return ExchangeEnd::Whole;
        }
        if (m_sourceFailed)
            return ExchangeEnd::SourceFailed;
        if (m_headDelivered)
            return ExchangeEnd::Truncated;
        return m_stream.timedOut() ? ExchangeEnd::TimedOut : ExchangeEnd::NoAnswer;
    }

    ////////////////////////////////////////////////////////////
    [[nodiscard]] bool reusable() const
    {
        return m_reusable;
    }

private:
    ////////////////////////////////////////////////////////////
    httplib::Request makeLibraryRequest()
    {
        httplib::Request request;
        request.method = m_request.method;
        request.path = m_request.target;
        for (const Header& header : m_request.headers)
            request.headers.emplace(header.name, header.value);
        request.response_handler = [this](const httplib::Response& response) { return deliverHead(response); };
        request.content_receiver = [this](const char* data, std::size_t size, std::uint64_t, std::uint64_t) {
            return deliverBody({data, size});
        };
        if (m_request.framing == BodyFraming::None)
            return request;
        if (!m_request.stream)
        {
            request.body = m_request.body;
            return request;
        }
        request.content_length_ = m_request.contentLength;
        request.is_chunked_content_provider_ = m_request.framing == BodyFraming::Chunked;
        if (request.is_chunked_content_provider_)
            request.headers.emplace("Transfer-Encoding", "chunked");
        request.content_provider_ = [this](std::size_t, std::size_t, httplib::DataSink& sink)
        { return sendBody(sink); };
        return request;
    }

    ////////////////////////////////////////////////////////////
    bool deliverHead(const httplib::Response& response)
    {
        m_stream.headComplete();
        const std::optional<AnswerHead> head = makeHead(m_stream.head(), response, m_request.method);
        m_malformed = !head;
        if (m_malformed)
            return false;
        m_headDelivered = true;
        m_framing = head->framing;
        m_sinkRefused = !m_sink.head(*head);
        // The exchange ends after the head of a 304 answer, because the library would wait for a body that never comes.
        m_endedAfterHead = response.status == 304;
        return !m_sinkRefused && !m_endedAfterHead;
    }

    ////////////////////////////////////////////////////////////
    bool deliverBody(std::string_view data)
    {
        m_stream.recordBody(data.size());
        m_sinkRefused = !m_sink.body(data);
        return !m_sinkRefused;
    }

    ////////////////////////////////////////////////////////////
    bool sendBody(httplib::DataSink& sink)
    {
        const bool whole =
            m_request.stream([&sink](std::string_view data) { return sink.write(data.data(), data.size()); });
        m_sourceFailed = !whole;
        if (whole && m_request.framing == BodyFraming::Chunked)
            sink.done();
        return whole;
    }

    priv::BackendStream& m_stream;                     //!< Connection to the server
    const ServerRequest& m_request;                    //!< Request to send
    const AnswerSink&    m_sink;                       //!< Receives the answer
    BodyFraming          m_framing{BodyFraming::None}; //!< Framing of the answer
    bool                 m_headDelivered{false};       //!< Whether the head was passed to the sink
    bool                 m_malformed{false};           //!< Whether the head is none of a final answer
    bool                 m_sinkRefused{false};         //!< Whether the sink ended the transfer
    bool                 m_sourceFailed{false};        //!< Whether reading the body of the request failed
    bool m_endedAfterHead{false}; //!< Whether the exchange was ended after the head because the answer has no body
    bool m_reusable{false};       //!< Whether the connection can serve another request
};

} // namespace

////////////////////////////////////////////////////////////
BackendClient::BackendClient(core::Duration connectTimeout, core::Duration bodyIdleTimeout) :
m_connectTimeout(connectTimeout),
m_bodyIdleTimeout(bodyIdleTimeout),
m_pool(maxIdlePerServer, maxIdleTime)
{
}

////////////////////////////////////////////////////////////
ExchangeEnd BackendClient::exchange(const std::string& address, std::uint16_t port, const ServerRequest& request,
                                    const AnswerSink& sink, Cancellation& cancellation)
{
    const std::string server = address + ":" + std::to_string(port);
    net::TcpSocket    socket = m_pool.take(server, request.reuseRecentOnly ? recentIdleTime : maxIdleTime);
    if (!socket.isOpen())
    {
        const auto remaining =
            std::chrono::duration_cast<core::Duration>(request.deadline - std::chrono::steady_clock::now());
        socket = net::TcpSocket::connect(address, port, std::clamp(remaining, core::Duration{0}, m_connectTimeout));
    }
    if (!socket.isOpen())
        return ExchangeEnd::NotSent;
    if (!cancellation.attach(socket))
        return ExchangeEnd::Cancelled;

    priv::BackendStream stream(socket, request.deadline, m_bodyIdleTimeout);
    ExchangeRun         run(stream, request, sink);
    const ExchangeEnd   end = run.execute();
    cancellation.detach();
    if (cancellation.cancelled())
        return ExchangeEnd::Cancelled;
    if (end == ExchangeEnd::Whole && run.reusable())
        m_pool.give(server, std::move(socket));
    return end;
}

////////////////////////////////////////////////////////////
bool BackendClient::allClosed(const std::string& address, std::uint16_t port)
{
    return m_pool.allClosed(address + ":" + std::to_string(port));
}

////////////////////////////////////////////////////////////
void BackendClient::prune()
{
    m_pool.prune();
}

} // namespace sailpath::adapters::http
