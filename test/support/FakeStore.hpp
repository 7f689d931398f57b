#pragma once

#include <sailpath/ports/Store.hpp>

#include <deque>
#include <map>
#include <string>
#include <utility>

namespace sailpath::support
{
////////////////////////////////////////////////////////////
/// \brief What goes wrong with one write
////////////////////////////////////////////////////////////
enum class WriteFault
{
    None,       //!< Nothing
    LostAnswer, //!< It takes effect, but the answer is lost
    LostCall,   //!< It takes no effect, and nobody says so
    Refused     //!< The store is certainly not reached
};

////////////////////////////////////////////////////////////
/// \brief An in-memory store whose writes fail as told
////////////////////////////////////////////////////////////
class FakeStore : public ports::Store
{
public:
    ////////////////////////////////////////////////////////////
    /// \brief Faults of the coming writes, in order
    ////////////////////////////////////////////////////////////
    std::deque<WriteFault> faults;

    ////////////////////////////////////////////////////////////
    /// \brief Called before a write looks at the key, as another operator may be quicker
    ////////////////////////////////////////////////////////////
    std::function<void()> beforeWrite;

    bool down{false}; //!< Nothing answers

    [[nodiscard]] ports::ReadAnswer get(std::string_view key) override
    {
        ports::ReadAnswer answer;
        if (down)
            return answer;
        answer.status = ports::StoreStatus::Ok;
        answer.revision = m_revision;
        if (const auto found = m_items.find(std::string(key)); found != m_items.end())
            answer.items.push_back(found->second);
        return answer;
    }

    [[nodiscard]] ports::ReadAnswer range(std::string_view prefix) override
    {
        ports::ReadAnswer answer;
        if (down)
            return answer;
        answer.status = ports::StoreStatus::Ok;
        answer.revision = m_revision;
        for (const auto& item : m_items)
        {
            if (item.first.starts_with(prefix))
                answer.items.push_back(item.second);
        }
        return answer;
    }

    [[nodiscard]] ports::WriteAnswer compareAndSwap(const ports::ConditionalWrite& write) override
    {
        if (const auto hook = std::exchange(beforeWrite, nullptr))
            hook();
        const WriteFault   fault = nextFault();
        ports::WriteAnswer answer;
        if (fault == WriteFault::Refused)
            return answer;
        if (fault != WriteFault::LostCall)
            answer = swap(write);
        if (fault != WriteFault::None)
            answer.status = ports::StoreStatus::Unknown;
        return answer;
    }

    [[nodiscard]] ports::CreateAnswer createAll(std::span<const ports::ConditionalWrite> writes) override
    {
        if (const auto hook = std::exchange(beforeWrite, nullptr))
            hook();
        const WriteFault    fault = nextFault();
        ports::CreateAnswer answer;
        if (fault == WriteFault::Refused)
            return answer;
        answer.status = ports::StoreStatus::Ok;
        for (const ports::ConditionalWrite& write : writes)
        {
            if (const auto found = m_items.find(write.key); found != m_items.end())
                answer.existing.push_back(found->second);
        }
        if (!answer.existing.empty())
            answer.status = ports::StoreStatus::Conflict;
        else if (fault != WriteFault::LostCall)
        {
            for (const ports::ConditionalWrite& write : writes)
                m_items[write.key] = {write.key, write.value, ++m_revision};
        }
        if (fault != WriteFault::None)
            answer = {ports::StoreStatus::Unknown, {}};
        return answer;
    }

    [[nodiscard]] ports::StoreStatus removeIf(std::string_view key, std::string_view value) override
    {
        if (down)
            return ports::StoreStatus::Unavailable;
        const auto found = m_items.find(std::string(key));
        if (found == m_items.end() || found->second.value != value)
            return ports::StoreStatus::Conflict;
        m_items.erase(found);
        return ports::StoreStatus::Ok;
    }

    [[nodiscard]] ports::LeaseGrant grant(core::Duration length) override
    {
        return {down ? ports::StoreStatus::Unavailable : ports::StoreStatus::Ok, 1, length};
    }

    [[nodiscard]] ports::LeaseGrant renew(std::int64_t lease) override
    {
        return {down ? ports::StoreStatus::Unavailable : ports::StoreStatus::Ok, lease, std::chrono::seconds{10}};
    }

    void revoke(std::int64_t) override
    {
    }

    void watch(std::string_view, std::uint64_t, const std::function<bool(std::span<const ports::KeyValue>)>&) override
    {
    }

    void endWatch() override
    {
    }

    ////////////////////////////////////////////////////////////
    /// \brief Writes that took effect
    ////////////////////////////////////////////////////////////
    [[nodiscard]] std::uint64_t writes() const
    {
        return m_revision - 1;
    }

private:
    WriteFault nextFault()
    {
        WriteFault fault = down ? WriteFault::Refused : WriteFault::None;
        if (!faults.empty())
        {
            fault = faults.front();
            faults.pop_front();
        }
        return fault;
    }

    ports::WriteAnswer swap(const ports::ConditionalWrite& write)
    {
        ports::WriteAnswer answer;
        const auto         found = m_items.find(write.key);
        const auto         present = found == m_items.end() ? 0 : found->second.revision;
        if (present != write.expected)
        {
            answer.status = ports::StoreStatus::Conflict;
            if (found != m_items.end())
                answer.current = found->second;
            return answer;
        }
        m_items[write.key] = {write.key, write.value, ++m_revision};
        answer.status = ports::StoreStatus::Ok;
        answer.revision = m_revision;
        return answer;
    }

    std::map<std::string, ports::KeyValue> m_items;       //!< By key
    std::uint64_t                          m_revision{1}; //!< Of the last change
};

} // namespace sailpath::support
