#include <sailpath/http/MessageReader.hpp>

#include <boost/asio/buffer.hpp>
#include <boost/beast/http/basic_parser.hpp>
#include <boost/beast/http/error.hpp>

#include <variant>

namespace sailpath::http
{
namespace
{
namespace beast = boost::beast::http;
using Text = boost::beast::string_view;
using ErrorCode = boost::beast::error_code;

constexpr std::size_t   fieldMarks = 4; // Bytes of a field beside name and value: colon, space, end of line
// Framing that is allowed for each byte of a body. A chunk of one byte takes five: its size and two ends of lines.
constexpr std::uint64_t framingPerBodyByte = 16;
constexpr std::uint64_t maxAllocatedAtOnce = std::uint64_t{64} << 20U; // Bytes of a body; pages are used as it arrives

////////////////////////////////////////////////////////////
std::string toString(Text text)
{
    return {text.data(), text.size()};
}

////////////////////////////////////////////////////////////
/// \brief Whether a line of a head begins with a blank; the library adds such a line to the value of the field before it
///
/// \param taken Lines that the library has taken together, which may include bytes that follow the head
////////////////////////////////////////////////////////////
bool hasFoldedLine(std::string_view taken)
{
    if (taken.starts_with("\r\n"))
        return false; // The head ends here
    const std::string_view lines = taken.substr(0, taken.find("\r\n\r\n"));
    return lines.find("\n ") != std::string_view::npos || lines.find("\n\t") != std::string_view::npos;
}

////////////////////////////////////////////////////////////
/// \brief What the library's parser tells is kept here
////////////////////////////////////////////////////////////
struct Collected
{
    Head        head;
    std::string body;
    std::size_t headLimit{0};    //!< For the fields of the head, in bytes
    std::size_t fieldBytes{0};   //!< Of the head so far, ends of lines included
    bool        headDone{false}; //!< Fields that follow are a trailer

    std::uint64_t bodyBytes{0};    //!< Of the body so far, also those that were taken
    std::uint64_t framingBytes{0}; //!< Taken after the head, without the body
};

////////////////////////////////////////////////////////////
template <bool isRequest>
class Parser : public beast::basic_parser<isRequest>
{
public:
    explicit Parser(Collected& collected) :
    m_collected(collected)
    {
    }

private:
    // Names and signatures are the library's.
    void on_request_impl(beast::verb, Text method, Text target, int version, ErrorCode&) override // NOLINT
    {
        m_collected.head.method = toString(method);
        m_collected.head.target = toString(target);
        m_collected.head.version = static_cast<unsigned>(version);
    }

    void on_response_impl(int status, Text reason, int version, ErrorCode& error) override // NOLINT
    {
        if (!isStatus(static_cast<unsigned>(status)))
            error = beast::error::bad_status;
        m_collected.head.status = static_cast<unsigned>(status);
        m_collected.head.reason = toString(reason);
        m_collected.head.version = static_cast<unsigned>(version);
    }

    void on_field_impl(beast::field, Text name, Text value, ErrorCode& error) override // NOLINT
    {
        // A trailer is no part of the head: it could change who a request is for.
        if (m_collected.headDone)
            return;
        m_collected.fieldBytes += name.size() + value.size() + fieldMarks;
        if (m_collected.fieldBytes > m_collected.headLimit)
            error = beast::error::header_limit;
        else
            m_collected.head.fields.push_back({toString(name), toString(value)});
    }

    void on_header_impl(ErrorCode&) override // NOLINT
    {
        m_collected.headDone = true;
        // Later a trailer may have changed what the library says of these.
        m_collected.head.keepAlive = this->keep_alive();
        m_collected.head.untilEnd = this->need_eof();
    }

    void on_body_init_impl(const boost::optional<std::uint64_t>& length, ErrorCode&) override // NOLINT
    {
        // Grown step by step, the body would take up to twice its length.
        if (length && *length <= maxAllocatedAtOnce)
            m_collected.body.reserve(static_cast<std::size_t>(*length));
    }

    std::size_t on_body_impl(Text body, ErrorCode&) override // NOLINT
    {
        return append(body);
    }

    void on_chunk_header_impl(std::uint64_t, Text, ErrorCode&) override // NOLINT
    {
    }

    std::size_t on_chunk_body_impl(std::uint64_t, Text body, ErrorCode&) override // NOLINT
    {
        return append(body);
    }

    void on_finish_impl(ErrorCode&) override // NOLINT
    {
    }

    std::size_t append(Text body)
    {
        m_collected.body.append(body.data(), body.size());
        m_collected.bodyBytes += body.size();
        return body.size();
    }

