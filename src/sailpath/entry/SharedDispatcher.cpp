#include <sailpath/entry/SharedDispatcher.hpp>

#include <sailpath/entry/SteadyClock.hpp>

#include <utility>

namespace sailpath::entry
{
namespace
{
constexpr auto cancellationPollInterval = std::chrono::milliseconds{20};

} // namespace

////////////////////////////////////////////////////////////
SharedDispatcher::SharedDispatcher(node::DispatcherSettings settings) :
m_dispatcher(std::move(settings))
{
}

////////////////////////////////////////////////////////////
node::Step SharedDispatcher::admit(const node::Request& request, const std::function<bool()>& cancelled)
{
    std::unique_lock<std::mutex> lock(m_mutex);
    node::Step                   step = m_dispatcher.admit(request, steadyNow());
    if (step.verdict == node::Verdict::Hold)
        return wait(step.ticket, lock, cancelled);
    deliverSteps();
    return step;
}

////////////////////////////////////////////////////////////
node::Step SharedDispatcher::finish(node::Ticket ticket, const node::Outcome& outcome)
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    node::Step                        step = m_dispatcher.finishAttempt(ticket, outcome, steadyNow());
    deliverSteps();
    return step;
}

////////////////////////////////////////////////////////////
void SharedDispatcher::tick()
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    m_dispatcher.tick(steadyNow());
    deliverSteps();
}

////////////////////////////////////////////////////////////
node::Step SharedDispatcher::wait(node::Ticket ticket, std::unique_lock<std::mutex>& lock,
                                  const std::function<bool()>& cancelled)
{
    Waiter waiter;
    if (m_waiters.size() <= ticket)
        m_waiters.resize(ticket + 1, nullptr);
    m_waiters[ticket] = &waiter;
    deliverSteps();
    while (!waiter.step)
    {
        waiter.wake.wait_for(lock, cancellationPollInterval);
        if (!waiter.step && cancelled() && m_dispatcher.cancelHeld(ticket, steadyNow()))
        {
            waiter.step.emplace();
            waiter.step->refusal = {node::RefusalReason::CallerGone, retries::Ran::No, {}};
            m_waiters[ticket] = nullptr;
        }
    }
    return *waiter.step;
}

////////////////////////////////////////////////////////////
void SharedDispatcher::deliverSteps()
{
    m_dispatcher.takeReleased(m_released);
    for (const node::Step& step : m_released)
    {
        // A refused ticket may be reused for another request before this waiter wakes,
        // so the waiter's entry is cleared here and not by the waiter.
        Waiter& waiter = *std::exchange(m_waiters[step.ticket], nullptr);
        waiter.step = step;
        waiter.wake.notify_one();
    }
}

} // namespace sailpath::entry
