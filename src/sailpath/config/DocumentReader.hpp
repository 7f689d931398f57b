#pragma once

#include <sailpath/core/Findings.hpp>

#include <nlohmann/json.hpp>

#include <functional>
#include <initializer_list>
#include <string>
#include <string_view>

namespace sailpath::config::priv
{
////////////////////////////////////////////////////////////
/// \brief Inclusive bounds of a number in a workspace declaration
////////////////////////////////////////////////////////////
struct Bounds
{
    double min{0};         //!< Smallest value allowed
    double max{1'000'000}; //!< Largest value allowed
};

////////////////////////////////////////////////////////////
/// \brief Reads and validates the members of one JSON object
////////////////////////////////////////////////////////////
class DocumentReader
{
public:
    ////////////////////////////////////////////////////////////
    /// \brief Create a reader of one object
    ///
    /// \param object   JSON value to read; a value that is not an object is reported as a finding
    /// \param place    Path of the object, used in findings
    /// \param findings Receives the validation errors
    ////////////////////////////////////////////////////////////
    DocumentReader(const nlohmann::json& object, std::string place, core::Findings& findings);

    ////////////////////////////////////////////////////////////
    /// \brief Add a finding for every member that is not in `members`
    ////////////////////////////////////////////////////////////
    void allowOnly(std::initializer_list<std::string_view> members);

    ////////////////////////////////////////////////////////////
    /// \brief Read a mandatory name: at most 63 lower-case letters, digits and hyphens
    ////////////////////////////////////////////////////////////
    [[nodiscard]] std::string name(const char* member);

    ////////////////////////////////////////////////////////////
    /// \brief Read a string; returns `fallback` if the member is absent or invalid
    ////////////////////////////////////////////////////////////
    [[nodiscard]] std::string text(const char* member, std::string fallback);

    ////////////////////////////////////////////////////////////
    /// \brief Read a number; returns `fallback` if the member is absent or invalid
    ////////////////////////////////////////////////////////////
    [[nodiscard]] double number(const char* member, double fallback, Bounds bounds);

    ////////////////////////////////////////////////////////////
    /// \brief Read an integer; returns `fallback` if the member is absent or not a number within `bounds`
    ////////////////////////////////////////////////////////////
    [[nodiscard]] unsigned integer(const char* member, unsigned fallback, Bounds bounds);

    ////////////////////////////////////////////////////////////
    /// \brief Read a boolean; returns `fallback` if the member is absent or invalid
    ////////////////////////////////////////////////////////////
    [[nodiscard]] bool boolean(const char* member, bool fallback);

    ////////////////////////////////////////////////////////////
    /// \brief Visit each element of an array together with its path
    ////////////////////////////////////////////////////////////
    void each(const char* member, const std::function<void(const nlohmann::json&, const std::string&)>& visit);

    ////////////////////////////////////////////////////////////
    /// \brief Visit a nested object if the member is present
    ////////////////////////////////////////////////////////////
    void nested(const char* member, const std::function<void(DocumentReader&)>& visit);

    ////////////////////////////////////////////////////////////
    /// \brief Add a finding about a member
    ////////////////////////////////////////////////////////////
    void addFinding(const char* member, std::string message);

private:
    [[nodiscard]] const nlohmann::json* find(const char* member) const;

    const nlohmann::json& m_object;   //!< Object to read
    std::string           m_place;    //!< Path of the object
    core::Findings&       m_findings; //!< Receives the validation errors
};

} // namespace sailpath::config::priv
