#include <sailpath/adapters/links/LinkHub.hpp>

#include <sailpath/core/ReceiveBuffer.hpp>

#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <asio/post.hpp>
#include <asio/write.hpp>

#include <array>
#include <map>
#include <netinet/tcp.h>

namespace sailpath::adapters::links
{
namespace
{
using replication::LinkId;

constexpr std::size_t mostUnsent =
    2UL << 20U; // Bytes that wait for one peer; it is dropped then, and reads the store itself
constexpr std::size_t mostUnsentAll = 24UL
                                      << 20U; // Bytes that wait for all peers; whoever would add to them is dropped
// Bytes of unfinished messages of all peers. One message may be as long as `decode` allows; whoever would add more while
// others hold some is dropped.
constexpr std::size_t mostUnreadAll = 64UL << 20U;
constexpr int         silenceMs = 1500; // Unacknowledged bytes until a link is given up

} // namespace

////////////////////////////////////////////////////////////
struct LinkHub::Impl : public std::enable_shared_from_this<LinkHub::Impl>
{
    struct Link
    {
        explicit Link(asio::ip::tcp::socket given) :
        socket(std::move(given))
        {
        }

        asio::ip::tcp::socket  socket;         //!< Connection
        core::ReceiveBuffer    unread;         //!< Bytes not taken yet
        std::string            writing;        //!< Bytes on their way
        std::string            waiting;        //!< Bytes behind them
        std::array<char, 8192> buffer{};       //!< Bytes as they come
        bool                   up{false};      //!< Connected
        bool                   greeted{false}; //!< A message of a link has arrived
        bool                   dropped{false}; //!< Closed by this side
    };

    using LinkPtr = std::shared_ptr<Link>;

    Impl(asio::io_context& loop, const settings::Endpoint& listen, LinkEvents told) :
    context(loop),
    acceptor(loop, asio::ip::tcp::endpoint(asio::ip::make_address(listen.address), listen.port), true),
    events(std::move(told))
    {
    }

    void accept()
    {
        acceptor.async_accept(
            [self = shared_from_this()](const asio::error_code& error, asio::ip::tcp::socket socket)
            {
                if (error == asio::error::operation_aborted)
                    return;
                if (!error)
                {
                    const LinkId id = self->nextAccepted;
                    self->nextAccepted += 2;
                    auto link = std::make_shared<Link>(std::move(socket));
                    self->links[id] = link;
                    self->start(id, link);
                }
                self->accept();
            });
    }

    void start(LinkId id, const LinkPtr& link)
    {
        asio::error_code ignored;
        link->socket.set_option(asio::ip::tcp::no_delay(true), ignored);
        const asio::detail::socket_option::integer<IPPROTO_TCP, TCP_USER_TIMEOUT> silence(silenceMs);
        link->socket.set_option(silence, ignored);
        link->up = true;
        read(id, link);
    }

    void read(LinkId id, const LinkPtr& link)
    {
        link->socket.async_read_some(
            asio::buffer(link->buffer),
            [self = shared_from_this(), id, link](const asio::error_code& error, std::size_t bytes)
            {
                if (link->dropped)
                    return;
                if (error || !self->take(id, link, bytes))
                    return self->end(id, link);
                if (!link->dropped)
                    self->read(id, link);
            });
    }

    bool take(LinkId id, const LinkPtr& link, std::size_t bytes)
    {
        link->unread.append({link->buffer.data(), bytes});
        unread += bytes;
        while (!link->dropped)
        {
            const Decoded decoded = decode(link->unread.bytes());
            if (decoded.malformed)
                return false;
            if (!decoded.message)
            {
                if (!link->unread.empty() && events.alive)
                    events.alive(id);
                return unread <= mostUnreadAll || unread == link->unread.size();
            }
            link->unread.consume(decoded.taken);
            unread -= decoded.taken;
            if (const auto* open = std::get_if<paths::TunnelOpen>(&*decoded.message))
                return handOver(id, link, *open);
            link->greeted = true;
            events.received(id, *decoded.message);
        }
        return true;
    }

    /// \brief Give a connection that asks for a tunnel away; false when it may not ask
    bool handOver(LinkId id, const LinkPtr& link, const paths::TunnelOpen& open)
    {
        const bool accepted = id % 2 == 0;
        if (!accepted || link->greeted || !events.tunnelAsked)
            return false;
        asio::error_code error;
        const auto       peer = link->socket.remote_endpoint(error);
        const int        descriptor = link->socket.release(error);
        if (error)
            return false;
        link->dropped = true;
        links.erase(id);
        unread -= link->unread.size();
        events.tunnelAsked({net::SocketHandle(descriptor), peer.address().to_string(), open, link->unread.take()});
        return true;
    }

