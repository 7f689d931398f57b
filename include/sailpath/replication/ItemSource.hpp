#pragma once

#include <sailpath/core/Time.hpp>
#include <sailpath/replication/Item.hpp>

#include <cstdint>
#include <functional>
#include <vector>

namespace sailpath::replication
{
////////////////////////////////////////////////////////////
/// \brief Outcome of a read or watch call to the store
////////////////////////////////////////////////////////////
enum class ReadStatus
{
    Ok,          //!< The store answered with items
    HistoryLost, //!< The store no longer has the changes after the given revision
    Failed       //!< The store refused the call or did not answer in time
};

////////////////////////////////////////////////////////////
/// \brief Outcome of a write call to the store
////////////////////////////////////////////////////////////
enum class WriteStatus
{
    Done,     //!< The write was applied
    Conflict, //!< The item's revision or existence is not the expected one; nothing was written
    Unknown   //!< The call failed; the write may still be applied
};

////////////////////////////////////////////////////////////
/// \brief Consistency that a read of all items asks for
////////////////////////////////////////////////////////////
enum class ReadMode
{
    Latest,    //!< State of the store at the time of the call or later
    MayBeStale //!< State that may be seconds old; cheaper for the store
};

////////////////////////////////////////////////////////////
/// \brief Result of a read or watch call to the store
////////////////////////////////////////////////////////////
struct ReadResult
{
    ReadStatus        status{ReadStatus::Failed}; //!< Outcome
    std::vector<Item> items;                      //!< All items (read) or changes (watch)
    std::uint64_t     at{0};                      //!< Store revision; for a read, the oldest revision of its pages
    std::uint64_t     upTo{0};                    //!< For a read: revision that no page is newer than
    bool              snapshot{false}; //!< For a read: all pages are of one revision, not older than the call
    std::string       error;           //!< Reason of a failure, for the log
    std::uint64_t     bytes{0};        //!< Total size of the response bodies
};

////////////////////////////////////////////////////////////
/// \brief Port to the store that holds the items of operators and backend servers
///
/// Callbacks run on the event loop that the calls are made from, never within
/// the call itself. At most one read or watch and one write are in progress at
/// a time.
////////////////////////////////////////////////////////////
class ItemSource
{
public:
    using ReadCallback = std::function<void(ReadResult)>;
    using WriteCallback = std::function<void(WriteStatus)>;

    virtual ~ItemSource() = default;

    virtual void read(ReadMode mode, ReadCallback callback) = 0; //!< Reads all items

    virtual void watch(std::uint64_t after, core::Duration wait,
                       ReadCallback callback) = 0; //!< Waits for changes after a revision

    virtual void create(const std::string& key, const std::string& value,
                        WriteCallback callback) = 0; //!< Writes a key that must not exist

    virtual void replace(const Item&   item,
                         WriteCallback callback) = 0; //!< Writes or removes (`gone`) a key that must have the revision

    virtual void cancelRead() = 0; //!< Cancels the read or watch in progress without a callback; closes its connection

    [[nodiscard]] virtual std::uint64_t callCount() const = 0; //!< Returns the number of calls since the start
};

} // namespace sailpath::replication
