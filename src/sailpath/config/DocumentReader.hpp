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
/// \brief Inclusive bounds of a number in a declaration
////////////////////////////////////////////////////////////
struct Bounds
{
    double least{0};        //!< Smallest value allowed
    double most{1'000'000}; //!< Largest value allowed
};

////////////////////////////////////////////////////////////
/// \brief Reads the members of one JSON object and notes what is wrong
////////////////////////////////////////////////////////////
class DocumentReader
{
public:
    ////////////////////////////////////////////////////////////
    /// \brief Read an object
    ///
    /// \param object   The object; anything else becomes a finding
    /// \param place    Its place
    /// \param findings Receives what is wrong
    ////////////////////////////////////////////////////////////
    DocumentReader(const nlohmann::json& object, std::string place, core::Findings& findings);

    ////////////////////////////////////////////////////////////
    /// \brief Note every member that is not one of these
    ////////////////////////////////////////////////////////////
    void allowOnly(std::initializer_list<std::string_view> members);

    ////////////////////////////////////////////////////////////
    /// \brief Read a name: letters, digits and hyphens, at most 63
    ////////////////////////////////////////////////////////////
    [[nodiscard]] std::string name(const char* member);

    ////////////////////////////////////////////////////////////
    /// \brief Read a text, keeping `fallback` when it is absent
    ////////////////////////////////////////////////////////////
    [[nodiscard]] std::string text(const char* member, std::string fallback);

    ////////////////////////////////////////////////////////////
    /// \brief Read a number, keeping `fallback` when it is absent
    ////////////////////////////////////////////////////////////
    [[nodiscard]] double number(const char* member, double fallback, Bounds bounds);

    ////////////////////////////////////////////////////////////
    /// \brief Read a whole number, keeping `fallback` when it is absent
    ////////////////////////////////////////////////////////////
    [[nodiscard]] unsigned whole(const char* member, unsigned fallback, Bounds bounds);

    ////////////////////////////////////////////////////////////
    /// \brief Read a boolean, keeping `fallback` when it is absent
    ////////////////////////////////////////////////////////////
    [[nodiscard]] bool boolean(const char* member, bool fallback);

    ////////////////////////////////////////////////////////////
    /// \brief Visit each element of an array with its place
    ////////////////////////////////////////////////////////////
    void each(const char* member, const std::function<void(const nlohmann::json&, const std::string&)>& visit);

    ////////////////////////////////////////////////////////////
    /// \brief Visit a nested object when it is present
    ////////////////////////////////////////////////////////////
    void nested(const char* member, const std::function<void(DocumentReader&)>& visit);

    ////////////////////////////////////////////////////////////
    /// \brief Note a finding about a member
    ////////////////////////////////////////////////////////////
    void note(const char* member, std::string message);

private:
    [[nodiscard]] const nlohmann::json* find(const char* member) const;

    const nlohmann::json& m_object;   //!< What is read
    std::string           m_place;    //!< Where it stands
    core::Findings&       m_findings; //!< Receives what is wrong
};

} // namespace sailpath::config::priv
