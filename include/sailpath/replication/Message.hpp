#pragma once

#include <sailpath/core/ContentHash.hpp>
#include <sailpath/replication/Item.hpp>

#include <algorithm>
#include <cstdint>
#include <memory>
#include <string>
#include <vector>

namespace sailpath::replication
{
////////////////////////////////////////////////////////////
/// \brief Address and capacity of a node, as sent to other nodes
////////////////////////////////////////////////////////////
struct NodeAddress
{
    std::string   address;     //!< `IP:PORT` on which the node accepts connections of its peers
    std::string   dataCentre;  //!< Data centre of the node
    std::uint32_t ageMs{0};    //!< Time in ms since any node last heard from it directly
    std::uint32_t capacity{0}; //!< Capacity to serve other nodes; each step stands for twice as much

    friend bool operator==(const NodeAddress&, const NodeAddress&) = default;
};

////////////////////////////////////////////////////////////
/// \brief A server instance that ended while it ran a request
////////////////////////////////////////////////////////////
struct EndRecord
{
    std::uint32_t     server{0}; //!< Hash of the instance
    core::ContentHash content;   //!< Content hash of the request
    std::uint32_t     caller{0}; //!< Hash of the caller's address
    std::uint32_t     ranMs{0};  //!< Time in ms from sending the request to the end of the instance
    std::uint32_t     agoMs{0};  //!< Time in ms from the end of the instance to the report

    friend bool operator==(const EndRecord&, const EndRecord&) = default;
};

////////////////////////////////////////////////////////////
/// \brief Rate limit of a server instance or quota of a workspace, with the requests that the reporting node sent
///
/// The limit is the latest that the node knows; the requests are those since its previous report.
////////////////////////////////////////////////////////////
struct LimitRecord
{
    std::uint32_t server{0};    //!< Hash of the instance, or of the workspace's name
    double        perSecond{0}; //!< Requests per second from all nodes together; infinite if not limited
    std::uint32_t agoMs{0};     //!< Time in ms from the server's announcement of the limit to the report
    double        sent{0};      //!< Requests that the node sent since its previous report
    double        doublings{0}; //!< Binary logarithm of the probability that the node sends a request to the server;
                                //!< above 0 with capacity in reserve
    std::uint8_t  topic{0};     //!< What the record is about; 0 for a limit or quota, see `deployment::LimitTopic`

    [[nodiscard]] bool
    isNearLimit() const //!< Whether little is in reserve, so that other nodes need the report at once
    {
        constexpr double nearLimitDoublings = 1;
        return topic == 0 && doublings <= nearLimitDoublings;
    }

    friend bool operator==(const LimitRecord&, const LimitRecord&) = default;
};

////////////////////////////////////////////////////////////
/// \brief A node's observations of server instances: failures, ends while requests ran, limits
///
/// Sent over all links, each report once per link (see `ServerGossip`).
////////////////////////////////////////////////////////////
struct ServerReport
{
    std::uint32_t                  origin{0}; //!< Hash of the address of the reporting node
    std::uint32_t                  number{0}; //!< Number of the report; increases with each report of the node
    std::vector<std::uint32_t>     servers;   //!< Hashes of instances that failed a request
    std::vector<EndRecord>         ends{};    //!< Instances that ended, with the requests that ran there
    std::vector<core::ContentHash> served{};  //!< Requests from such instances that were answered afterwards
    std::vector<LimitRecord>       limits{};  //!< Limits of instances and quotas of workspaces

    [[nodiscard]] bool isUrgent() const //!< Whether the report is sent without delay
    {
        const bool nearLimit =
            std::any_of(limits.begin(), limits.end(), [](const LimitRecord& limit) { return limit.isNearLimit(); });
        return !ends.empty() || !served.empty() || nearLimit;
    }

    [[nodiscard]] bool hasLimits() const //!< Whether it holds limits, which are batched but precede the next heartbeat
    {
        return !limits.empty();
    }

    friend bool operator==(const ServerReport&, const ServerReport&) = default;
};

////////////////////////////////////////////////////////////
/// \brief First message on a link, sent by the node that opened it to request updates
////////////////////////////////////////////////////////////
struct Hello
{
    NodeAddress   self;         //!< Node that sends the message
    std::uint64_t at{0};        //!< Revision of its copy; 0 requests all items
    bool          packs{false}; //!< The node accepts `Update::sharedItems`
};

////////////////////////////////////////////////////////////
/// \brief A large item, sent as the delta from an earlier value that the receiver has
////////////////////////////////////////////////////////////
struct PackedItem
{
    std::string   key;         //!< Full key
    std::uint64_t revision{0}; //!< Store revision of the change
    std::uint64_t base{0};     //!< Revision of the earlier value
    std::string   packed;      //!< Delta; see `packValue`
};

////////////////////////////////////////////////////////////
/// \brief Message of a relay to a follower: changes since the last update, and the age of the relay's copy
////////////////////////////////////////////////////////////
struct Update
{
    std::uint64_t             at{0};         //!< Revision of the relay's copy; 0 if the relay sends no items
    std::uint64_t             after{0};      //!< All items that changed after this revision are listed; 0 with `full`
    std::uint32_t             ageMs{0};      //!< Time in ms since the copy was known to match the store
    std::uint32_t             illAgeMs{0};   //!< Time in ms since a call to the store last failed, as the relay knows
    std::uint64_t             sentMs{0};     //!< Relay's steady clock in ms, to measure the delay of updates
    bool                      full{false};   //!< All items are listed; any other item does not exist as of `at`
    bool                      gapped{false}; //!< Keys may have been created and removed after `after` without a trace
    std::vector<Item>         items;         //!< Items as of `at` that changed after `after`, and known removals
    std::vector<PackedItem>   packed;        //!< Large items among these changes
    std::vector<NodeAddress>  nodes;         //!< Known nodes, empty if left out; from a seed that sends no items to a
                                             //!< follower without a copy (`at` is 0): relays to follow instead
    std::vector<ServerReport> news;          //!< Reports received or made since the last update
    std::shared_ptr<const std::vector<Item>>
        sharedItems; //!< With `full`: all items in place of `items`, in one list that all updates share
};

////////////////////////////////////////////////////////////
/// \brief Message of a relay to the relays that it follows
///
/// Lists of nodes are otherwise sent to followers only, so that a relay would not learn of nodes behind its followers.
////////////////////////////////////////////////////////////
struct Report
{
    std::vector<NodeAddress>  nodes; //!< Followers; empty if left out
    std::vector<ServerReport> news;  //!< Reports received or made since the last `Report`
};

} // namespace sailpath::replication
