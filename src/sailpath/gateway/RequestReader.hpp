#pragma once

#include <sailpath/core/Time.hpp>
#include <sailpath/deployment/Deployment.hpp>
#include <sailpath/http/MessageReader.hpp>

#include <cstddef>
#include <cstdint>
#include <deque>
#include <memory>
#include <string>
#include <string_view>

namespace sailpath::gateway::priv
{
////////////////////////////////////////////////////////////
/// \brief Cuts the bytes of a caller's connection into requests; each knows when its first byte came
///
/// Does no input or output. Bytes that came while nothing was read keep
/// the time at which they came.
////////////////////////////////////////////////////////////
class RequestReader
{
public:
    void append(std::string_view bytes, core::Timestamp receivedAt); //!< Bytes came
    void stop();                                                     //!< Forget what came; nothing is read any more

    ////////////////////////////////////////////////////////////
    /// \brief Read on in the request that was begun, or begin the next
    ///
    /// \param limits Hold for a request that is begun now
    ///
    /// \return `Head` also when nothing of a request has come. After `Done` the request has to be taken
    ////////////////////////////////////////////////////////////
    [[nodiscard]] http::ReadState read(const deployment::CallerLimits& limits);

    [[nodiscard]] std::string takeBody();      //!< Of the request that is done
    void                      finishRequest(); //!< The request that is done is dealt with

    [[nodiscard]] bool              hasRequest() const;         //!< A request has begun
    [[nodiscard]] bool              empty() const;              //!< Nothing of a request has come
    [[nodiscard]] bool              headComplete() const;       //!< The head of the request that has begun is whole
    [[nodiscard]] const http::Head& head() const;               //!< Of the request that has begun
    [[nodiscard]] core::Timestamp   firstByteAt() const;        //!< First byte of the request that has begun
    [[nodiscard]] std::int64_t      bodyBytesToReserve() const; //!< Memory for its body: as told, or as come so far
    [[nodiscard]] std::size_t       unreadBytes() const;        //!< Bytes that were not looked at yet

private:
    /// \brief Bytes that came together
    struct Chunk
    {
        std::size_t     bytes{0};     //!< Of these, not looked at yet
        core::Timestamp receivedAt{}; //!< When they came
    };

    void consume(std::size_t bytes);

    std::string                          m_unread;         //!< Bytes not looked at yet
    std::deque<Chunk>                    m_chunks;         //!< When these came, in order
    std::unique_ptr<http::MessageReader> m_message;        //!< Of the request that has begun; null between requests
    core::Timestamp                      m_firstByteAt{};  //!< First byte of that request
    bool                                 m_stopped{false}; //!< Nothing is read any more
};

} // namespace sailpath::gateway::priv
