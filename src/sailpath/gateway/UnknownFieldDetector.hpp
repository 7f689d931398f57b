#pragma once

#include <sailpath/gateway/Dialect.hpp>
#include <sailpath/http/Head.hpp>

#include <set>
#include <string>
#include <vector>

namespace sailpath::gateway::priv
{
////////////////////////////////////////////////////////////
/// \brief Detects header fields in servers' answers that the gateway does not interpret
///
/// Such fields may change how a server is to be treated: operators have to see them.
////////////////////////////////////////////////////////////
class UnknownFieldDetector
{
public:
    explicit UnknownFieldDetector(const Dialect& dialect);

    ////////////////////////////////////////////////////////////
    /// \brief Find fields with new names; reports each name once, and a few names per process
    ////////////////////////////////////////////////////////////
    [[nodiscard]] std::vector<http::HeaderField> detect(const http::Head& head);

private:
    std::set<std::string, std::less<>> m_known;   //!< Names known or reported, as spelled
    unsigned                           m_left{0}; //!< Names that may still be reported
};

} // namespace sailpath::gateway::priv
