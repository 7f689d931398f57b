#pragma once

#include <sailpath/adapters/settings/Endpoint.hpp>

#include <cstdint>
#include <memory>

namespace httplib
{
class Server;
}

namespace sailpath::adapters::http
{
////////////////////////////////////////////////////////////
/// \brief Runs one of the library's servers on a thread of its own
////////////////////////////////////////////////////////////
class ServerThread
{
public:
    ////////////////////////////////////////////////////////////
    /// \brief Listen and serve; returns when the server runs
    ///
    /// \param server The library's server, its handlers set; outlives the thread
    /// \param listen Where to listen; port 0 lets the system choose
    ///
    /// \throws std::runtime_error when the address cannot be listened on
    ////////////////////////////////////////////////////////////
    ServerThread(httplib::Server& server, const settings::Endpoint& listen);

    ~ServerThread();
    ServerThread(const ServerThread&) = delete;
    ServerThread& operator=(const ServerThread&) = delete;

    [[nodiscard]] std::uint16_t port() const; //!< Port in use

private:
    struct Impl;
    std::unique_ptr<Impl> m_impl; //!< The thread
};

} // namespace sailpath::adapters::http
