#pragma once

#include <sailpath/core/Findings.hpp>
#include <sailpath/deployment/Announcement.hpp>
#include <sailpath/deployment/Deployment.hpp>

#include <optional>
#include <string>
#include <string_view>

namespace sailpath::fleet
{
////////////////////////////////////////////////////////////
/// \brief Port that translates entries of operators and servers in the store to the deployment model
////////////////////////////////////////////////////////////
class Translator
{
public:
    virtual ~Translator() = default;

    [[nodiscard]] virtual bool isDeployment(std::string_view key) const = 0; //!< Key of the operators' deployment
    [[nodiscard]] virtual bool isInstance(std::string_view key) const = 0;   //!< Key of an instance's announcement

    [[nodiscard]] virtual std::string
    instanceId(std::string_view key) const = 0; //!< Id of the instance that an announcement's key names

    ////////////////////////////////////////////////////////////
    /// \brief Get the data centre that is evacuated while the key exists, whatever its value
    ///
    /// \return Name of the data centre; empty when the key is no evacuation
    ////////////////////////////////////////////////////////////
    [[nodiscard]] virtual std::string evacuatedDataCentre(std::string_view key) const = 0;

    ////////////////////////////////////////////////////////////
    /// \brief Parse a deployment
    ///
    /// \param findings Receives each error with its place; with errors the result is null
    ////////////////////////////////////////////////////////////
    [[nodiscard]] virtual std::optional<deployment::Deployment> deployment(std::string_view value,
                                                                           core::Findings&  findings) const = 0;

    ////////////////////////////////////////////////////////////
    /// \brief Parse an announcement; null when it has errors, which `findings` receives
    ////////////////////////////////////////////////////////////
    [[nodiscard]] virtual std::optional<deployment::Announcement>
    announcement(std::string_view key, std::string_view value, core::Findings& findings) const = 0;
};

} // namespace sailpath::fleet
