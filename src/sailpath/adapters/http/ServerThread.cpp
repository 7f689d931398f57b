#include <sailpath/adapters/http/ServerThread.hpp>

#include <httplib.h>

#include <stdexcept>
#include <thread>

namespace sailpath::adapters::http
{
////////////////////////////////////////////////////////////
struct ServerThread::Impl
{
    Impl(httplib::Server& httpServer, int boundPort) :
    server(httpServer),
    port(boundPort),
    thread([&httpServer] { httpServer.listen_after_bind(); })
    {
    }

    httplib::Server& server; //!< Server run by the thread
    int              port;   //!< Port the server listens on
    std::thread      thread; //!< Runs the server until it is stopped
};

////////////////////////////////////////////////////////////
ServerThread::ServerThread(httplib::Server& server, const settings::Endpoint& listen)
{
    int port = listen.port;
    if (port == 0)
        port = server.bind_to_any_port(listen.address);
    else if (!server.bind_to_port(listen.address, port))
        port = -1;
    if (port <= 0)
        throw std::runtime_error("cannot listen on " + listen.text());

    m_impl = std::make_unique<Impl>(server, port);
    // Stopping a server that is not running yet has no effect, so the constructor waits until it runs.
    while (!server.is_running())
        std::this_thread::sleep_for(std::chrono::milliseconds{1});
}

////////////////////////////////////////////////////////////
ServerThread::~ServerThread()
{
    m_impl->server.stop();
    m_impl->thread.join();
}

////////////////////////////////////////////////////////////
std::uint16_t ServerThread::port() const
{
    return static_cast<std::uint16_t>(m_impl->port);
}

} // namespace sailpath::adapters::http
