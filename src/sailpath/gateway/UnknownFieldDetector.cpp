#include "UnknownFieldDetector.hpp"

#include <array>

namespace sailpath::gateway::priv
{
namespace
{
constexpr unsigned    maxNames = 16;      // Names reported per process; each is one log line
constexpr std::size_t maxTextLength = 64; // Bytes of a reported name or value

// Standard HTTP fields that the parser or the gateway reads, or that do not matter to a proxy.
constexpr std::array<std::string_view, 18> common{"Connection",
                                                  "Content-Length",
                                                  "Content-Type",
                                                  "Content-Encoding",
                                                  "Transfer-Encoding",
                                                  "Keep-Alive",
                                                  "Date",
                                                  "Server",
                                                  "Retry-After",
                                                  "Cache-Control",
                                                  "ETag",
                                                  "Expires",
                                                  "Last-Modified",
                                                  "Content-Language",
                                                  "Accept-Ranges",
                                                  "Content-Disposition",
                                                  "Location",
                                                  "Vary"};

} // namespace

////////////////////////////////////////////////////////////
UnknownFieldDetector::UnknownFieldDetector(const Dialect& dialect) :
m_known(common.begin(), common.end()),
m_left(maxNames)
{
    for (const std::string* name : {&dialect.requestId, &dialect.instanceId, &dialect.signature, &dialect.notExecuted,
                                    &dialect.load, &dialect.warmUpMs})
        m_known.insert(*name);
    m_known.insert(dialect.limits.begin(), dialect.limits.end());
    m_known.insert(dialect.leaving.begin(), dialect.leaving.end());
}

////////////////////////////////////////////////////////////
std::vector<http::HeaderField> UnknownFieldDetector::detect(const http::Head& head)
{
    std::vector<http::HeaderField> found;
    if (m_left == 0)
        return found;
    for (const http::HeaderField& field : head.fields)
    {
        if (m_left == 0 || field.name.size() > maxTextLength || m_known.contains(field.name))
            continue;
        m_known.insert(field.name);
        --m_left;
        found.push_back({field.name, field.value.substr(0, maxTextLength)});
    }
    return found;
}

} // namespace sailpath::gateway::priv
