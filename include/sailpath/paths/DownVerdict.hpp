#pragma once

#include <cstddef>
#include <string>
#include <vector>

namespace sailpath::paths
{
////////////////////////////////////////////////////////////
/// \brief Whether reports of helpers suffice to consider a server down
///
/// A helper may have lost its path to this server itself, most of all one of the same data centre, which shares its links.
/// So two helpers of different data centres have to report it, or all that can be asked.
///
/// Does no input or output and reads no clock.
////////////////////////////////////////////////////////////
class DownVerdict
{
public:
    ////////////////////////////////////////////////////////////
    /// \brief A helper reports that it reaches other servers, but not this one
    ///
    /// \param dataCentre Of the helper
    /// \param refused    The server refused the connection; otherwise it did not come up in time
    ////////////////////////////////////////////////////////////
    void record(std::string dataCentre, bool refused);

    ////////////////////////////////////////////////////////////
    /// \brief Whether no further helper has to be asked
    ///
    /// \param hasOtherDataCentre Whether helpers are known in another data centre than that of the last report
    ////////////////////////////////////////////////////////////
    [[nodiscard]] bool isConclusive(bool hasOtherDataCentre) const;

    [[nodiscard]] bool isUnanimous(std::size_t asked) const; //!< Whether all helpers that were asked report it
    [[nodiscard]] bool isRefusal() const;                    //!< All helpers that report it were refused
    [[nodiscard]] const std::vector<std::string>& dataCentres() const; //!< One for each report

private:
    std::vector<std::string> m_dataCentres;      //!< Of the helpers that reported
    bool                     m_allRefused{true}; //!< No connection failed in another way
};

} // namespace sailpath::paths
