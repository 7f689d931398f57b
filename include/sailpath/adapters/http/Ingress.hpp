#pragma once

#include <sailpath/adapters/http/CallerRequest.hpp>
#include <sailpath/adapters/settings/Endpoint.hpp>
#include <sailpath/core/Time.hpp>

#include <cstdint>
#include <memory>

namespace sailpath::adapters::http
{
////////////////////////////////////////////////////////////
/// \brief Listening address and limits for connections of callers
////////////////////////////////////////////////////////////
struct IngressSettings
{
    settings::Endpoint listen;                    //!< Address and port to listen on; port 0 lets the system choose
    std::size_t        workers{128};              //!< Largest number of requests served at once
    std::size_t        maxConnections{4096};      //!< Largest number of open connections
    std::size_t        maxHeadBytes{32UL * 1024}; //!< Largest request head
    std::size_t        maxBodyBytes{1024UL * 1024 * 1024};   //!< Largest request body
    core::Duration     headTimeout{std::chrono::seconds{5}}; //!< Longest time from the first byte of a head to its end
    core::Duration idleTimeout{std::chrono::seconds{60}};    //!< Longest time a connection stays open without a request
    core::Duration transferIdleTimeout{
        std::chrono::seconds{10}}; //!< Longest pause within the body of a request or an answer
};

////////////////////////////////////////////////////////////
/// \brief Counters of connections and requests
////////////////////////////////////////////////////////////
struct IngressCounters
{
    std::uint64_t accepted{0};          //!< Connections accepted
    std::uint64_t refused{0};           //!< Connections or requests refused because a limit was reached
    std::uint64_t malformed{0};         //!< Requests refused because of an invalid or unsupported head
    std::uint64_t callerDisconnects{0}; //!< Callers that disconnected while a request was being served
    std::size_t   open{0};              //!< Connections currently open
    std::size_t   serving{0};           //!< Requests currently being served
};

////////////////////////////////////////////////////////////
/// \brief Accepts connections of callers and passes their requests to a handler
///
/// Slow and idle callers occupy no thread, because a reactor waits for their
/// bytes. The thread that reads the end of a head serves the request itself,
/// without a switch to another thread, while other threads run the reactor.
////////////////////////////////////////////////////////////
class Ingress
{
public:
    ////////////////////////////////////////////////////////////
    /// \brief Listen for connections and start the threads
    ///
    /// \param settings Listening address and limits
    /// \param handler  Serves the requests; must outlive the ingress
    ///
    /// \throws std::system_error when the address cannot be listened on
    ////////////////////////////////////////////////////////////
    Ingress(IngressSettings settings, RequestHandler& handler);

    ~Ingress();
    Ingress(const Ingress&) = delete;
    Ingress& operator=(const Ingress&) = delete;

    [[nodiscard]] std::uint16_t port() const; //!< Port the ingress listens on

    ////////////////////////////////////////////////////////////
    /// \brief Close each connection after its next answer, in preparation for shutdown
    ////////////////////////////////////////////////////////////
    void disableKeepAlive();

    ////////////////////////////////////////////////////////////
    /// \brief Stop accepting, close idle connections and wait for the requests being served
    ///
    /// \param timeout Longest wait
    ///
    /// \return Whether all connections were closed within the timeout
    ////////////////////////////////////////////////////////////
    [[nodiscard]] bool drain(core::Duration timeout);

    [[nodiscard]] IngressCounters counters() const;

private:
    struct Impl;
    std::unique_ptr<Impl> m_impl; //!< Sockets and threads
};

} // namespace sailpath::adapters::http
