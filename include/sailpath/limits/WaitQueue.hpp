#pragma once

#include <sailpath/config/Route.hpp>
#include <sailpath/core/Time.hpp>

#include <cstdint>
#include <deque>
#include <optional>

namespace sailpath::limits
{
////////////////////////////////////////////////////////////
/// \brief A queued request that waits for a server
////////////////////////////////////////////////////////////
struct WaitingRequest
{
    std::uint32_t    ticket{0};                               //!< Number by which the node identifies the request
    config::Priority priority{config::Priority::Interactive}; //!< Priority class
    core::Timestamp  enqueuedAt{};                            //!< Time at which the request was queued
    core::Timestamp  deadline{}; //!< Time at which the request expires if it is still queued
};

////////////////////////////////////////////////////////////
/// \brief Bounded queue of one service on one node that serves interactive before batch requests
///
/// One request in `batchInterval` is a batch request, so that batch requests
/// are delayed but not starved.
////////////////////////////////////////////////////////////
class WaitQueue
{
public:
    static constexpr unsigned batchInterval = 8; //!< Every this many requests, a batch request goes first

    ////////////////////////////////////////////////////////////
    /// \brief Create an empty queue
    ///
    /// \param capacity Maximum number of queued requests
    ////////////////////////////////////////////////////////////
    explicit WaitQueue(std::size_t capacity);

    ////////////////////////////////////////////////////////////
    /// \brief Change the capacity; requests already queued stay even above the new capacity
    ////////////////////////////////////////////////////////////
    void setCapacity(std::size_t capacity);

    ////////////////////////////////////////////////////////////
    /// \brief Queue a request
    ///
    /// A full queue makes room for an interactive request by removing the
    /// newest batch request.
    ///
    /// \param request   Request to queue
    /// \param displaced Receives the removed batch request, if any
    ///
    /// \return False when the queue has no room
    ////////////////////////////////////////////////////////////
    [[nodiscard]] bool push(const WaitingRequest& request, std::optional<WaitingRequest>& displaced);

    ////////////////////////////////////////////////////////////
    /// \brief Return the next request to serve without removing it; null when the queue is empty
    ////////////////////////////////////////////////////////////
    [[nodiscard]] const WaitingRequest* front() const;

    ////////////////////////////////////////////////////////////
    /// \brief Remove the next request to serve; the queue must not be empty
    ////////////////////////////////////////////////////////////
    void pop();

    ////////////////////////////////////////////////////////////
    /// \brief Remove and return one request whose deadline has passed
    ////////////////////////////////////////////////////////////
    [[nodiscard]] std::optional<WaitingRequest> popExpired(core::Timestamp now);

    ////////////////////////////////////////////////////////////
    /// \brief Remove a request, for example after its caller disconnected
    ///
    /// \return Whether the request was queued
    ////////////////////////////////////////////////////////////
    bool remove(std::uint32_t ticket);

    ////////////////////////////////////////////////////////////
    /// \brief Count the queued requests that would be served before a new one of this priority
    ////////////////////////////////////////////////////////////
    [[nodiscard]] std::size_t countAhead(config::Priority priority) const;

    ////////////////////////////////////////////////////////////
    /// \brief Return the number of queued requests
    ////////////////////////////////////////////////////////////
    [[nodiscard]] std::size_t size() const;

private:
    [[nodiscard]] bool batchIsNext() const;

    std::size_t                m_capacity;            //!< Maximum number of queued requests
    std::deque<WaitingRequest> m_interactive;         //!< Interactive requests in order of arrival
    std::deque<WaitingRequest> m_batch;               //!< Batch requests in order of arrival
    unsigned                   m_interactiveInRow{0}; //!< Interactive requests served since the last batch request
};

} // namespace sailpath::limits
