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
/// Servers may begin to send fields that change how the servers are to be
/// treated; operators have to learn of fields that have no effect yet.
////////////////////////////////////////////////////////////
class UnknownFieldDetector
{
public:
    explicit UnknownFieldDetector(const Dialect& dialect);

    ////////////////////////////////////////////////////////////
    /// \brief Find fields whose names are neither known nor reported yet
    ///
    /// Each name is reported once, and only a few names per process. Values are cut to a maximum length.
    ////////////////////////////////////////////////////////////
    [[nodiscard]] std::vector<http::HeaderField> detect(const http::Head& head);

private:
    std::set<std::string, std::less<>> m_known;   //!< Known or reported names, in the spelling seen
    unsigned                           m_left{0}; //!< Number of names that may still be reported
};

} // namespace sailpath::gateway::priv
