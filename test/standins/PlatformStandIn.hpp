#pragma once

#include "Faults.hpp"
#include "KeyValueStandIn.hpp"

#include <atomic>
#include <cstdint>
#include <memory>
#include <string>

namespace sailpath::standins
{
////////////////////////////////////////////////////////////
/// \brief The platform: key-value service by etcd's JSON gateway, and the list of VMs
///
/// `POST /fault` with `{"delayMs":0,"outage":false,"dropAnswers":0}` sets
/// faults; `PUT /vms` replaces the list, `GET /vms` reads it.
////////////////////////////////////////////////////////////
class PlatformStandIn
{
public:
    ////////////////////////////////////////////////////////////
    /// \brief Listen on 127.0.0.1; port 0 lets the system choose
    ////////////////////////////////////////////////////////////
    explicit PlatformStandIn(std::uint16_t port);

    ~PlatformStandIn();
    PlatformStandIn(const PlatformStandIn&) = delete;
    PlatformStandIn& operator=(const PlatformStandIn&) = delete;

    [[nodiscard]] std::uint16_t    port() const;                    //!< Port in use
    [[nodiscard]] KeyValueStandIn& store();                         //!< The keys
    [[nodiscard]] Faults&          faults();                        //!< The faults in force
    [[nodiscard]] std::uint64_t    calls() const;                   //!< Calls so far, refused ones included
    void                           setVms(const std::string& json); //!< Replace the list of VMs

private:
    struct Impl;
    std::unique_ptr<Impl> m_impl; //!< The library's server
};

} // namespace sailpath::standins
