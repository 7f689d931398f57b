#pragma once

#include <sailpath/adapters/settings/Endpoint.hpp>
#include <sailpath/core/Findings.hpp>
#include <sailpath/core/StringMap.hpp>
#include <sailpath/core/Time.hpp>

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace sailpath::adapters::settings
{
////////////////////////////////////////////////////////////
/// \brief Checked settings of a program
///
/// The getters expect names and kinds of the program's own options; anything
/// else is a programmer's error.
////////////////////////////////////////////////////////////
class Settings
{
public:
    ////////////////////////////////////////////////////////////
    /// \brief Store a value that has been checked
    ////////////////////////////////////////////////////////////
    void set(std::string name, std::string value);

    [[nodiscard]] const std::string&    text(std::string_view name) const;         //!< Value as it was given
    [[nodiscard]] std::uint64_t         whole(std::string_view name) const;        //!< Value of a whole number
    [[nodiscard]] double                number(std::string_view name) const;       //!< Value of a number
    [[nodiscard]] core::Duration        milliseconds(std::string_view name) const; //!< Value of a duration
    [[nodiscard]] bool                  isOn(std::string_view name) const;         //!< Value of a switch
    [[nodiscard]] Endpoint              endpoint(std::string_view name) const;     //!< Value of an endpoint
    [[nodiscard]] std::vector<Endpoint> endpoints(std::string_view name) const;    //!< Values of a list

    ////////////////////////////////////////////////////////////
    /// \brief First line of a secret's file; empty when no file was given
    ////////////////////////////////////////////////////////////
    [[nodiscard]] std::string secret(std::string_view name) const;

private:
    core::StringMap<std::string> m_values; //!< Text form by option
};

} // namespace sailpath::adapters::settings
