#pragma once

#include <sailpath/core/ReceiveBuffer.hpp>
#include <sailpath/core/Time.hpp>
#include <sailpath/deployment/Deployment.hpp>
#include <sailpath/http/MessageReader.hpp>

#include <cstddef>
#include <cstdint>
#include <deque>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

namespace sailpath::gateway::priv
{
////////////////////////////////////////////////////////////
/// \brief Splits the bytes of a caller's connection into requests, each with the arrival time of its first byte
///
/// Does no input or output. Bytes that wait in the reader keep the time at
/// which they were received.
////////////////////////////////////////////////////////////
class RequestReader
{
public:
    void append(std::string_view bytes, core::Timestamp receivedAt); //!< Add received bytes
    void stop();                                                     //!< Discard all bytes, now and later

    ////////////////////////////////////////////////////////////
    /// \brief Continue reading the current request, or begin the next one
    ///
    /// \param limits Limits on the request if it begins now
    ///
    /// \return `Head` also when no byte of a request was received. After `Done` call `takeBody` and `finishRequest`
    ////////////////////////////////////////////////////////////
    [[nodiscard]] http::ReadState read(const deployment::CallerLimits& limits);

    [[nodiscard]] std::string takeBody();      //!< Move the body out of the complete request
    void                      finishRequest(); //!< Drop the complete request, so that the next one can begin

    [[nodiscard]] bool hasRequest() const; //!< A byte of a request was read
    [[nodiscard]] bool empty() const;      //!< No byte of a request was received
    [[nodiscard]] std::optional<core::Timestamp>
                                    oldestInputAt() const;      //!< Arrival of the first byte not yet handled; or null
    [[nodiscard]] bool              headComplete() const;       //!< The head of the current request is read
    [[nodiscard]] const http::Head& head() const;               //!< Head of the current request
    [[nodiscard]] core::Timestamp   firstByteAt() const;        //!< Arrival of the current request's first byte
    [[nodiscard]] std::int64_t      bodyBytesToReserve() const; //!< Memory that the body takes
    [[nodiscard]] std::size_t       unreadBytes() const;        //!< Number of bytes received but not parsed

private:
    /// \brief Bytes that were received together
    struct Chunk
    {
        std::size_t     bytes{0};     //!< Number of them that are not parsed yet
        core::Timestamp receivedAt{}; //!< When the bytes were received
    };

    void consume(std::size_t bytes);

    core::ReceiveBuffer                  m_unread;         //!< Bytes received but not parsed
    std::deque<Chunk>                    m_chunks;         //!< Arrival times of the unread bytes, oldest first
    std::unique_ptr<http::MessageReader> m_message;        //!< Parser of the current request; null between requests
    core::Timestamp                      m_firstByteAt{};  //!< Arrival of the current request's first byte
    bool                                 m_stopped{false}; //!< `stop` was called; further bytes are discarded
};

} // namespace sailpath::gateway::priv