    Collected& m_collected;
};

} // namespace

////////////////////////////////////////////////////////////
struct MessageReader::Impl
{
    Collected                                                 collected;
    std::variant<std::monostate, Parser<true>, Parser<false>> parser;
    ReadState                                                 state{ReadState::Head};
    bool                                                      isAnswer{false};

    template <typename Work>
    auto visit(Work work)
    {
        return parser.index() == 1 ? work(std::get<1>(parser)) : work(std::get<2>(parser));
    }

    void judge(const ErrorCode& error)
    {
        if (error == beast::error::header_limit)
            state = ReadState::HeadTooLarge;
        else if (error == beast::error::body_limit)
            state = ReadState::BodyTooLarge;
        else
            state = ReadState::Malformed;
    }

    /// \brief Feed the parser once
    std::size_t put(std::string_view bytes, ErrorCode& error)
    {
        const bool          inBody = collected.headDone;
        const std::uint64_t bodyBefore = collected.bodyBytes;
        const std::size_t   used =
            visit([&](auto& parser) { return parser.put(boost::asio::buffer(bytes.data(), bytes.size()), error); });
        if (inBody)
            collected.framingBytes += used - (collected.bodyBytes - bodyBefore);
        else if (isAnswer && hasFoldedLine(bytes.substr(0, used)))
            error = beast::error::bad_field;
        return used;
    }

    /// \brief Fail when the framing of the body exceeds its limit
    ///
    /// The parser takes a line, and a trailer, only when it is whole.
    void checkFraming(std::size_t untaken)
    {
        if (state != ReadState::Body)
            return;
        const std::uint64_t most = collected.headLimit + framingPerBodyByte * collected.bodyBytes;
        if (untaken > collected.headLimit || collected.framingBytes > most)
            state = ReadState::FramingTooLarge;
    }
};

////////////////////////////////////////////////////////////
MessageReader::MessageReader(MessageKind kind, std::uint32_t headLimit, std::uint64_t bodyLimit) :
m_impl(std::make_unique<Impl>())
{
    if (kind == MessageKind::Request)
        m_impl->parser.emplace<1>(m_impl->collected);
    else
        m_impl->parser.emplace<2>(m_impl->collected);
    m_impl->isAnswer = kind != MessageKind::Request;
    m_impl->collected.headLimit = headLimit;
    m_impl->visit(
        [&](auto& parser)
        {
            parser.eager(true);
            // What the library counts depends on how the bytes arrive, so it only bounds memory.
            parser.header_limit(2 * headLimit);
            parser.body_limit(bodyLimit);
            parser.skip(kind == MessageKind::AnswerNoBody);
        });
}

////////////////////////////////////////////////////////////
MessageReader::~MessageReader() = default;

////////////////////////////////////////////////////////////
std::size_t MessageReader::read(std::string_view bytes)
{
    std::size_t taken = 0;
    while (taken < bytes.size() && (m_impl->state == ReadState::Head || m_impl->state == ReadState::Body))
    {
        ErrorCode         error;
        const std::size_t used = m_impl->put(bytes.substr(taken), error);
        taken += used;
        if (m_impl->state == ReadState::Head && m_impl->collected.headDone)
            m_impl->state = ReadState::Body;
        if (error && error != beast::error::need_more)
        {
            m_impl->judge(error);
            return taken;
        }
        if (m_impl->visit([](auto& parser) { return parser.is_done(); }))
            m_impl->state = ReadState::Done;
        else if (used == 0 || error == beast::error::need_more)
            break;
    }
    m_impl->checkFraming(bytes.size() - taken);
    return taken;
}

////////////////////////////////////////////////////////////
void MessageReader::read(core::ReceiveBuffer& buffer)
{
    buffer.consume(read(buffer.bytes()));
}

////////////////////////////////////////////////////////////
void MessageReader::ended()
{
    if (m_impl->state != ReadState::Body)
        return;
    ErrorCode error;
    m_impl->visit([&](auto& parser) { parser.put_eof(error); });
    if (error)
        m_impl->state = ReadState::Malformed;
    else
        m_impl->state = ReadState::Done;
}

////////////////////////////////////////////////////////////
ReadState MessageReader::state() const
{
    return m_impl->state;
}

////////////////////////////////////////////////////////////
const Head& MessageReader::head() const
{
    return m_impl->collected.head;
}

////////////////////////////////////////////////////////////
std::string MessageReader::takeBody()
{
    return std::move(m_impl->collected.body);
}

////////////////////////////////////////////////////////////
std::optional<std::uint64_t> MessageReader::bodyLength() const
{
    const auto length = m_impl->visit([](auto& parser) { return parser.content_length(); });
    return length ? std::optional<std::uint64_t>(*length) : std::nullopt;
}

////////////////////////////////////////////////////////////
std::size_t MessageReader::bodySize() const
{
    return m_impl->collected.body.size();
}

} // namespace sailpath::http
