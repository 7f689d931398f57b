#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace sailpath::adapters::http
{
////////////////////////////////////////////////////////////
/// \brief One header line, its value exactly as it was received
////////////////////////////////////////////////////////////
struct Header
{
    std::string name;  //!< As received; compare without regard to case
    std::string value; //!< Without surrounding blanks
};

////////////////////////////////////////////////////////////
/// \brief How the end of a body is told
////////////////////////////////////////////////////////////
enum class BodyFraming
{
    None,    //!< There is no body
    Length,  //!< By Content-Length
    Chunked, //!< By the last chunk
    UntilEnd //!< By the end of the connection (answers only)
};

////////////////////////////////////////////////////////////
/// \brief The head of a request, checked
////////////////////////////////////////////////////////////
struct RequestHead
{
    std::string         method;                     //!< HTTP method
    std::string         target;                     //!< Request target as received
    std::string         path;                       //!< Target without the query
    bool                http10{false};              //!< The caller speaks HTTP/1.0
    std::vector<Header> headers;                    //!< In order
    BodyFraming         framing{BodyFraming::None}; //!< How the body ends
    std::uint64_t       contentLength{0};           //!< For `Length`
    bool                keepAlive{true};            //!< The caller wants to keep the connection

    ////////////////////////////////////////////////////////////
    /// \brief Value of the first header of a name; empty when there is none
    ////////////////////////////////////////////////////////////
    [[nodiscard]] std::string_view header(std::string_view name) const;
};

////////////////////////////////////////////////////////////
/// \brief Why a head is refused
////////////////////////////////////////////////////////////
struct HeadError
{
    int              status{400}; //!< HTTP status of the refusal
    std::string_view message;     //!< What is wrong
};

////////////////////////////////////////////////////////////
/// \brief Read and check the head of a request
///
/// Refuses every shape on which two parsers could disagree about where a
/// request ends: two lengths, a length with chunked coding, a bare carriage
/// return, folded lines, blanks before the colon, bodies where none belongs.
///
/// \param raw From the request line to the empty line
////////////////////////////////////////////////////////////
[[nodiscard]] std::variant<RequestHead, HeadError> parseRequestHead(std::string_view raw);

////////////////////////////////////////////////////////////
/// \brief Compare header names without regard to case
////////////////////////////////////////////////////////////
[[nodiscard]] bool sameName(std::string_view left, std::string_view right);

////////////////////////////////////////////////////////////
/// \brief Split header lines without checking more than their shape
///
/// \param lines Header lines without the first line of the message
/// \param into  Receives the headers
///
/// \return What is wrong; empty when nothing is
////////////////////////////////////////////////////////////
[[nodiscard]] std::string_view splitHeaders(std::string_view lines, std::vector<Header>& into);

////////////////////////////////////////////////////////////
/// \brief Whether a header concerns only one connection and is not passed on
///
/// \param name       Header name
/// \param connection Value of the Connection header
////////////////////////////////////////////////////////////
[[nodiscard]] bool isHopByHop(std::string_view name, std::string_view connection);

} // namespace sailpath::adapters::http
