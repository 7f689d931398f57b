#include "FieldWatch.hpp"

#include <array>

namespace sailpath::gateway::priv
{
namespace
{
constexpr unsigned    mostNames = 16;   // In a life: one line each
constexpr std::size_t longestName = 64; // Of a name or a value that is kept and logged

// Of HTTP; read by the parser, by us, or of no concern to who passes an answer on.
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
FieldWatch::FieldWatch(const Dialect& dialect) :
m_known(common.begin(), common.end()),
m_left(mostNames)
{
    for (const std::string* name : {&dialect.requestId, &dialect.instanceId, &dialect.signature, &dialect.notExecuted,
                                    &dialect.load, &dialect.warmUpMs})
        m_known.insert(*name);
    m_known.insert(dialect.limits.begin(), dialect.limits.end());
    m_known.insert(dialect.leaving.begin(), dialect.leaving.end());
}

////////////////////////////////////////////////////////////
std::vector<http::HeaderField> FieldWatch::unknown(const http::Head& head)
{
    std::vector<http::HeaderField> found;
    if (m_left == 0)
        return found;
    for (const http::HeaderField& field : head.fields)
    {
        if (m_left == 0 || field.name.size() > longestName || m_known.contains(field.name))
            continue;
        m_known.insert(field.name);
        --m_left;
        found.push_back({field.name, field.value.substr(0, longestName)});
    }
    return found;
}

} // namespace sailpath::gateway::priv
