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
/// \brief How long instances are believed in whose entries vanished
////////////////////////////////////////////////////////////
struct BeliefSettings
{
    core::Duration belief{std::chrono::milliseconds{1100}}; //!< With most of their service, or beside failures of the
                                                            //!< store; shorter than the time servers take to leave
    core::Duration outage{std::chrono::seconds{2}};         //!< A copy not renewed for longer missed an outage
    core::Duration reannounce{std::chrono::milliseconds{1800}}; //!< Live servers are back this soon after an outage
};

////////////////////////////////////////////////////////////
/// \brief Which instances may be given requests, by what they announce and when they vanish
///
/// A server that starts again under its id is another instance. What comes
/// last is the newer life, unless that life is known to be over: the server's
/// clock may have been set back in between, and a write of the earlier life may
/// be done late.
///
/// An instance that drains never takes requests again. One whose entry
/// vanishes is taken for leaving, unless the store failed callers shortly
/// before or most of its service vanished with it: then it is believed in
/// a little longer, as the store may have lost entries of live instances.
/// When many entries, or most of a service, are missing after an outage, live
/// servers get the time to announce themselves again; what is missing after it
/// is gone.
////////////////////////////////////////////////////////////
class InstanceBook
{
public:
    ////////////////////////////////////////////////////////////
    /// \brief Start empty
    ///
    /// \param settings Times
    ////////////////////////////////////////////////////////////
    explicit InstanceBook(BeliefSettings settings);

    ////////////////////////////////////////////////////////////
    /// \brief Note that the copy of the store was renewed; called before what the renewal removed
    ///
    /// \param before Age of the copy until then
    /// \param now    Time
    ////////////////////////////////////////////////////////////
    void renewed(core::Duration before, core::Timestamp now);

    ////////////////////////////////////////////////////////////
    /// \brief An entry was written
    ///
    /// \return False when it is a late word, of an earlier life or an earlier one of this life
    ////////////////////////////////////////////////////////////
    bool announced(const Announcement& announcement);

    void unreadable(std::string_view id, core::Timestamp now);    //!< Its entry names no server any more
    void vanished(std::string_view id, core::Timestamp earliest); //!< An entry was removed, at that time or later
    void settle(bool storeIll, core::Timestamp now);              //!< Drop those whose time is up

    [[nodiscard]] InstanceChanges                takeChanges();   //!< Of those believed in, since the last call
    [[nodiscard]] std::vector<Instance>          list() const;    //!< Those to be believed in, draining ones included
    [[nodiscard]] std::optional<core::Timestamp> nextDue() const; //!< When `settle` is to be called
    [[nodiscard]] std::uint64_t                  looked() const;  //!< Counts instances looked at

private:
    struct Entry
    {
        Announcement                   last;           //!< As it last said
        bool                           drained{false}; //!< It said that it drains
        std::optional<core::Timestamp> believeUntil;   //!< Its entry vanished; null while it stands
        bool                           lapsed{false};  //!< It vanished with an outage of the store
        std::optional<core::Timestamp> forgetAt;       //!< Not in force; kept to know late writes by
        std::vector<std::uint64_t>     earlier;        //!< Starts of its lives that are over
    };

    /// \brief Instances that are not known to leave
    struct Count
    {
        std::size_t all{0};
        std::size_t vanished{0}; //!< Of these, entries that vanished
        std::size_t lapsed{0};   //!< Of these, with an outage of the store
    };

    static void        begin(Entry& entry); //!< Of a new life
    void               count(const Entry& entry, bool in);
    void               noteTold(const std::string& id, const Entry& entry, const std::optional<Instance>& before);
    [[nodiscard]] bool mostVanished(const std::string& service) const;
    [[nodiscard]] bool manyLapsed() const;

    ////////////////////////////////////////////////////////////
    /// \brief Change an entry, with all that is counted and told of it
    ////////////////////////////////////////////////////////////
    template <typename Change>
    void change(const std::string& id, Entry& entry, Change apply);

    BeliefSettings                                    m_settings;  //!< Times
    std::map<std::string, Entry, std::less<>>         m_entries;   //!< By id
    std::map<std::string, Count>                      m_counts;    //!< By service
    std::set<std::string>                             m_waiting;   //!< Ids of entries that vanished and are believed in
    std::set<std::pair<core::Timestamp, std::string>> m_left;      //!< Those not in force, by when they are forgotten
    std::map<std::string, std::optional<Instance>>    m_changes;   //!< By id, as last taken; null: not believed in then
    mutable std::uint64_t                             m_looked{0}; //!< Instances looked at
    std::optional<core::Timestamp> m_lapseUntil; //!< After an outage: until then lapsed entries may come back
};

} // namespace sailpath::deployment
