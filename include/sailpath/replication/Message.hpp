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
/// \brief A node as others know it
////////////////////////////////////////////////////////////
struct NodeAddress
{
    std::string   address;     //!< `IP:PORT` where peers connect
    std::string   dataCentre;  //!< Where it runs
    std::uint32_t ageMs{0};    //!< Time since it was heard of at first hand
    std::uint32_t capacity{0}; //!< How well it can serve others; doubles with each step

    friend bool operator==(const NodeAddress&, const NodeAddress&) = default;
};

////////////////////////////////////////////////////////////
/// \brief A server ended while it ran a request
////////////////////////////////////////////////////////////
struct EndRecord
{
    std::uint32_t     server{0}; //!< Hash of the server's life
    core::ContentHash content;   //!< Of the request
    std::uint32_t     caller{0}; //!< Hash of its caller's address
    std::uint32_t     ranMs{0};  //!< From its sending to the server's end
    std::uint32_t     agoMs{0};  //!< From the server's end to the report

    friend bool operator==(const EndRecord&, const EndRecord&) = default;
};

////////////////////////////////////////////////////////////
/// \brief What a limited server takes, as a node heard it last, and what the node sent there since it told last
///
/// Or the quota of a workspace, and what the node sent for it.
////////////////////////////////////////////////////////////
struct LimitRecord
{
    std::uint32_t server{0};    //!< Hash of the server's life, or of the workspace's name
    double        perSecond{0}; //!< Requests from all nodes together; infinite for everything
    std::uint32_t agoMs{0};     //!< From the server's word to the report
    double        sent{0};      //!< Requests
    double        doublings{0}; //!< How open the server is to the node: binary logarithm of a request's chance

    [[nodiscard]] bool isNearLimit() const //!< Little is saved up, so that others have to hear at once
    {
        constexpr double nearLimitDoublings = 1;
        return doublings <= nearLimitDoublings;
    }

    friend bool operator==(const LimitRecord&, const LimitRecord&) = default;
};

////////////////////////////////////////////////////////////
/// \brief What a node saw of servers: which failed requests that they had taken, which ended, which are limited
///
/// Travels over all links, each report once over each (see `ServerGossip`).
////////////////////////////////////////////////////////////
struct ServerReport
{
    std::uint32_t                  origin{0}; //!< Hash of the node's address
    std::uint32_t                  number{0}; //!< Rises with each report of the node
    std::vector<std::uint32_t>     servers;   //!< That failed: hashes of the servers' lives
    std::vector<EndRecord>         ends{};    //!< Servers that ended, and what ran there
    std::vector<core::ContentHash> served{};  //!< Requests that had been at such servers and were answered since
    std::vector<LimitRecord>       limits{};  //!< Servers that take only so much

    [[nodiscard]] bool isUrgent() const //!< It is not to wait for the next regular message
    {
        const bool nearLimit =
            std::any_of(limits.begin(), limits.end(), [](const LimitRecord& limit) { return limit.isNearLimit(); });
        return !ends.empty() || !served.empty() || nearLimit;
    }

    [[nodiscard]] bool hasLimits() const //!< It may wait for others, though not for the next regular message
    {
        return !limits.empty();
    }

    friend bool operator==(const ServerReport&, const ServerReport&) = default;
};

////////////////////////////////////////////////////////////
/// \brief What a node says first on a link that it opened: it wants updates
////////////////////////////////////////////////////////////
struct Hello
{
    NodeAddress   self;         //!< Who it is
    std::uint64_t at{0};        //!< Revision that it has
    bool          packs{false}; //!< It understands `Update::whole`
};

////////////////////////////////////////////////////////////
/// \brief A large item, told as its difference from an earlier value that the other side has
////////////////////////////////////////////////////////////
struct PackedItem
{
    std::string   key;         //!< Whole key
    std::uint64_t revision{0}; //!< The store's revision of the change
    std::uint64_t base{0};     //!< Revision of the earlier value
    std::string   packed;      //!< See `packValue`
};

////////////////////////////////////////////////////////////
/// \brief What a relay sends: changes since the last update, and how fresh its picture is
////////////////////////////////////////////////////////////
struct Update
{
    std::uint64_t             at{0};         //!< The store's revision that the picture is of
    std::uint64_t             after{0};      //!< All that changed after this revision is told; 0 with the whole picture
    std::uint32_t             ageMs{0};      //!< Time since the picture was known to be the store's
    std::uint32_t             illAgeMs{0};   //!< Time since the store failed a call of the relay
    std::uint64_t             sentMs{0};     //!< The relay's steady clock, for how long updates take on their way
    bool                      full{false};   //!< All items; others do not exist as of `at`
    bool                      gapped{false}; //!< Keys may have come and gone after `after` that nobody tells of
    std::vector<Item>         items;         //!< Items as of `at` that changed after `after`, and known removals
    std::vector<PackedItem>   packed;        //!< Of these items, the large ones
    std::vector<NodeAddress>  nodes;         //!< Nodes known of; empty when left out; of a seed without a copy for its
                                             //!< follower (`at` is 0): the relays to follow instead
    std::vector<ServerReport> news;          //!< Heard since the last update
    std::shared_ptr<const std::vector<Item>>
        sharedItems; //!< With `full`: all items in place of `items`, one list for all
};

////////////////////////////////////////////////////////////
/// \brief What a relay tells its own relays: who follows it, as lists of nodes travel to followers only
////////////////////////////////////////////////////////////
struct Report
{
    std::vector<NodeAddress>  nodes; //!< Followers; empty when left out
    std::vector<ServerReport> news;  //!< Heard since the last report
};

} // namespace sailpath::replication
