#pragma once

#include <sailpath/adapters/settings/Endpoint.hpp>
#include <sailpath/core/Time.hpp>
#include <sailpath/ports/VmList.hpp>

namespace sailpath::adapters::platform
{
////////////////////////////////////////////////////////////
/// \brief The platform's list of VMs as JSON over HTTP
////////////////////////////////////////////////////////////
class HttpVmList : public ports::VmList
{
public:
    ////////////////////////////////////////////////////////////
    /// \brief Create a reader
    ///
    /// \param endpoint Where the platform listens
    /// \param timeout  Longest wait for an answer
    ////////////////////////////////////////////////////////////
    HttpVmList(settings::Endpoint endpoint, core::Duration timeout);

    ////////////////////////////////////////////////////////////
    /// \copydoc ports::VmList::read
    ////////////////////////////////////////////////////////////
    [[nodiscard]] std::optional<std::vector<membership::Member>> read() override;

private:
    settings::Endpoint m_endpoint; //!< Where the platform listens
    core::Duration     m_timeout;  //!< Longest wait
};

} // namespace sailpath::adapters::platform
