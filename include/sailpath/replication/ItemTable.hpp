#pragma once

#include <sailpath/core/Time.hpp>
#include <sailpath/replication/Item.hpp>

#include <cstdint>
#include <functional>
#include <map>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace sailpath::replication
{
////////////////////////////////////////////////////////////
/// \brief A node's copy of the store's items; each key only moves to higher revisions
////////////////////////////////////////////////////////////
class ItemTable
{
public:
    ////////////////////////////////////////////////////////////
    /// \brief Take changes
    ///
    /// \param items   Changes, in any order
    /// \param at      Revision that they bring the table to
    /// \param changed Receives the items that changed here
    ////////////////////////////////////////////////////////////
    void take(std::span<const Item> items, std::uint64_t at, std::vector<Item>& changed);

    ////////////////////////////////////////////////////////////
    /// \brief Take all items as of a revision; others with lower revisions are gone
    ////////////////////////////////////////////////////////////
    void takeAll(std::span<const Item> items, std::uint64_t at, std::vector<Item>& changed);

    ////////////////////////////////////////////////////////////
    /// \brief Changes after a revision, removals included
    ////////////////////////////////////////////////////////////
    [[nodiscard]] std::vector<Item> since(std::uint64_t revision) const;

    ////////////////////////////////////////////////////////////
    /// \brief All items that exist
    ////////////////////////////////////////////////////////////
    [[nodiscard]] std::vector<Item> all() const;

    [[nodiscard]] std::uint64_t at() const;          //!< Revision that the table is of; 0 before the first
    [[nodiscard]] std::uint64_t oldestSince() const; //!< `since` is complete for revisions from here on

private:
    void put(const Item& item, std::vector<Item>& changed);
    void forgetRemovals();

    std::map<std::string, Item, std::less<>> m_items;        //!< By key; removals are kept for a while
    std::uint64_t                            m_at{0};        //!< Revision that the table is of
    std::uint64_t                            m_forgotten{0}; //!< Highest revision of a removal that was forgotten
    std::size_t                              m_removals{0};  //!< Removals kept
};

} // namespace sailpath::replication
