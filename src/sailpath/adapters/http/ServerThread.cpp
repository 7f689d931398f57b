#include <sailpath/adapters/http/ServerThread.hpp>

#include <httplib.h>

#include <stdexcept>
#include <thread>

namespace sailpath::adapters::http
{
////////////////////////////////////////////////////////////
struct ServerThread::Impl
{
    Impl(httplib::Server& served, int used) :
    server(served),
    port(used),
    thread([&served] { served.listen_after_bind(); })
    {
    }

    httplib::Server& server; //!< The library's server
    int              port;   //!< Port in use
    std::thread      thread; //!< Runs the server
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
    // A stop before the server runs would be lost.
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
