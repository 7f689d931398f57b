#pragma once

#include <sailpath/core/Time.hpp>
#include <sailpath/replication/Item.hpp>

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace sailpath::replication
{
constexpr std::size_t largeValueSize = 4096; //!< Bytes; values of this size or more are sent as a delta

////////////////////////////////////////////////////////////
/// \brief Changes that another copy sends, all later than a revision
////////////////////////////////////////////////////////////
struct PeerChanges
{
    std::uint64_t         after{0};      //!< `items` lists all items of the other copy that changed after this revision
    std::uint64_t         at{0};         //!< Revision as of which the other copy is complete
    bool                  gapped{false}; //!< Keys may have been created and removed in between without being listed
    std::span<const Item> items;         //!< Changed items, and the removals that the other copy knows
};

////////////////////////////////////////////////////////////
/// \brief A node's copy of the store's items; the revision of a key never decreases
///
/// The copy is complete as of its `revision()`: it holds every item that the
/// store held at that revision, with the value of that revision or a later one. A
/// source with an older revision therefore adds nothing, and a key that a newer
/// source does not list was removed.
///
/// A read of all items skips the changes since the previous revision: a key
/// that was created and removed meanwhile leaves no trace. The table records
/// this range as a gap. A copy whose revision lies within a gap is sent all
/// changes since the beginning of the gap. A non-atomic read may also lack keys
/// that were removed after its revision; its gap stays open until the table has
/// reached the highest revision that the read may contain.
////////////////////////////////////////////////////////////
class ItemTable
{
public:
    ////////////////////////////////////////////////////////////
    /// \brief Apply changes after `revision()` that the store sent
    ///
    /// \param items   Changes, in any order
    /// \param at      Revision of the table once they are applied
    /// \param changed Receives the items that changed in this table
    ////////////////////////////////////////////////////////////
    void apply(std::span<const Item> items, std::uint64_t at, std::vector<Item>& changed);

    ////////////////////////////////////////////////////////////
    /// \brief Apply changes that another copy sent
    ///
    /// Items of this table that changed after `changes.after` and are not listed are removed.
    ///
    /// \param changes Changes; `after` is not higher than this table's `revision()`
    /// \param changed Receives the items that changed in this table
    ////////////////////////////////////////////////////////////
    void apply(const PeerChanges& changes, std::vector<Item>& changed);

    ////////////////////////////////////////////////////////////
    /// \brief Apply a read that returned all items as of a single revision
    ////////////////////////////////////////////////////////////
    void applySnapshot(std::span<const Item> items, std::uint64_t at, std::vector<Item>& changed);

    ////////////////////////////////////////////////////////////
    /// \brief Apply a read of all items whose parts may be of different revisions
    ///
    /// \param items   Items
    /// \param at      Revision that no part is older than
    /// \param upTo    Revision that no part is newer than; once the table reaches it, the table is exact again
    /// \param changed Receives the items that changed in this table
    ////////////////////////////////////////////////////////////
    void applyNonAtomicRead(std::span<const Item> items, std::uint64_t at, std::uint64_t upTo,
                            std::vector<Item>& changed);

    ////////////////////////////////////////////////////////////
    /// \brief Return the items that changed after a revision, including known removals
    ////////////////////////////////////////////////////////////
    [[nodiscard]] std::vector<Item> changesAfter(std::uint64_t revision) const;

    ////////////////////////////////////////////////////////////
    /// \brief Return the items that changed in this table since a point in its sequence, but are of older revisions
    ///
    /// After a non-atomic read, another copy may report removals whose revisions the table has passed already.
    ///
    /// \param sequence Value of `sequence()` at that point
    /// \param revision Items with higher revisions are left out
    ////////////////////////////////////////////////////////////
    [[nodiscard]] std::vector<Item> lateChanges(std::uint64_t sequence, std::uint64_t revision) const;

    ////////////////////////////////////////////////////////////
    /// \brief Return all items that exist
    ////////////////////////////////////////////////////////////
    [[nodiscard]] std::vector<Item> all() const;

    ////////////////////////////////////////////////////////////
    /// \brief Return the revision after which another copy has to be sent all changes in order to learn all removals
    ///
    /// \param revision Revision as of which the other copy is complete
    ///
    /// \return That revision or a lower one; 0 if the other copy needs all items
    ////////////////////////////////////////////////////////////
    [[nodiscard]] std::uint64_t resendAfter(std::uint64_t revision) const;

    ////////////////////////////////////////////////////////////
    /// \brief Return whether keys may have been created and removed after a revision without a trace in this table
    ////////////////////////////////////////////////////////////
    [[nodiscard]] bool hasGapAfter(std::uint64_t revision) const;

    ////////////////////////////////////////////////////////////
    /// \brief Return a large value as another copy has it
    ///
    /// \param key Key of the item
    /// \param at  Revision as of which the other copy is complete
    ///
    /// \return The item as of its last change up to that revision; null if it is no longer stored
    ////////////////////////////////////////////////////////////
    [[nodiscard]] const Item* itemAsOf(std::string_view key, std::uint64_t at) const;

    [[nodiscard]] std::uint64_t examinedItems() const;  //!< Returns how many items searches for changes have visited
    [[nodiscard]] std::uint64_t revision() const;       //!< Revision as of which the table is complete; 0 if never
    [[nodiscard]] bool          isExact() const;        //!< Whether no gap is open
    [[nodiscard]] std::uint64_t sequence() const;       //!< Returns the number of item changes in this table so far
    [[nodiscard]] std::uint64_t oldestSequence() const; //!< Oldest sequence since which `lateChanges` is complete

private:
    /// \brief Range of revisions whose changes were skipped
    struct Gap
    {
        std::uint64_t from; //!< Last revision as of which the table was complete before the gap
        std::uint64_t to;   //!< First revision as of which the table was complete again
    };

    void               applyAll(std::span<const Item> items, std::uint64_t at, std::vector<Item>& changed);
    [[nodiscard]] bool addsNothing(std::uint64_t at) const;
    void               applyItem(const Item& item, std::vector<Item>& changed);
    void removeUnlisted(std::span<const Item> items, std::uint64_t after, std::uint64_t at, std::vector<Item>& changed);
    void advanceTo(std::uint64_t at);
    void recordGap(std::uint64_t from, std::uint64_t to);
    void keepPrevious(Item item);
    void pruneRemovals();
    void indexChange(const Item& previous, const Item& item);

    ////////////////////////////////////////////////////////////
    /// \brief Call a function for each item that changed after a revision, including removals, in no order
    ///
    /// \param revision Items that changed after it are visited
    /// \param visit    Function that is called with the item
    ////////////////////////////////////////////////////////////
    template <typename Visit>
    void forEachChangedAfter(std::uint64_t revision, Visit visit) const;

    std::map<std::string, Item, std::less<>>  m_items;            //!< By key; includes recent removals
    std::uint64_t                             m_revision{0};      //!< Revision as of which the table is complete
    std::uint64_t                             m_prunedUpTo{0};    //!< Highest revision of a removal that was dropped
    std::multimap<std::uint64_t, std::string> m_removals;         //!< Keys of stored removals, by revision
    std::multimap<std::uint64_t, std::string> m_byRevision;       //!< Keys by the revision of their last change
    std::uint64_t                             m_indexedAfter{0};  //!< Items of higher revisions are in `m_byRevision`
    mutable std::uint64_t                     m_examinedItems{0}; //!< Items visited in searches for changes
    std::map<std::string, std::deque<Item>, std::less<>> m_previousValues; //!< Earlier large values, newest first
    std::deque<std::string> m_changedKeys;        //!< Keys of the last changes in this table, newest last
    std::uint64_t           m_sequence{0};        //!< Item changes in this table so far
    std::vector<Gap>        m_gaps;               //!< In ascending order
    bool                    m_lastGapOpen{false}; //!< The last gap has not ended yet
    std::uint64_t           m_gapOpenUpTo{0};     //!< Revision at which the open gap ends
};

} // namespace sailpath::replication
