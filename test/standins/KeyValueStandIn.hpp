#pragma once

#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <map>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

namespace sailpath::standins
{
////////////////////////////////////////////////////////////
/// \brief One key as the stand-in keeps it
////////////////////////////////////////////////////////////
struct StoredKey
{
    std::string  value;       //!< Value
    std::int64_t created{0};  //!< Revision of its creation
    std::int64_t modified{0}; //!< Revision of its last change
    std::int64_t lease{0};    //!< Lease that it ends with
};

////////////////////////////////////////////////////////////
/// \brief One change as the stand-in's history keeps it
////////////////////////////////////////////////////////////
struct StoredChange
{
    std::int64_t revision{0};    //!< The store's revision
    std::string  key;            //!< Key
    StoredKey    content;        //!< What it holds since then
    bool         deleted{false}; //!< The key was removed
};

////////////////////////////////////////////////////////////
/// \brief A condition of a transaction
////////////////////////////////////////////////////////////
struct Condition
{
    std::string                 key;      //!< Key
    std::optional<std::int64_t> modified; //!< Revision it must have; 0 means that it must not exist
    std::optional<std::string>  value;    //!< Value it must hold
};

////////////////////////////////////////////////////////////
/// \brief A change of a transaction
////////////////////////////////////////////////////////////
struct Change
{
    std::string                key;      //!< Key
    std::optional<std::string> value;    //!< New value; removed when there is none
    std::int64_t               lease{0}; //!< Lease that it ends with
};

////////////////////////////////////////////////////////////
/// \brief Conditions and the changes under them
////////////////////////////////////////////////////////////
struct Transaction
{
    std::vector<Condition> conditions; //!< All must hold
    std::vector<Change>    changes;    //!< Made at one revision
};

////////////////////////////////////////////////////////////
/// \brief In-memory key-value store with revisions, leases and a history to watch
///
/// Thread-safe.
////////////////////////////////////////////////////////////
class KeyValueStandIn
{
public:
    ////////////////////////////////////////////////////////////
    /// \brief Keys in [first, end); the one key `first` when `end` is empty
    ////////////////////////////////////////////////////////////
    [[nodiscard]] std::map<std::string, StoredKey> range(const std::string& first, const std::string& end,
                                                         std::int64_t& revision);

    ////////////////////////////////////////////////////////////
    /// \brief Make all changes if all conditions hold, or none
    ///
    /// \return Whether they were made
    ////////////////////////////////////////////////////////////
    bool transact(const Transaction& transaction, std::int64_t& revision);

    [[nodiscard]] std::int64_t grant(std::int64_t seconds); //!< New lease
    [[nodiscard]] std::int64_t renew(std::int64_t lease);   //!< Seconds granted; 0 when it is gone
    void                       revoke(std::int64_t lease);  //!< End a lease and remove its keys

    ////////////////////////////////////////////////////////////
    /// \brief Changes of a range from a revision on; waits for some
    ////////////////////////////////////////////////////////////
    [[nodiscard]] std::vector<StoredChange> changes(const std::string& first, const std::string& end, std::int64_t from,
                                                    std::chrono::milliseconds patience);

private:
    using Clock = std::chrono::steady_clock;

    struct Lease
    {
        std::int64_t      seconds{0}; //!< Length
        Clock::time_point until;      //!< End
    };

    void               expire();
    [[nodiscard]] bool holds(const Condition& condition) const;
    void               apply(const Change& change);

    std::mutex                       m_mutex;          //!< Guards what follows
    std::condition_variable          m_changed;        //!< Signals a change
    std::int64_t                     m_revision{1};    //!< Of the last change
    std::int64_t                     m_nextLease{100}; //!< Next lease id
    std::map<std::string, StoredKey> m_keys;           //!< Present keys
    std::map<std::int64_t, Lease>    m_leases;         //!< Live leases
    std::vector<StoredChange>        m_history;        //!< All changes
};

} // namespace sailpath::standins
