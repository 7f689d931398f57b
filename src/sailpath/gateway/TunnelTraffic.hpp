#pragma once

#include <sailpath/core/ReceiveBuffer.hpp>
#include <sailpath/http/MessageReader.hpp>

#include <cstddef>
#include <deque>
#include <memory>
#include <string_view>

namespace sailpath::gateway::priv
{
////////////////////////////////////////////////////////////
/// \brief Follows the requests and answers that pass through a tunnel, to tell whether an answer is due
///
/// Keeps no bodies. After bytes that are not of the protocol, or that exceed a
/// limit, it follows nothing any more.
////////////////////////////////////////////////////////////
class TunnelTraffic
{
public:
    void passToServer(std::string_view bytes);   //!< Bytes of the other node
    void passFromServer(std::string_view bytes); //!< Bytes of the server

    [[nodiscard]] bool        isAnswerDue() const; //!< A byte of a request has passed, and not yet its whole answer
    [[nodiscard]] bool        isBetweenRequests() const;   //!< Nothing has passed since the last whole answer
    [[nodiscard]] bool        isRequestUnfinished() const; //!< A byte of a request has passed, and not yet all of it
    [[nodiscard]] std::size_t heldBytes() const;           //!< Bytes of unfinished lines that are kept

private:
    /// \brief One direction
    struct Stream
    {
        std::unique_ptr<http::MessageReader> reader; //!< Message in progress; null between two
        core::ReceiveBuffer                  unread; //!< Start of a line or head that is not whole
    };

    ////////////////////////////////////////////////////////////
    /// \brief Read the next message of a stream
    ///
    /// \return True when it is whole
    ////////////////////////////////////////////////////////////
    [[nodiscard]] bool readMessage(Stream& stream, http::MessageKind kind);
    void               giveUp(); //!< Follow nothing from now on

    Stream           m_toServer;   //!< Requests
    Stream           m_fromServer; //!< Answers
    std::deque<bool> m_due;        //!< Requests without a whole answer; true for one that asks for the head only
    bool             m_isUnreadable{false}; //!< Bytes were not of the protocol
};

} // namespace sailpath::gateway::priv
