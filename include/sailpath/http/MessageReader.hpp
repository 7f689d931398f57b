#pragma once

#include <sailpath/core/ReceiveBuffer.hpp>
#include <sailpath/http/Head.hpp>

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

namespace sailpath::http
{
////////////////////////////////////////////////////////////
/// \brief Which kind of message is read
////////////////////////////////////////////////////////////
enum class MessageKind
{
    Request,     //!< From a caller
    Answer,      //!< From a server
    AnswerNoBody //!< From a server, to a request that asks for the head only
};

////////////////////////////////////////////////////////////
/// \brief How far a message has been read
////////////////////////////////////////////////////////////
enum class ReadState
{
    Head,           //!< The head is not whole yet
    Body,           //!< The head is whole, the body is not
    Done,           //!< The message is whole
    Malformed,      //!< It is no message of the protocol
    HeadTooLarge,   //!< The head passes the limit
    BodyTooLarge,   //!< The body passes the limit
    FramingTooLarge //!< The chunk sizes, chunk extensions and trailer of the body pass the limit
};

////////////////////////////////////////////////////////////
/// \brief Reads one HTTP/1.1 message from the bytes of a connection
///
/// Everything that the sender of a message decides is bounded: the head, the
/// body, and the framing of a chunked body. The framing may take as many bytes
/// as the head, and in addition some for each byte of the body, so that small
/// chunks are read whatever their number. What `read` leaves of an unfinished
/// message is bounded by twice the limit of the head.
////////////////////////////////////////////////////////////
class MessageReader
{
public:
    ////////////////////////////////////////////////////////////
    /// \brief Start a message
    ///
    /// \param kind      What to expect
    /// \param headLimit Largest head, bytes; also bounds the framing of the body
    /// \param bodyLimit Largest body, bytes
    ////////////////////////////////////////////////////////////
    MessageReader(MessageKind kind, std::uint32_t headLimit, std::uint64_t bodyLimit);

    ~MessageReader();
    MessageReader(const MessageReader&) = delete;
    MessageReader& operator=(const MessageReader&) = delete;

    ////////////////////////////////////////////////////////////
    /// \brief Read on
    ///
    /// \param bytes All bytes not taken yet
    ///
    /// \return Bytes taken; what follows a whole message stays
    ////////////////////////////////////////////////////////////
    std::size_t read(std::string_view bytes);

    ////////////////////////////////////////////////////////////
    /// \brief Read on, and remove what is taken from the front of a buffer
    ////////////////////////////////////////////////////////////
    void read(core::ReceiveBuffer& buffer);

    ////////////////////////////////////////////////////////////
    /// \brief Note that the connection ended in good order
    ////////////////////////////////////////////////////////////
    void ended();

    [[nodiscard]] ReadState                    state() const;      //!< How far it is
    [[nodiscard]] const Head&                  head() const;       //!< Valid once the head is whole
    [[nodiscard]] std::string                  takeBody();         //!< Moves out what has been read of the body
    [[nodiscard]] std::optional<std::uint64_t> bodyLength() const; //!< As the head tells it
    [[nodiscard]] std::size_t                  bodySize() const;   //!< Bytes of the body read and not taken

private:
    struct Impl;
    std::unique_ptr<Impl> m_impl; //!< The library's parser
};

} // namespace sailpath::http
