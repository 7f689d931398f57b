#pragma once

#include <sailpath/config/Route.hpp>
#include <sailpath/core/Time.hpp>

#include <cstdint>
#include <deque>
#include <optional>

namespace sailpath::limits
{
////////////////////////////////////////////////////////////
/// \brief A request that waits for a server
////////////////////////////////////////////////////////////
struct WaitingRequest
{
    std::uint32_t    ticket{0};                               //!< The node's number for it
    config::Priority priority{config::Priority::Interactive}; //!< Its class
    core::Timestamp  enqueuedAt{};                            //!< Start of the wait
    core::Timestamp  deadline{};                              //!< Given up when it still waits then
};

////////////////////////////////////////////////////////////
/// \brief Bounded queue of one service on one node, interactive before batch
///
/// Batch requests get one turn in `batchTurn`, so that they are slowed but
/// not starved.
////////////////////////////////////////////////////////////
class WaitQueue
{
public:
    static constexpr unsigned batchTurn = 8; //!< Every how many turns a batch request goes first

    ////////////////////////////////////////////////////////////
    /// \brief Create an empty queue
    ///
    /// \param capacity Requests that may wait
    ////////////////////////////////////////////////////////////
    explicit WaitQueue(std::size_t capacity);

    ////////////////////////////////////////////////////////////
    /// \brief Change how many requests may wait; those that wait stay
    ////////////////////////////////////////////////////////////
    void setCapacity(std::size_t capacity);

    ////////////////////////////////////////////////////////////
    /// \brief Add a request
    ///
    /// A full queue makes room for an interactive request by giving up the
    /// youngest batch request.
    ///
    /// \param request    The request
    /// \param displaced  Receives the request given up, if any
    ///
    /// \return False when there is no room
    ////////////////////////////////////////////////////////////
    [[nodiscard]] bool push(const WaitingRequest& request, std::optional<WaitingRequest>& displaced);

    ////////////////////////////////////////////////////////////
    /// \brief The request whose turn it is; it stays in the queue
    ////////////////////////////////////////////////////////////
    [[nodiscard]] const WaitingRequest* front() const;

    ////////////////////////////////////////////////////////////
    /// \brief Remove the request whose turn it is
    ////////////////////////////////////////////////////////////
    void pop();

    ////////////////////////////////////////////////////////////
    /// \brief Remove and return a request whose time is up
    ////////////////////////////////////////////////////////////
    [[nodiscard]] std::optional<WaitingRequest> popExpired(core::Timestamp now);

    ////////////////////////////////////////////////////////////
    /// \brief Remove a request, as when its caller hung up
    ///
    /// \return Whether it was waiting
    ////////////////////////////////////////////////////////////
    bool remove(std::uint32_t ticket);

    ////////////////////////////////////////////////////////////
    /// \brief Requests that would be served before a new one of this class
    ////////////////////////////////////////////////////////////
    [[nodiscard]] std::size_t countAhead(config::Priority priority) const;

    ////////////////////////////////////////////////////////////
    /// \brief Requests that wait
    ////////////////////////////////////////////////////////////
    [[nodiscard]] std::size_t size() const;

private:
    [[nodiscard]] bool batchIsNext() const;

    std::size_t                m_capacity;    //!< Requests that may wait
    std::deque<WaitingRequest> m_interactive; //!< In order of arrival
    std::deque<WaitingRequest> m_batch;       //!< In order of arrival
    unsigned                   m_turn{0};     //!< Turns since the last batch turn
};

} // namespace sailpath::limits
