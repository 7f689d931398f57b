#pragma once

#include <sailpath/core/Time.hpp>
#include <sailpath/deployment/LimitReport.hpp>

#include <cstddef>
#include <cstdint>
#include <optional>
#include <span>
#include <unordered_map>

namespace sailpath::balance::quotas
{
////////////////////////////////////////////////////////////
/// \brief One node's estimate of the share of the fleet that it hears while a quota binds
///
/// Load pattern: a workspace sends many times its quota while the fleet is cut
/// in parts, or a part of it has lost power. A part cannot tell one from the
/// other, so it may use its share of the quota only.
///
/// While a quota binds, each of a fixed number of nodes, chosen by the hash of
/// their addresses, reports its presence at an interval. Any two parts of the
/// fleet hear disjoint sets of these nodes, so their shares add up to one at
/// most. Without a binding quota no node reports.
////////////////////////////////////////////////////////////
class FleetPresence
{
public:
    static constexpr auto interval = std::chrono::milliseconds{300}; //!< Between two presence reports of a node
    static constexpr auto timeout = std::chrono::milliseconds{900};  //!< A node silent for longer is out of contact

    explicit FleetPresence(std::uint32_t self); //!< \param self Short hash of this node's address

    ////////////////////////////////////////////////////////////
    /// \brief Set the nodes heard of recently, this one included; empty if they are unknown
    ///
    /// A node that is no longer listed counts for ten more minutes, as it may be out of contact.
    ////////////////////////////////////////////////////////////
    void setMembers(std::span<const std::uint32_t> members, core::Timestamp now);

    void setWatching(bool watching, core::Timestamp now);         //!< Whether a quota binds
    void recordReport(std::uint32_t node, core::Timestamp now);   //!< Record that any report of a node arrived
    [[nodiscard]] bool        takeReportDue(core::Timestamp now); //!< Whether this node is to report its presence now
    [[nodiscard]] double      share(core::Timestamp now) const;   //!< Share of the fleet that is heard, 0 to 1
    [[nodiscard]] std::size_t memberCount() const;                //!< Nodes that share the quotas
    [[nodiscard]] std::size_t heardCount(core::Timestamp now) const; //!< Chosen nodes that are heard
    [[nodiscard]] std::size_t chosenCount() const;                   //!< Nodes that report their presence

private:
    struct Member
    {
        core::Timestamp listedAt; //!< Last time at which it was a member
        core::Timestamp heardAt;  //!< Last report, or when it was first expected to report
        bool            chosen{false};
    };

    void choose();

    std::uint32_t                             m_self;
    std::unordered_map<std::uint32_t, Member> m_members;
    std::size_t                               m_chosen{0};
    bool                                      m_watching{false};
    std::optional<core::Timestamp>            m_reportedAt; //!< Last presence report of this node
};

} // namespace sailpath::balance::quotas
