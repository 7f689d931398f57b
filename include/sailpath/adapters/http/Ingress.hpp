#pragma once

#include <sailpath/adapters/http/CallerRequest.hpp>
#include <sailpath/adapters/settings/Endpoint.hpp>
#include <sailpath/core/Time.hpp>

#include <cstdint>
#include <memory>

namespace sailpath::adapters::http
{
////////////////////////////////////////////////////////////
/// \brief Limits on callers' connections
////////////////////////////////////////////////////////////
struct IngressSettings
{
    settings::Endpoint listen;                                //!< Where to listen; port 0 lets the system choose
    std::size_t        workers{128};                          //!< Requests served at once
    std::size_t        maxConnections{4096};                  //!< Connections kept at once
    std::size_t        maxHeadBytes{32UL * 1024};             //!< Largest head in bytes
    std::size_t        maxBodyBytes{1024UL * 1024 * 1024};    //!< Largest body in bytes
    core::Duration     headTimeout{std::chrono::seconds{5}};  //!< Longest time for a head to arrive
    core::Duration     idleTimeout{std::chrono::seconds{60}}; //!< Longest time between requests
    core::Duration     transferIdleTimeout{std::chrono::seconds{10}}; //!< Longest pause within a body, both ways
};

////////////////////////////////////////////////////////////
/// \brief What callers' connections amounted to
////////////////////////////////////////////////////////////
struct IngressCounters
{
    std::uint64_t accepted{0};          //!< Connections accepted
    std::uint64_t refused{0};           //!< Connections or requests refused for lack of room
    std::uint64_t malformed{0};         //!< Requests refused for their shape
    std::uint64_t callerDisconnects{0}; //!< Callers that hung up while being served
    std::size_t   open{0};              //!< Connections open now
    std::size_t   serving{0};           //!< Requests being served now
};

////////////////////////////////////////////////////////////
/// \brief Accepts callers' connections and hands their requests to a handler
///
/// Slow and idle callers hold no thread: a reactor waits for them. The thread
/// that reads the end of a head serves the request itself, without handing
/// it to another, while others go on running the reactor.
////////////////////////////////////////////////////////////
class Ingress
{
public:
    ////////////////////////////////////////////////////////////
    /// \brief Listen and start the threads
    ///
    /// \param settings Limits
    /// \param handler  Serves the requests; outlives the ingress
    ///
    /// \throws std::system_error when the address cannot be listened on
    ////////////////////////////////////////////////////////////
    Ingress(IngressSettings settings, RequestHandler& handler);

    ~Ingress();
    Ingress(const Ingress&) = delete;
    Ingress& operator=(const Ingress&) = delete;

    ////////////////////////////////////////////////////////////
    /// \brief Port that is listened on
    ////////////////////////////////////////////////////////////
    [[nodiscard]] std::uint16_t port() const;

    ////////////////////////////////////////////////////////////
    /// \brief Announce the end: each answer closes its connection from here on
    ////////////////////////////////////////////////////////////
    void disableKeepAlive();

    ////////////////////////////////////////////////////////////
    /// \brief Stop accepting, close idle connections, wait for the requests being served
    ///
    /// \param timeout Longest wait
    ///
    /// \return Whether every request was finished
    ////////////////////////////////////////////////////////////
    [[nodiscard]] bool drain(core::Duration timeout);

    ////////////////////////////////////////////////////////////
    /// \brief Counts so far
    ////////////////////////////////////////////////////////////
    [[nodiscard]] IngressCounters counters() const;

private:
    struct Impl;
    std::unique_ptr<Impl> m_impl; //!< Sockets and threads
};

} // namespace sailpath::adapters::http
