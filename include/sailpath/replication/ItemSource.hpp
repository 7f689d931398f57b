#pragma once

#include <sailpath/core/Time.hpp>
#include <sailpath/replication/Item.hpp>

#include <cstdint>
#include <functional>
#include <vector>

namespace sailpath::replication
{
////////////////////////////////////////////////////////////
/// \brief How a call of the store ended
////////////////////////////////////////////////////////////
enum class ReadStatus
{
    Ok,          //!< It was answered
    HistoryLost, //!< The changes after that revision are not known any more
    Failed       //!< It was refused, or not answered in time
};

////////////////////////////////////////////////////////////
/// \brief How a call that writes ended
////////////////////////////////////////////////////////////
enum class WriteStatus
{
    Done,     //!< It was written
    Conflict, //!< The item is not as was expected
    Unknown   //!< It was refused, or it may still be done
};

////////////////////////////////////////////////////////////
/// \brief How a reading of all items may be served
////////////////////////////////////////////////////////////
enum class ReadMode
{
    Latest,    //!< As of the time of the call at the earliest
    MayBeStale //!< As of seconds ago perhaps; cheaper
};

////////////////////////////////////////////////////////////
/// \brief What a call of the store brought
////////////////////////////////////////////////////////////
struct ReadResult
{
    ReadStatus        status{ReadStatus::Failed}; //!< How it ended
    std::vector<Item> items;                      //!< All items, or changes
    std::uint64_t     at{0};                      //!< The store's revision; of a reading, the oldest of its parts
    std::uint64_t     upTo{0};                    //!< Of a reading: revision that no part is newer than
    bool              snapshot{false};            //!< A reading, of one moment and of the time of the call at least
    std::string       error;                      //!< For the log, when it failed
    std::uint64_t     bytes{0};                   //!< Of the answers' bodies
};

////////////////////////////////////////////////////////////
/// \brief Port for the store that holds what operators and servers say
///
/// Answers come on the loop that the calls are made from, never within the
/// call itself. One call that reads is under way at a time, and one that writes.
////////////////////////////////////////////////////////////
class ItemSource
{
public:
    using ReadCallback = std::function<void(ReadResult)>;
    using WriteCallback = std::function<void(WriteStatus)>;

    virtual ~ItemSource() = default;

    virtual void read(ReadMode mode, ReadCallback callback) = 0; //!< All items

    virtual void watch(std::uint64_t after, core::Duration wait,
                       ReadCallback callback) = 0; //!< Changes after a revision

    virtual void create(const std::string& key, const std::string& value,
                        WriteCallback callback) = 0; //!< If it is absent

    virtual void replace(const Item&   item,
                         WriteCallback callback) = 0; //!< If it still has the revision; `gone` removes it

    virtual void cancelRead() = 0; //!< The reading call under way is not answered any more, and its connection ends

    [[nodiscard]] virtual std::uint64_t callCount() const = 0; //!< Calls made since the start
};

} // namespace sailpath::replication