    void write(LinkId id, const LinkPtr& link)
    {
        link->writing.swap(link->waiting);
        asio::async_write(link->socket, asio::buffer(link->writing),
                          [self = shared_from_this(), id, link](const asio::error_code& error, std::size_t)
                          {
                              self->unsent -= link->writing.size();
                              link->writing.clear();
                              link->writing.shrink_to_fit();
                              if (link->dropped)
                                  return;
                              if (error)
                                  return self->end(id, link);
                              if (!link->waiting.empty())
                                  self->write(id, link);
                          });
    }

    void end(LinkId id, const LinkPtr& link)
    {
        if (link->dropped)
            return;
        drop(id);
        events.closed(id);
    }

    void drop(LinkId id)
    {
        const auto found = links.find(id);
        if (found == links.end())
            return;
        found->second->dropped = true;
        unsent -= found->second->waiting.size();
        found->second->waiting.clear();
        unread -= found->second->unread.size();
        found->second->unread.clear();
        asio::error_code ignored;
        found->second->socket.close(ignored);
        links.erase(found);
    }

    /// \brief The whole copy that an update carries, packed
    ///
    /// Packed once for all who need it.
    std::string_view packedItems(const LinkMessage& message)
    {
        const auto* update = std::get_if<replication::Update>(&message);
        if (update == nullptr || !update->sharedItems)
            return {};
        if (packed != update->sharedItems)
        {
            packed = update->sharedItems;
            packedBytes = packItems(*packed);
        }
        return packedBytes;
    }

    asio::io_context&         context;                            //!< Loop
    asio::ip::tcp::acceptor   acceptor;                           //!< For peers
    LinkEvents                events;                             //!< Told what happens
    std::map<LinkId, LinkPtr> links;                              //!< Open or opening
    std::size_t               unsent{0};                          //!< Bytes that wait or are on their way
    std::size_t               unread{0};                          //!< Bytes of unfinished messages
    LinkId                    nextAccepted{2};                    //!< Even numbers are those of links that peers opened
    std::shared_ptr<const std::vector<replication::Item>> packed; //!< Whole copy that was packed last
    std::string                                           packedBytes; //!< Its bytes
};

////////////////////////////////////////////////////////////
LinkHub::LinkHub(asio::io_context& context, const settings::Endpoint& listen, LinkEvents events) :
m_impl(std::make_shared<Impl>(context, listen, std::move(events)))
{
    m_impl->accept();
}

////////////////////////////////////////////////////////////
LinkHub::~LinkHub()
{
    asio::error_code ignored;
    m_impl->acceptor.close(ignored);
    while (!m_impl->links.empty())
        m_impl->drop(m_impl->links.begin()->first);
}

////////////////////////////////////////////////////////////
void LinkHub::open(replication::LinkId id, const std::string& address)
{
    const auto where = settings::parseEndpoint(address);
    auto       link = std::make_shared<Impl::Link>(asio::ip::tcp::socket(m_impl->context));
    m_impl->links[id] = link;
    asio::error_code error;
    const auto       ip = asio::ip::make_address(where ? where->address : std::string(), error);
    if (error)
    {
        asio::post(m_impl->context, [self = m_impl, id, link] { self->end(id, link); });
        return;
    }
    link->socket.async_connect({ip, where->port},
                               [self = m_impl, id, link](const asio::error_code& failed)
                               {
                                   if (link->dropped)
                                       return;
                                   if (failed)
                                       return self->end(id, link);
                                   self->start(id, link);
                                   self->events.opened(id);
                               });
}

////////////////////////////////////////////////////////////
void LinkHub::close(replication::LinkId link)
{
    m_impl->drop(link);
}

////////////////////////////////////////////////////////////
void LinkHub::send(replication::LinkId id, const LinkMessage& message)
{
    const auto found = m_impl->links.find(id);
    if (found == m_impl->links.end() || !found->second->up)
        return;
    const auto        link = found->second;
    const std::string bytes = encode(message, m_impl->packedItems(message));
    link->waiting += bytes;
    m_impl->unsent += bytes.size();
    // One message alone is always sent, however large.
    const bool behind = link->waiting.size() > bytes.size();
    const bool others = m_impl->unsent > link->waiting.size() + link->writing.size();
    const bool tooMuch =
        (behind && link->waiting.size() > mostUnsent) || ((behind || others) && m_impl->unsent > mostUnsentAll);
    if (tooMuch)
    {
        asio::post(m_impl->context, [self = m_impl, id, link] { self->end(id, link); });
        return;
    }
    if (link->writing.empty())
        m_impl->write(id, link);
}

} // namespace sailpath::adapters::links
