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
/// \brief Lets many threads use one dispatcher
///
/// One short lock around each decision; a request that is held blocks its
/// own thread only.
////////////////////////////////////////////////////////////
class SharedDispatcher
{
public:
    ////////////////////////////////////////////////////////////
    /// \brief Create the door and the dispatcher behind it
    ////////////////////////////////////////////////////////////
    explicit SharedDispatcher(node::DispatcherSettings settings);

    ////////////////////////////////////////////////////////////
    /// \brief Decide about a request, waiting while it is held
    ///
    /// \param request   The request
    /// \param cancelled Asked now and then while it waits
    ///
    /// \return `Forward` or `Refuse`
    ////////////////////////////////////////////////////////////
    [[nodiscard]] node::Step admit(const node::Request& request, const std::function<bool()>& cancelled);

    ////////////////////////////////////////////////////////////
    /// \brief Decide what follows an attempt
    ////////////////////////////////////////////////////////////
    [[nodiscard]] node::Step finish(node::Ticket ticket, const node::Outcome& outcome);

    ////////////////////////////////////////////////////////////
    /// \brief Let time pass; to be called every few milliseconds
    ////////////////////////////////////////////////////////////
    void tick();

    ////////////////////////////////////////////////////////////
    /// \brief Use the dispatcher under the lock
    ////////////////////////////////////////////////////////////
    template <typename Use>
    void with(Use use)
    {
        std::unique_lock<std::mutex> lock(m_mutex);
        use(m_dispatcher);
        deliver();
    }

private:
    struct Waiter
    {
        std::condition_variable   wake; //!< Signals the step
        std::optional<node::Step> step; //!< Set when decided
    };

    [[nodiscard]] node::Step wait(node::Ticket ticket, std::unique_lock<std::mutex>& lock,
                                  const std::function<bool()>& cancelled);
    void                     deliver();

    std::mutex              m_mutex;      //!< Guards all members
    node::Dispatcher        m_dispatcher; //!< The decisions
    std::vector<Waiter*>    m_waiters;    //!< By ticket; null when nobody waits
    std::vector<node::Step> m_released;   //!< Reused by each delivery
};

} // namespace sailpath::entry
