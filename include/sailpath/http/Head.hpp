#pragma once

#include <string>
#include <string_view>
#include <vector>

namespace sailpath::http
{
////////////////////////////////////////////////////////////
/// \brief One header line
////////////////////////////////////////////////////////////
struct HeaderField
{
    std::string name;  //!< As it came
    std::string value; //!< Without blanks around it
};

////////////////////////////////////////////////////////////
/// \brief The head of a request or an answer
////////////////////////////////////////////////////////////
struct Head
{
    std::string              method;           //!< Of a request
    std::string              target;           //!< Of a request
    unsigned                 status{0};        //!< Of an answer
    std::string              reason;           //!< Of an answer
    unsigned                 version{11};      //!< 10 or 11
    bool                     keepAlive{false}; //!< The connection may carry another message
    bool                     untilEnd{false};  //!< The body ends with the connection
    std::vector<HeaderField> fields;           //!< In order

    ////////////////////////////////////////////////////////////
    /// \brief Value of the first field of a name, letters' case ignored; empty when there is none
    ////////////////////////////////////////////////////////////
    [[nodiscard]] std::string_view field(std::string_view name) const;

    ////////////////////////////////////////////////////////////
    /// \brief Whether there is a field of a name
    ////////////////////////////////////////////////////////////
    [[nodiscard]] bool has(std::string_view name) const;
};

////////////////////////////////////////////////////////////
/// \brief Whether a number is a status of the protocol: one of the five classes of RFC 9110, 100 to 599
///
/// An answer with another status is no answer of the protocol, whatever follows it.
////////////////////////////////////////////////////////////
[[nodiscard]] bool isStatus(unsigned code);

////////////////////////////////////////////////////////////
/// \brief Whether a number is the status of a final answer, 200 to 599: the only ones that are passed on
////////////////////////////////////////////////////////////
[[nodiscard]] bool isFinalStatus(unsigned code);

////////////////////////////////////////////////////////////
/// \brief Compare header names, letters' case ignored
////////////////////////////////////////////////////////////
[[nodiscard]] bool sameName(std::string_view left, std::string_view right);

////////////////////////////////////////////////////////////
/// \brief Whether a field concerns one connection only
///
/// \param name       Its name
/// \param connection The message's `Connection` field, which may name others
////////////////////////////////////////////////////////////
[[nodiscard]] bool concernsConnection(std::string_view name, std::string_view connection);

////////////////////////////////////////////////////////////
/// \brief The path and query of a target, which may name scheme and host before them
////////////////////////////////////////////////////////////
[[nodiscard]] std::string_view pathOf(std::string_view target);

} // namespace sailpath::http
