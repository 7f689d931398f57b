#include <sailpath/adapters/http/BackendClient.hpp>

#include "BackendStream.hpp"
#include "LibraryExchange.hpp"

#include <algorithm>
#include <charconv>

namespace sailpath::adapters::http
{
namespace
{
constexpr std::size_t      idlePerServer = 64;
constexpr core::Duration   longestIdle = std::chrono::seconds{20};
constexpr core::Duration   provenIdle = std::chrono::milliseconds{500};
constexpr std::string_view headEnd = "\r\n\r\n";

////////////////////////////////////////////////////////////
/// \brief The last head in what was recorded, which may begin with interim answers
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
/// \brief Build the answer's head from the bytes received, since the library decodes values
////////////////////////////////////////////////////////////
AnswerHead makeHead(std::string_view recorded, const httplib::Response& response, std::string_view method)
{
    const std::string_view raw = finalHead(recorded);
    std::vector<Header>    all;
    const auto             lineEnd = raw.find("\r\n");
    // The library has accepted the head already; lines it let pass and we do not are dropped.
    (void)splitHeaders(raw.substr(std::min(raw.size(), lineEnd + 2)), all);

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
/// \brief One run of the library with the state its callbacks share
////////////////////////////////////////////////////////////
class Run
{
public:
    Run(priv::BackendStream& stream, const ServerRequest& request, const AnswerSink& sink) :
    m_stream(stream),
    m_request(request),
    m_sink(sink)
    {
    }

    ////////////////////////////////////////////////////////////
    ExchangeEnd execute()
    {
        httplib::Request      request = prepare();
        httplib::Response     response;
        httplib::Error        error = httplib::Error::Success;
        // Clients hold no connection of their own here; one is made for each exchange.
        priv::LibraryExchange library;
        const bool            whole = library.run(m_stream, request, response, error);
        if (whole && !m_headGiven)
            (void)giveHead(response);
        if (m_sinkRefused)
            return ExchangeEnd::SinkRefused;
        if (m_bodyless || whole)
        {
            const std::string connection = response.get_header_value("Connection");
            m_reusable = whole && !sameName(connection, "close") && response.version != "HTTP/1.0" &&
                         m_framing != BodyFraming::UntilEnd && !m_stream.hasSurplus();
            return ExchangeEnd::Whole;
        }
        if (m_sourceFailed)
            return ExchangeEnd::SourceFailed;
        if (m_headGiven)
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
    httplib::Request prepare()
    {
        httplib::Request request;
        request.method = m_request.method;
        request.path = m_request.target;
        for (const Header& header : m_request.headers)
            request.headers.emplace(header.name, header.value);
        request.response_handler = [this](const httplib::Response& response) { return giveHead(response); };
        request.content_receiver = [this](const char* data, std::size_t size, std::uint64_t, std::uint64_t) {
            return giveBody({data, size});
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
        { return pipeBody(sink); };
        return request;
    }

    ////////////////////////////////////////////////////////////
    bool giveHead(const httplib::Response& response)
    {
        m_headGiven = true;
        m_stream.headComplete();
        const AnswerHead head = makeHead(m_stream.head(), response, m_request.method);
        m_framing = head.framing;
        m_sinkRefused = !m_sink.head(head);
        // The library would wait for a body after 304; there is none.
        m_bodyless = response.status == 304;
        return !m_sinkRefused && !m_bodyless;
    }

    ////////////////////////////////////////////////////////////
    bool giveBody(std::string_view data)
    {
        m_sinkRefused = !m_sink.body(data);
        return !m_sinkRefused;
    }

    ////////////////////////////////////////////////////////////
    bool pipeBody(httplib::DataSink& sink)
    {
        const bool whole =
            m_request.stream([&sink](std::string_view data) { return sink.write(data.data(), data.size()); });
        m_sourceFailed = !whole;
        if (whole && m_request.framing == BodyFraming::Chunked)
            sink.done();
        return whole;
    }

    priv::BackendStream& m_stream;                     //!< The connection
    const ServerRequest& m_request;                    //!< What is sent
    const AnswerSink&    m_sink;                       //!< Receives the answer
    BodyFraming          m_framing{BodyFraming::None}; //!< Of the answer
    bool                 m_headGiven{false};           //!< The sink has the head
    bool                 m_sinkRefused{false};         //!< The sink ended it
    bool                 m_sourceFailed{false};        //!< The body could not be read
    bool                 m_bodyless{false};            //!< Ended on purpose after the head
    bool                 m_reusable{false};            //!< The connection can serve another request
};

} // namespace

////////////////////////////////////////////////////////////
BackendClient::BackendClient(core::Duration connectTimeout, core::Duration bodyIdle) :
m_connectTimeout(connectTimeout),
m_bodyIdle(bodyIdle),
m_pool(idlePerServer, longestIdle)
{
}

////////////////////////////////////////////////////////////
ExchangeEnd BackendClient::exchange(const std::string& address, std::uint16_t port, const ServerRequest& request,
                                    const AnswerSink& sink, Cancellation& cancellation)
{
    const std::string server = address + ":" + std::to_string(port);
    net::TcpSocket    socket = m_pool.take(server, request.reuseRecentOnly ? provenIdle : longestIdle);
    if (!socket.isOpen())
    {
        const auto left =
            std::chrono::duration_cast<core::Duration>(request.deadline - std::chrono::steady_clock::now());
        socket = net::TcpSocket::connect(address, port, std::clamp(left, core::Duration{0}, m_connectTimeout));
    }
    if (!socket.isOpen())
        return ExchangeEnd::NotSent;
    if (!cancellation.attach(socket))
        return ExchangeEnd::Cancelled;

    priv::BackendStream stream(socket, request.deadline, m_bodyIdle);
    Run                 run(stream, request, sink);
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
