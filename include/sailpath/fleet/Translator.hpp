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
/// \brief Port that reads what operators and servers wrote into the product's own model
////////////////////////////////////////////////////////////
class Translator
{
public:
    virtual ~Translator() = default;

    [[nodiscard]] virtual bool isDeployment(std::string_view key) const = 0; //!< The operators' declaration
    [[nodiscard]] virtual bool isInstance(std::string_view key) const = 0;   //!< An instance's announcement

    [[nodiscard]] virtual std::string instanceId(std::string_view key) const = 0; //!< Of an announcement's key

    ////////////////////////////////////////////////////////////
    /// \brief The data centre that operators want evacuated while the key stands, whatever its value
    ///
    /// \return Empty when the key asks for no evacuation
    ////////////////////////////////////////////////////////////
    [[nodiscard]] virtual std::string evacuatedDataCentre(std::string_view key) const = 0;

    ////////////////////////////////////////////////////////////
    /// \brief Read a declaration
    ///
    /// \param findings Receives what is wrong, with its place; then there is no result
    ////////////////////////////////////////////////////////////
    [[nodiscard]] virtual std::optional<deployment::Deployment> deployment(std::string_view value,
                                                                           core::Findings&  findings) const = 0;

    ////////////////////////////////////////////////////////////
    /// \brief Read an announcement
    ////////////////////////////////////////////////////////////
    [[nodiscard]] virtual std::optional<deployment::Announcement>
    announcement(std::string_view key, std::string_view value, core::Findings& findings) const = 0;
};

} // namespace sailpath::fleet
