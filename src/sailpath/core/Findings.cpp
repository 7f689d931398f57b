#include <sailpath/core/Findings.hpp>

namespace sailpath::core
{
////////////////////////////////////////////////////////////
void Findings::add(std::string place, std::string message)
{
    m_findings.push_back({std::move(place), std::move(message)});
}

////////////////////////////////////////////////////////////
void Findings::append(const Findings& other)
{
    m_findings.insert(m_findings.end(), other.m_findings.begin(), other.m_findings.end());
}

////////////////////////////////////////////////////////////
bool Findings::empty() const
{
    return m_findings.empty();
}

////////////////////////////////////////////////////////////
std::span<const Finding> Findings::all() const
{
    return m_findings;
}

////////////////////////////////////////////////////////////
std::string Findings::text() const
{
    std::string lines;
    for (const Finding& finding : m_findings)
        lines += finding.place + ": " + finding.message + "\n";
    return lines;
}

} // namespace sailpath::core
