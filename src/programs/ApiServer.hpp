#pragma once

#include <sailpath/adapters/settings/Endpoint.hpp>
#include <sailpath/ports/EventLog.hpp>

#include <memory>
#include <string>

namespace sailpath::programs
{
////////////////////////////////////////////////////////////
/// \brief Settings of the operators' interface
////////////////////////////////////////////////////////////
struct ApiSettings
{
    adapters::settings::Endpoint listen;                   //!< Where operators connect
    adapters::settings::Endpoint platform;                 //!< The platform's key-value service
    std::string                  adminToken;               //!< The administrator's token
    double                       changesPerSecond{5};      //!< Changes allowed to each workspace
    std::size_t                  largestDocument{900'000}; //!< Bytes; the store takes a megabyte
};

////////////////////////////////////////////////////////////
/// \brief The operators' resource interface over HTTP and JSON
////////////////////////////////////////////////////////////
class ApiServer
{
public:
    ////////////////////////////////////////////////////////////
    /// \brief Listen and serve
    ///
    /// \param settings Constants
    /// \param log      Receives an audit event for each change
    ///
    /// \throws std::runtime_error when the address cannot be listened on
    ////////////////////////////////////////////////////////////
    ApiServer(ApiSettings settings, ports::EventLog& log);

    ~ApiServer();
    ApiServer(const ApiServer&) = delete;
    ApiServer& operator=(const ApiServer&) = delete;

    [[nodiscard]] std::uint16_t port() const; //!< Port in use

private:
    struct Impl;
    std::unique_ptr<Impl> m_impl; //!< The library's server
};

} // namespace sailpath::programs
