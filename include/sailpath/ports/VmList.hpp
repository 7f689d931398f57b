#pragma once

#include <sailpath/membership/Member.hpp>

#include <optional>
#include <vector>

namespace sailpath::ports
{
////////////////////////////////////////////////////////////
/// \brief Port: the platform's list of live and leaving VMs, which lags
////////////////////////////////////////////////////////////
class VmList
{
public:
    virtual ~VmList() = default;

    ////////////////////////////////////////////////////////////
    /// \brief Read the list; nothing when the platform does not answer
    ////////////////////////////////////////////////////////////
    [[nodiscard]] virtual std::optional<std::vector<membership::Member>> read() = 0;
};

} // namespace sailpath::ports
