#pragma once

#include <support/ScriptedServer.hpp>

#include <condition_variable>
#include <map>
#include <mutex>
#include <string>

namespace sailpath::standins
{
////////////////////////////////////////////////////////////
/// \brief Fault that the store stand-in injects into its responses
////////////////////////////////////////////////////////////
enum class StoreFault
{
    None,            //!< No fault
    Unavailable,     //!< Responds with status 503
    TooManyRequests, //!< Responds with status 429
    NoResponse,      //!< Never responds
    LostResponse,    //!< Closes the connection instead of responding
    MalformedBody    //!< Responds with status 200 and a body that is not JSON
};

////////////////////////////////////////////////////////////
/// \brief In-memory stand-in for the platform's metadata store
///
/// Serves range reads in pages, and watches that resume after a revision. A watch from a discarded revision gets
/// status 410.
////////////////////////////////////////////////////////////
class StoreStandIn
{
public:
    explicit StoreStandIn(std::size_t pageSize = 500);

    void put(const std::string& key, const std::string& value); //!< Writes an item
    void remove(const std::string& key);                        //!< Removes an item
    void discardHistory();           //!< Makes watches from earlier revisions fail with status 410
    void setFault(StoreFault fault); //!< Sets the fault for all following requests

    [[nodiscard]] std::uint16_t port() const;       //!< TCP port on 127.0.0.1
    [[nodiscard]] std::size_t   calls() const;      //!< Number of requests received
    [[nodiscard]] std::size_t   staleReads() const; //!< Number of range requests that accept stale pages

private:
    struct Item
    {
        std::string   value;
        std::uint64_t revision{0};
        bool          gone{false};
    };

    [[nodiscard]] support::Script respond(const std::string& request);
    [[nodiscard]] support::Script readRange(const std::string& target);
    [[nodiscard]] support::Script watchChanges(const std::string& target);

    std::size_t                 m_pageSize;                //!< Maximum number of items in a page
    mutable std::mutex          m_mutex;                   //!< Guards all members below except the server
    std::condition_variable     m_changed;                 //!< Notified after each change
    std::map<std::string, Item> m_items;                   //!< Items by key, removed ones included
    std::uint64_t               m_revision{1};             //!< Revision of the last change
    std::uint64_t               m_discardedUpTo{0};        //!< Last revision whose history is discarded
    std::size_t                 m_staleReads{0};           //!< Number of range requests that accept stale pages
    StoreFault                  m_fault{StoreFault::None}; //!< Fault in force
    support::ScriptedServer     m_server; //!< HTTP server; the last member, as its handler uses the others
};

} // namespace sailpath::standins
