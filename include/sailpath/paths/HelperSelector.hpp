#pragma once

#include <sailpath/core/Time.hpp>
#include <sailpath/deployment/Peer.hpp>

#include <cstdint>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <vector>

namespace sailpath::paths
{
////////////////////////////////////////////////////////////
/// \brief Why a helper opened no tunnel
////////////////////////////////////////////////////////////
enum class HelperFailure
{
    NoPath,   //!< It has no path to servers either
    Busy,     //!< It has no room for another tunnel
    Silent,   //!< It does not answer, or its connection broke
    NotListed //!< It does not know the server
};

////////////////////////////////////////////////////////////
/// \brief Chooses the node through which a server is reached that this node cannot reach itself
///
/// Helpers that opened a tunnel lately come first, those of the own data
/// centre before others, the one with the fewest tunnels of this node first.
/// Without any of them, nodes of the own data centre and others take turns, as a whole
/// data centre may have lost the same path.
///
/// Does no input or output and reads no clock.
////////////////////////////////////////////////////////////
class HelperSelector
{
public:
    ////////////////////////////////////////////////////////////
    /// \param self       Address of this node; nodes that know the same helpers try them in different orders
    /// \param dataCentre Data centre of this node
    ////////////////////////////////////////////////////////////
    HelperSelector(std::string self, std::string dataCentre);

    void setPeers(std::span<const deployment::Peer> peers); //!< Nodes that may help; replaces the former list

    ////////////////////////////////////////////////////////////
    /// \brief Choose a helper; null when none is left
    ///
    /// \param tried      Addresses of helpers that are not to be chosen
    /// \param lastChoice Data centres whose helpers are chosen only when no other is left
    ////////////////////////////////////////////////////////////
    [[nodiscard]] std::optional<std::string> choose(std::span<const std::string> tried, core::Timestamp now,
                                                    std::span<const std::string> lastChoice = {}) const;

    [[nodiscard]] std::string dataCentreOf(const std::string& address) const;     //!< Empty for an unknown helper
    [[nodiscard]] bool        existsOutside(const std::string& dataCentre) const; //!< A helper of another data centre

    void recordOpened(const std::string& address, core::Timestamp now); //!< The helper opened a tunnel
    void recordClosed(const std::string& address);                      //!< A tunnel that it had opened has ended
    void recordFailed(const std::string& address, HelperFailure failure, core::Timestamp now);

    [[nodiscard]] bool isAvoided(const std::string& address, core::Timestamp now) const; //!< It failed lately
    [[nodiscard]] bool empty() const; //!< Whether no other node is known

private:
    struct Helper
    {
        std::string     dataCentre;
        std::uint64_t   rank{0};    //!< Order among equals, different on each node
        core::Timestamp openedAt{}; //!< It last opened a tunnel
        core::Timestamp avoidUntil{};
        unsigned        failures{0}; //!< In a row
        unsigned        tunnels{0};  //!< Open ones of this node
    };

    [[nodiscard]] bool isProven(const Helper& helper, core::Timestamp now) const;

    std::string                   m_self;           //!< Address of this node
    std::string                   m_dataCentre;     //!< Data centre of this node
    std::map<std::string, Helper> m_helpers;        //!< By address
    unsigned                      m_ownFailures{0}; //!< Failures in a row of helpers in the own data centre
};

} // namespace sailpath::paths
