#include <sailpath/paths/DownVerdict.hpp>

#include <algorithm>
#include <utility>

namespace sailpath::paths
{
namespace
{
constexpr std::size_t requiredReports = 2;

} // namespace

////////////////////////////////////////////////////////////
void DownVerdict::record(std::string dataCentre, bool refused)
{
    m_dataCentres.push_back(std::move(dataCentre));
    m_allRefused = m_allRefused && refused;
}

////////////////////////////////////////////////////////////
bool DownVerdict::isConclusive(bool hasOtherDataCentre) const
{
    const bool severalDataCentres =
        std::any_of(m_dataCentres.begin(), m_dataCentres.end(),
                    [this](const std::string& name) { return name != m_dataCentres.front(); });
    return m_dataCentres.size() >= requiredReports && (severalDataCentres || !hasOtherDataCentre);
}

////////////////////////////////////////////////////////////
bool DownVerdict::isUnanimous(std::size_t asked) const
{
    return !m_dataCentres.empty() && m_dataCentres.size() == asked;
}

////////////////////////////////////////////////////////////
bool DownVerdict::isRefusal() const
{
    return m_allRefused && !m_dataCentres.empty();
}

////////////////////////////////////////////////////////////
const std::vector<std::string>& DownVerdict::dataCentres() const
{
    return m_dataCentres;
}

} // namespace sailpath::paths
