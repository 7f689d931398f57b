#pragma once

#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <map>
#include <mutex>
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
    /// \brief Put if the key's revision is as expected (0: it does not exist)
    ///
    /// \return Whether it was put
    ////////////////////////////////////////////////////////////
    bool compareAndPut(const std::string& key, std::int64_t expected, const std::string& value, std::int64_t lease,
                       std::int64_t& revision);

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

    void expire();

    std::mutex                       m_mutex;          //!< Guards what follows
    std::condition_variable          m_changed;        //!< Signals a change
    std::int64_t                     m_revision{1};    //!< Of the last change
    std::int64_t                     m_nextLease{100}; //!< Next lease id
    std::map<std::string, StoredKey> m_keys;           //!< Present keys
    std::map<std::int64_t, Lease>    m_leases;         //!< Live leases
    std::vector<StoredChange>        m_history;        //!< All changes
};

} // namespace sailpath::standins
