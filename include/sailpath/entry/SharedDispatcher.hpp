#pragma once

#include <sailpath/node/Dispatcher.hpp>

#include <condition_variable>
#include <functional>
#include <mutex>
#include <optional>
#include <vector>

namespace sailpath::entry
{
////////////////////////////////////////////////////////////
/// \brief Makes one dispatcher usable by many threads
///
/// Each decision holds the lock for a short time. A request that waits for a
/// server blocks its own thread only.
////////////////////////////////////////////////////////////
class SharedDispatcher
{
public:
    ////////////////////////////////////////////////////////////
    /// \brief Create the dispatcher
    ////////////////////////////////////////////////////////////
    explicit SharedDispatcher(node::DispatcherSettings settings);

    ////////////////////////////////////////////////////////////
    /// \brief Decide about a request; blocks while the dispatcher holds the request
    ///
    /// \param request   The request to decide about
    /// \param cancelled Polled every 20 ms while the request waits; true if its caller has gone
    ///
    /// \return `Forward` or `Refuse`
    ////////////////////////////////////////////////////////////
    [[nodiscard]] node::Step admit(const node::Request& request, const std::function<bool()>& cancelled);

    ////////////////////////////////////////////////////////////
    /// \brief Report the outcome of an attempt and decide on the next step
    ////////////////////////////////////////////////////////////
    [[nodiscard]] node::Step finish(node::Ticket ticket, const node::Outcome& outcome);

    ////////////////////////////////////////////////////////////
    /// \brief Advance the dispatcher to the current time; must be called every few milliseconds
    ////////////////////////////////////////////////////////////
    void tick();

    ////////////////////////////////////////////////////////////
    /// \brief Call `use` with the dispatcher while the lock is held
    ////////////////////////////////////////////////////////////
    template <typename Use>
    void with(Use use)
    {
        std::unique_lock<std::mutex> lock(m_mutex);
        use(m_dispatcher);
        deliverSteps();
    }

private:
    struct Waiter
    {
        std::condition_variable   wake; //!< Signals that `step` is set
        std::optional<node::Step> step; //!< Decision; set by `deliverSteps` or on cancellation
    };

    [[nodiscard]] node::Step wait(node::Ticket ticket, std::unique_lock<std::mutex>& lock,
                                  const std::function<bool()>& cancelled);
    void                     deliverSteps();

    std::mutex              m_mutex;      //!< Guards all other members
    node::Dispatcher        m_dispatcher; //!< Makes the decisions
    std::vector<Waiter*>    m_waiters;    //!< Indexed by ticket; null if no thread waits
    std::vector<node::Step> m_released;   //!< Steps of released requests; buffer reused by each delivery
};

} // namespace sailpath::entry
