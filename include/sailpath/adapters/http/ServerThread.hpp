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
/// \brief Runs an httplib server on a dedicated thread
////////////////////////////////////////////////////////////
class ServerThread
{
public:
    ////////////////////////////////////////////////////////////
    /// \brief Start to listen and serve; returns when the server is running
    ///
    /// \param server Server with its handlers set; must outlive this object
    /// \param listen Address and port to listen on; port 0 lets the system choose
    ///
    /// \throws std::runtime_error when the address cannot be listened on
    ////////////////////////////////////////////////////////////
    ServerThread(httplib::Server& server, const settings::Endpoint& listen);

    ~ServerThread();
    ServerThread(const ServerThread&) = delete;
    ServerThread& operator=(const ServerThread&) = delete;

    [[nodiscard]] std::uint16_t port() const; //!< Port the server listens on

private:
    struct Impl;
    std::unique_ptr<Impl> m_impl; //!< Server and its thread
};

} // namespace sailpath::adapters::http
