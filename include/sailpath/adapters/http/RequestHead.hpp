#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace sailpath::adapters::http
{
////////////////////////////////////////////////////////////
/// \brief Header line with its value as received
////////////////////////////////////////////////////////////
struct Header
{
    std::string name;  //!< Name as received; compared case-insensitively
    std::string value; //!< Value without surrounding spaces and tabs
};

////////////////////////////////////////////////////////////
/// \brief How a message marks the end of its body
////////////////////////////////////////////////////////////
enum class BodyFraming
{
    None,    //!< No body
    Length,  //!< Content-Length gives the size
    Chunked, //!< The last chunk of the chunked coding ends the body
    UntilEnd //!< The end of the connection ends the body (answers only)
};

////////////////////////////////////////////////////////////
/// \brief Validated head of a request
////////////////////////////////////////////////////////////
struct RequestHead
{
    std::string         method;                     //!< HTTP method
    std::string         target;                     //!< Request target as received
    std::string         path;                       //!< Request target without the query
    bool                http10{false};              //!< Whether the caller speaks HTTP/1.0
    std::vector<Header> headers;                    //!< Headers in the order received
    BodyFraming         framing{BodyFraming::None}; //!< How the request marks the end of its body
    std::uint64_t       contentLength{0};           //!< Body length in bytes when `framing` is `Length`
    bool                keepAlive{true};            //!< Whether the caller allows the connection to be kept open

    ////////////////////////////////////////////////////////////
    /// \brief Get the value of the first header with a name; empty when no header matches
    ////////////////////////////////////////////////////////////
    [[nodiscard]] std::string_view header(std::string_view name) const;
};

////////////////////////////////////////////////////////////
/// \brief Reason for refusing a request head
////////////////////////////////////////////////////////////
struct HeadError
{
    int              status{400}; //!< HTTP status of the refusal
    std::string_view message;     //!< Description of the fault, sent to the caller
};

////////////////////////////////////////////////////////////
/// \brief Parse and validate the head of a request
///
/// Refuses every form on which two parsers could disagree about where a
/// request ends (request smuggling): two lengths, a length with chunked coding,
/// a bare carriage return, folded lines, blanks before the colon, and bodies
/// with methods that have none.
///
/// \param raw Bytes from the request line to the empty line
////////////////////////////////////////////////////////////
[[nodiscard]] std::variant<RequestHead, HeadError> parseRequestHead(std::string_view raw);

////////////////////////////////////////////////////////////
/// \brief Compare header names case-insensitively
////////////////////////////////////////////////////////////
[[nodiscard]] bool sameName(std::string_view left, std::string_view right);

////////////////////////////////////////////////////////////
/// \brief Split header lines, validating only their syntax
///
/// \param lines Header lines without the first line of the message
/// \param into  Receives the headers
///
/// \return Description of the first syntax error; empty when all lines are valid
////////////////////////////////////////////////////////////
[[nodiscard]] std::string_view splitHeaders(std::string_view lines, std::vector<Header>& into);

////////////////////////////////////////////////////////////
/// \brief Whether a header applies to one connection only and is not forwarded
///
/// \param name       Header name
/// \param connection Value of the Connection header
////////////////////////////////////////////////////////////
[[nodiscard]] bool isHopByHop(std::string_view name, std::string_view connection);

} // namespace sailpath::adapters::http
