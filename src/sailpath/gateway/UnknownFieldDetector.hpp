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
/// A new version of a server may send fields that change how the server is
/// to be treated. Such fields are reported so that operators see them.
////////////////////////////////////////////////////////////
class UnknownFieldDetector
{
public:
    explicit UnknownFieldDetector(const Dialect& dialect);

    ////////////////////////////////////////////////////////////
    /// \brief Find fields whose names are neither known nor reported yet
    ///
    /// Each name is reported once, and the number of names per process is limited.
    ///
    /// \param head Head of a server's answer
    ///
    /// \return Unknown fields, with their values cut to a maximum length
    ////////////////////////////////////////////////////////////
    [[nodiscard]] std::vector<http::HeaderField> detect(const http::Head& head);

private:
    std::set<std::string, std::less<>> m_known;             //!< Known or reported names, in the spelling seen
    unsigned                           m_remainingNames{0}; //!< Number of names that may still be reported
};

} // namespace sailpath::gateway::priv
