#pragma once

#include <sailpath/core/Time.hpp>
#include <sailpath/deployment/Instance.hpp>
#include <sailpath/paths/PathState.hpp>

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace sailpath::paths
{
////////////////////////////////////////////////////////////
/// \brief The path to a service or a data centre was lost or is back
////////////////////////////////////////////////////////////
struct PathChange
{
    std::string    group;        //!< `service/NAME` or `data-centre/NAME`
    bool           lost{false};  //!< It was lost; otherwise it is back
    std::size_t    servers{0};   //!< When lost: servers that other nodes reach and this one does not
    core::Duration lostFor{};    //!< When back: time since the first failure
    std::string    evidenceFrom; //!< Instance whose failure or answer decided
};

////////////////////////////////////////////////////////////
/// \brief A server whose direct path failed
////////////////////////////////////////////////////////////
struct FailedPath
{
    deployment::Instance instance;                 //!< The server
    PathState            state{PathState::Direct}; //!< What is known of the path
    core::Duration       failedFor{};              //!< Time since the first failure
};

////////////////////////////////////////////////////////////
/// \brief Tells servers that this node cannot reach from servers that nobody can reach
///
/// The direct path to a server is lost when it failed, a helper, another node,
/// reached the server, and a direct attempt that began after that failed too:
/// a server that starts or returns is reached by whoever tries last. Two lost servers of one service or of one data
/// centre stand for all of it, until a new direct connection to one of them
/// works. A server that a helper cannot reach either is at fault itself.
///
/// Does no input or output and reads no clock.
////////////////////////////////////////////////////////////
class PathMonitor
{
public:
    ////////////////////////////////////////////////////////////
    /// \brief Record bytes from a server on a direct connection
    ///
    /// A connection that was opened before the path failed may live on while
    /// new ones fail, so it shows nothing about them.
    ///
    /// \param openedAt When the connection was opened
    ////////////////////////////////////////////////////////////
    void recordHeard(const deployment::Instance& server, core::Timestamp openedAt, core::Timestamp now);

    ////////////////////////////////////////////////////////////
    /// \brief Record a direct connection that failed or is silent
    ///
    /// \param startedAt When it began to connect, or when the request without an answer was sent
    ////////////////////////////////////////////////////////////
    void recordFailed(const deployment::Instance& server, core::Timestamp startedAt, core::Timestamp now);

    void recordReached(const deployment::Instance& server, core::Timestamp now); //!< A helper reached the server
    ////////////////////////////////////////////////////////////
    /// \brief Helpers that reach servers cannot reach this one
    ///
    /// \param refused It refused all of their connections
    ////////////////////////////////////////////////////////////
    void recordUnreachable(const deployment::Instance& server, bool refused, core::Timestamp now);
    void forget(const deployment::Instance& server, core::Timestamp now); //!< The server is not declared any more

    [[nodiscard]] PathState state(const deployment::Instance& server, core::Timestamp now) const;
    [[nodiscard]] std::optional<core::Timestamp>
                       lostSince(const deployment::Instance& server,
                                 core::Timestamp             now) const; //!< First failure; null unless the path is lost
    [[nodiscard]] bool isUnreachable(const deployment::Instance& server,
                                     core::Timestamp             now) const; //!< A helper could not reach it just now
    [[nodiscard]] bool isRefusing(const deployment::Instance& server,
                                  core::Timestamp             now) const;                      //!< It refused helpers just now
    [[nodiscard]] bool heardWithin(core::Duration age, core::Timestamp now) const; //!< From any server, directly
    [[nodiscard]] bool freshHeardWithin(core::Duration  age,
                                        core::Timestamp now) const; //!< The same, on a connection opened just before
    [[nodiscard]] bool anyFailed() const; //!< Whether the direct path to any server failed lately
    [[nodiscard]] bool anyLost(core::Timestamp now) const;
    [[nodiscard]] bool needsTrial(const deployment::Instance& server,
                                  core::Timestamp now) const; //!< A direct attempt has to show whether its path is lost

    ////////////////////////////////////////////////////////////
    /// \brief Choose a lost server to be tried directly; null when none is lost or one was tried just now
    ////////////////////////////////////////////////////////////
    [[nodiscard]] std::optional<deployment::Instance> nextRecheck(core::Timestamp now);

    [[nodiscard]] std::vector<PathChange> takeChanges();                   //!< Changes since the last call
    [[nodiscard]] std::vector<FailedPath> list(core::Timestamp now) const; //!< Servers whose direct path failed

private:
    struct Record
    {
        deployment::Instance           instance;
        core::Timestamp                firstFailedAt{};
        core::Timestamp                failedAt{};      //!< Last failure of the direct path
        core::Timestamp                lastStartedAt{}; //!< When the latest attempt that failed began
        std::optional<core::Timestamp> firstReachedAt;  //!< A helper first reached the server after that
        std::optional<core::Timestamp> reachedAt;       //!< A helper last reached the server
        core::Timestamp                lostUntil{};     //!< The path counts as lost by itself until then
        unsigned                       losses{0};       //!< Times in a row that the path was found lost
        core::Timestamp                unreachableUntil{};
        bool                           refused{false}; //!< With `unreachableUntil`: it refused the helpers
        core::Timestamp                recheckedAt{};
    };

    struct Group
    {
        std::map<std::string, core::Timestamp> lostServers;     //!< Time of the last evidence, by instance id
        core::Timestamp                        firstFailedAt{}; //!< Of the lost servers
        bool                                   lost{false};     //!< All servers of the group count as lost
    };

    using Groups = std::map<std::string, Group>;

    void                       conclude(Record& record, core::Timestamp now);
    void                       addToGroup(const std::string& name, const Record& record, core::Timestamp now);
    void                       regain(Groups::iterator group, const std::string& evidenceFrom, core::Timestamp now);
    void                       expire(core::Timestamp now);
    [[nodiscard]] bool         isLost(const Record& record, core::Timestamp now) const;
    [[nodiscard]] const Group* lostGroupOf(const deployment::Instance& server) const;

    std::unordered_map<std::string, Record> m_records;        //!< Servers whose direct path failed, by instance id
    Groups                                  m_groups;         //!< Services and data centres with lost servers
    std::vector<PathChange>                 m_changes;        //!< Not taken yet
    core::Timestamp                         m_heardAt{};      //!< Last bytes of any server on a direct connection
    core::Timestamp                         m_freshHeardAt{}; //!< The same, on a connection opened just before
    core::Timestamp                         m_recheckedAt{};  //!< Last choice of `nextRecheck`
};

} // namespace sailpath::paths
