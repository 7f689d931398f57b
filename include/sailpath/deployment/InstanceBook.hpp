#pragma once

#include <sailpath/core/Time.hpp>
#include <sailpath/deployment/Announcement.hpp>

#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace sailpath::deployment
{
////////////////////////////////////////////////////////////
/// \brief Which instances may be given requests, by what they announce and when they vanish
///
/// An instance that drains never takes requests again. One whose entry
/// vanishes is taken for leaving, unless the store failed callers shortly
/// before or most of its service vanished with it: then it is believed in
/// a little longer, as the store may have lost entries of live instances.
////////////////////////////////////////////////////////////
class InstanceBook
{
public:
    ////////////////////////////////////////////////////////////
    /// \brief Start empty
    ///
    /// \param belief Time that instances are believed in that vanish with most of their service
    ///               or beside failures of the store; shorter than the time that servers take to leave
    ////////////////////////////////////////////////////////////
    explicit InstanceBook(core::Duration belief);

    void announced(const Announcement& announcement);             //!< An entry was written
    void vanished(std::string_view id, core::Timestamp earliest); //!< An entry was removed, at that time or later
    void settle(bool storeIll, core::Timestamp now);              //!< Drop those whose time is up

    [[nodiscard]] std::vector<Instance>          list() const;    //!< Those to be believed in, draining ones included
    [[nodiscard]] std::optional<core::Timestamp> nextDue() const; //!< When `settle` is to be called

private:
    struct Entry
    {
        Announcement                   last;           //!< As it last said
        bool                           drained{false}; //!< It said that it drains
        std::optional<core::Timestamp> believeUntil;   //!< Its entry vanished; null while it stands
        std::optional<core::Timestamp> forgetAt;       //!< Not in force; kept to know late writes by
    };

    [[nodiscard]] bool mostVanished(const std::string& service) const;

    core::Duration                            m_belief;  //!< Time
    std::map<std::string, Entry, std::less<>> m_entries; //!< By id
};

} // namespace sailpath::deployment
