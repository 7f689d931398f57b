#pragma once

#include <sailpath/adapters/links/Codec.hpp>
#include <sailpath/adapters/links/TunnelRequest.hpp>
#include <sailpath/adapters/settings/Endpoint.hpp>
#include <sailpath/replication/Replica.hpp>

#include <functional>
#include <memory>
#include <string>

namespace asio
{
class io_context;
}

namespace sailpath::adapters::links
{
////////////////////////////////////////////////////////////
/// \brief What the hub tells
////////////////////////////////////////////////////////////
struct LinkEvents
{
    std::function<void(replication::LinkId)>                     opened;   //!< A link that this side opened is up
    std::function<void(replication::LinkId)>                     closed;   //!< A link ended or did not come up
    std::function<void(replication::LinkId, const LinkMessage&)> received; //!< A message arrived
    std::function<void(replication::LinkId)>                     alive;    //!< A part of a message arrived
    std::function<void(TunnelRequest)> tunnelAsked{}; //!< A connection asks for a tunnel and is no link any more
};

////////////////////////////////////////////////////////////
/// \brief TCP links between nodes, on one loop; never blocks, a peer that does not read is dropped
////////////////////////////////////////////////////////////
class LinkHub
{
public:
    LinkHub(asio::io_context& context, const settings::Endpoint& listen, LinkEvents events);
    ~LinkHub();
    LinkHub(const LinkHub&) = delete;
    LinkHub& operator=(const LinkHub&) = delete;

    void open(replication::LinkId link, const std::string& address); //!< Connect; `opened` or `closed` follows
    void close(replication::LinkId link);                            //!< Close; nothing follows
    void send(replication::LinkId link, const LinkMessage& message); //!< Send if the link is up

private:
    struct Impl;
    std::shared_ptr<Impl> m_impl; //!< Links; handlers under way keep it
};

} // namespace sailpath::adapters::links
