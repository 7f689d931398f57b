#pragma once

#include <sailpath/core/Time.hpp>
#include <sailpath/deployment/Announcement.hpp>
#include <sailpath/deployment/InstanceChanges.hpp>

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace sailpath::deployment
{
////////////////////////////////////////////////////////////
/// \brief Times for which instances are kept in use after their entries were removed from the store
////////////////////////////////////////////////////////////
struct InstanceRetentionSettings
{
    core::Duration retention{
        std::chrono::milliseconds{1100}};                    //!< Retention when most of the service was removed or the
                                                             //!< store failed; shorter than servers take to leave
    core::Duration outageThreshold{std::chrono::seconds{2}}; //!< A copy not refreshed for longer counts as an outage
    core::Duration reannounceWindow{
        std::chrono::milliseconds{1800}}; //!< Time from the end of an outage by which live servers
                                          //!< have announced themselves again
};

////////////////////////////////////////////////////////////
/// \brief Decides which instances may get requests, from their announcements and the removal of their entries
///
/// A server that restarts under its id is another instance. The announcement
/// received last belongs to the newest life, unless its life is known to have
/// ended: the server's clock may have been set back between two lives, and
/// a write of an earlier life may complete late.
///
/// An instance that drains never gets requests again. An instance whose entry
/// is removed counts as leaving, unless the store failed shortly before or most
/// of the service was removed with the entry: in these cases the instance is
/// retained a little longer, as the store may have lost entries of live ones.
/// When many entries, or most of a service, are missing after an outage, live
/// servers get time to announce themselves again; instances that are still
/// missing at the end of that time are dropped.
////////////////////////////////////////////////////////////
class InstanceRegistry
{
public:
    ////////////////////////////////////////////////////////////
    /// \brief Create an empty registry
    ///
    /// \param settings Retention times
    ////////////////////////////////////////////////////////////
    explicit InstanceRegistry(InstanceRetentionSettings settings);

    ////////////////////////////////////////////////////////////
    /// \brief Apply a refresh of the copy of the store; called before the removals that the refresh brought
    ///
    /// \param before Age of the copy before the refresh
    /// \param now    Current time
    ////////////////////////////////////////////////////////////
    void applyRefresh(core::Duration before, core::Timestamp now);

    ////////////////////////////////////////////////////////////
    /// \brief Apply an announcement that was written to the store
    ///
    /// \return False when the announcement is stale: of an earlier life, or an earlier one of this life
    ////////////////////////////////////////////////////////////
    bool applyAnnouncement(const Announcement& announcement);

    void applyUnreadableEntry(std::string_view id, core::Timestamp now); //!< Drop an instance
    void applyRemoval(std::string_view id, core::Timestamp earliest); //!< An entry was removed at `earliest` or later
    void expire(bool storeIll, core::Timestamp now);                  //!< Drop instances whose retention has ended

    [[nodiscard]] InstanceChanges                takeChanges(); //!< Changes of the usable instances since the last call
    [[nodiscard]] std::vector<Instance>          list() const;  //!< Usable instances, draining ones included
    [[nodiscard]] std::optional<core::Timestamp> nextDue() const;         //!< Time at which to call `expire`
    [[nodiscard]] std::uint64_t                  entriesExamined() const; //!< Entries examined so far

private:
    struct Entry
    {
        Announcement                   last;                //!< Latest announcement
        bool                           drained{false};      //!< This life has announced that it drains
        std::optional<core::Timestamp> retainUntil;         //!< End of retention; null while the entry exists
        bool                           lostInOutage{false}; //!< The entry was removed during an outage of the store
        std::optional<core::Timestamp> forgetAt;     //!< When the tombstone expires; null while the instance is usable
        std::vector<std::uint64_t>     earlierLives; //!< Starts (`born`) of the server's ended lives
    };

    /// \brief Counts the instances of a service that are not known to be leaving
    struct Count
    {
        std::size_t all{0};
        std::size_t removed{0};      //!< Instances whose entries were removed
        std::size_t lostInOutage{0}; //!< Instances whose entries were removed during an outage of the store
    };

    static void        startNewLife(Entry& entry); //!< Reset an entry for a new life
    void               count(const Entry& entry, bool in);
    void               recordChange(const std::string& id, const Entry& entry, const std::optional<Instance>& before);
    [[nodiscard]] bool mostRemoved(const std::string& service) const;
    [[nodiscard]] bool manyLostInOutage() const;

    ////////////////////////////////////////////////////////////
    /// \brief Change an entry and update the counts, indexes and pending changes that depend on the entry
    ////////////////////////////////////////////////////////////
    template <typename Change>
    void change(const std::string& id, Entry& entry, Change apply);

    InstanceRetentionSettings                 m_settings; //!< Retention times
    std::map<std::string, Entry, std::less<>> m_entries;  //!< Entries by server id
    std::map<std::string, Count>              m_counts;   //!< Counts by service
    std::set<std::string>                     m_retained; //!< Ids of retained instances, whose entries were removed
    std::set<std::pair<core::Timestamp, std::string>> m_tombstones; //!< Expiry times and ids of tombstones
    std::map<std::string, std::optional<Instance>>    m_changes;    //!< Former state by id; null: was not usable
    mutable std::uint64_t                             m_entriesExamined{0}; //!< Entries examined so far
    std::optional<core::Timestamp>                    m_reannounceUntil; //!< End of `reannounceWindow` after an outage
};

} // namespace sailpath::deployment
