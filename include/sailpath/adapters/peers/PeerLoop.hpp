#pragma once

#include <sailpath/adapters/peers/PeerEvents.hpp>
#include <sailpath/adapters/settings/Endpoint.hpp>
#include <sailpath/core/Time.hpp>
#include <sailpath/node/ControlAction.hpp>

#include <functional>
#include <memory>
#include <string>

namespace sailpath::adapters::peers
{
////////////////////////////////////////////////////////////
/// \brief Settings of the link between peers
////////////////////////////////////////////////////////////
struct PeerSettings
{
    settings::Endpoint listen;                                   //!< Where to listen
    std::string        key;                                      //!< Shared key; never sent
    core::Duration     answerTime{std::chrono::seconds{2}};      //!< Longest wait for an answer
    core::Duration     tickEvery{std::chrono::milliseconds{50}}; //!< Between two ticks
    std::size_t        mostConnections{1024};                    //!< Connections accepted at once
};

////////////////////////////////////////////////////////////
/// \brief The control thread's event loop: Cap'n Proto RPC with peers, ticks, work from other threads
////////////////////////////////////////////////////////////
class PeerLoop
{
public:
    ////////////////////////////////////////////////////////////
    /// \brief Prepare; nothing runs yet
    ///
    /// \param settings Constants
    /// \param events   Hears what happens; outlives the loop
    ////////////////////////////////////////////////////////////
    PeerLoop(PeerSettings settings, PeerEvents& events);

    ~PeerLoop();
    PeerLoop(const PeerLoop&) = delete;
    PeerLoop& operator=(const PeerLoop&) = delete;

    ////////////////////////////////////////////////////////////
    /// \brief Listen and run on the calling thread until `stop`
    ///
    /// \throws std::runtime_error when the address cannot be listened on
    ////////////////////////////////////////////////////////////
    void run();

    ////////////////////////////////////////////////////////////
    /// \brief End `run`, from any thread
    ////////////////////////////////////////////////////////////
    void stop();

    ////////////////////////////////////////////////////////////
    /// \brief Run something on the loop's thread and wait for it, from any other thread
    ///
    /// \return False when the loop no longer runs
    ////////////////////////////////////////////////////////////
    bool call(const std::function<void()>& work);

    ////////////////////////////////////////////////////////////
    /// \brief Send a digest; on the loop's thread only
    ////////////////////////////////////////////////////////////
    void exchange(const node::ExchangeWith& action);

    ////////////////////////////////////////////////////////////
    /// \brief Ask for documents; on the loop's thread only
    ////////////////////////////////////////////////////////////
    void pull(const node::PullDocuments& action);

private:
    struct Impl;
    std::unique_ptr<Impl> m_impl; //!< The library's objects
};

} // namespace sailpath::adapters::peers
