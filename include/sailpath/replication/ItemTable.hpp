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
constexpr std::size_t largeValueSize = 4096; //!< Bytes from which a value is told as the difference from an earlier one

////////////////////////////////////////////////////////////
/// \brief Items of another copy whose last change lies after a revision
////////////////////////////////////////////////////////////
struct PeerChanges
{
    std::uint64_t         after{0};      //!< All of that copy's items that changed after this revision are here
    std::uint64_t         at{0};         //!< Revision that the other copy is complete as of
    bool                  gapped{false}; //!< Keys may have come and gone in between without a trace
    std::span<const Item> items;         //!< Items, and removals that the other copy knows of
};

////////////////////////////////////////////////////////////
/// \brief A node's copy of the store's items; each key only moves to higher revisions
///
/// The copy is complete as of a revision, `at`: it holds what the store held
/// then, as written then or later. Hence a source that is older has nothing to
/// add, and a newer one that leaves a key out says that the key is gone.
///
/// A reading of all items skips the changes between: a key that came and went
/// there leaves no trace. Such a gap is remembered, so that a copy that knows
/// a part of it is told all that changed since its beginning. A reading that is
/// no snapshot may also lack keys that were removed after its revision; its gap
/// stays open until all that happened before it was answered is taken.
////////////////////////////////////////////////////////////
class ItemTable
{
public:
    ////////////////////////////////////////////////////////////
    /// \brief Take the changes after `at` that the store told
    ///
    /// \param items   Changes, in any order
    /// \param at      Revision that they bring the table to
    /// \param changed Receives the items that changed here
    ////////////////////////////////////////////////////////////
    void apply(std::span<const Item> items, std::uint64_t at, std::vector<Item>& changed);

    ////////////////////////////////////////////////////////////
    /// \brief Take what another copy tells
    ///
    /// Items that changed after `changes.after` here and are not among them are gone.
    ///
    /// \param changes What it tells; `after` is not higher than this copy's `at`
    /// \param changed Receives the items that changed here
    ////////////////////////////////////////////////////////////
    void apply(const PeerChanges& changes, std::vector<Item>& changed);

    ////////////////////////////////////////////////////////////
    /// \brief Take all items as they stood at a revision
    ////////////////////////////////////////////////////////////
    void applySnapshot(std::span<const Item> items, std::uint64_t at, std::vector<Item>& changed);

    ////////////////////////////////////////////////////////////
    /// \brief Take all items as they stood at a revision or later, not all at the same
    ///
    /// \param items   Items
    /// \param at      Revision that none of them is older than
    /// \param upTo    Revision that none is newer than; the copy is exact again when it is of that
    /// \param changed Receives the items that changed here
    ////////////////////////////////////////////////////////////
    void applyNonAtomicRead(std::span<const Item> items, std::uint64_t at, std::uint64_t upTo,
                            std::vector<Item>& changed);

    ////////////////////////////////////////////////////////////
    /// \brief Items that changed after a revision, known removals included
    ////////////////////////////////////////////////////////////
    [[nodiscard]] std::vector<Item> changesAfter(std::uint64_t revision) const;

    ////////////////////////////////////////////////////////////
    /// \brief Items that changed here since a moment though they are not newer than a revision
    ///
    /// A reading of several moments may show removals that another copy tells of late.
    ///
    /// \param sequence Value of `sequence` at that moment
    /// \param revision Items with higher revisions are left out
    ////////////////////////////////////////////////////////////
    [[nodiscard]] std::vector<Item> lateChanges(std::uint64_t sequence, std::uint64_t revision) const;

    ////////////////////////////////////////////////////////////
    /// \brief All items that exist
    ////////////////////////////////////////////////////////////
    [[nodiscard]] std::vector<Item> all() const;

    ////////////////////////////////////////////////////////////
    /// \brief Revision after which another copy has to be told all changes, to learn all removals
    ///
    /// \param revision Revision that the other copy is complete as of
    ///
    /// \return That revision, or a lower one; 0 when it needs the whole picture
    ////////////////////////////////////////////////////////////
    [[nodiscard]] std::uint64_t resendAfter(std::uint64_t revision) const;

    ////////////////////////////////////////////////////////////
    /// \brief Whether keys may have come and gone after a revision without a trace here
    ////////////////////////////////////////////////////////////
    [[nodiscard]] bool hasGapAfter(std::uint64_t revision) const;

    ////////////////////////////////////////////////////////////
    /// \brief A large value as another copy had it
    ///
    /// \param key Its key
    /// \param at  Revision that the other copy is complete as of
    ///
    /// \return The item as of its last change up to then; null when that is not kept
    ////////////////////////////////////////////////////////////
    [[nodiscard]] const Item* itemAsOf(std::string_view key, std::uint64_t at) const;

    [[nodiscard]] std::uint64_t examinedItems() const;  //!< Counts items looked at for what changed after a revision
    [[nodiscard]] std::uint64_t revision() const;       //!< Revision that the table is of; 0 before the first
    [[nodiscard]] bool          isExact() const;        //!< No gap is open
    [[nodiscard]] std::uint64_t sequence() const;       //!< Counts changes of items here
    [[nodiscard]] std::uint64_t oldestSequence() const; //!< `lateChanges` tells all since then

private:
    /// \brief Changes from one revision to another were skipped
    struct Gap
    {
        std::uint64_t from; //!< The copy was complete as of this revision
        std::uint64_t to;   //!< And again as of this one
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
    /// \brief Call for each item whose last change lies after a revision, removals included, in no order
    ///
    /// \param visit Called with the item
    ////////////////////////////////////////////////////////////
    template <typename Visit>
    void forEachChangedAfter(std::uint64_t revision, Visit visit) const;

    std::map<std::string, Item, std::less<>>  m_items;            //!< By key; removals are kept for a while
    std::uint64_t                             m_revision{0};      //!< Revision that the table is of
    std::uint64_t                             m_prunedUpTo{0};    //!< Highest revision of a removal that was forgotten
    std::multimap<std::uint64_t, std::string> m_removals;         //!< Keys of removals kept, by revision
    std::multimap<std::uint64_t, std::string> m_byRevision;       //!< Keys by the revision of their last change
    std::uint64_t                             m_indexedAfter{0};  //!< Items with higher revisions are in `m_byRevision`
    mutable std::uint64_t                     m_examinedItems{0}; //!< Items looked at for what changed
    std::map<std::string, std::deque<Item>, std::less<>>
                            m_previousValues;     //!< Earlier large values by key, newest first
    std::deque<std::string> m_changedKeys;        //!< Of the last changes here, newest last
    std::uint64_t           m_sequence{0};        //!< Changes here so far
    std::vector<Gap>        m_gaps;               //!< In order
    bool                    m_lastGapOpen{false}; //!< The last gap goes on
    std::uint64_t           m_gapOpenUpTo{0};     //!< Until the copy is of this revision
};

} // namespace sailpath::replication
