#pragma once

#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

namespace sailpath::paths
{
////////////////////////////////////////////////////////////
/// \brief Whether the words of helpers suffice to call a server down
///
/// A helper may have lost its path to this server itself, most of all one of the same data centre, which shares its links.
/// So two helpers of different data centres have to say it, or all that can be asked.
///
/// Does no input or output and reads no clock.
////////////////////////////////////////////////////////////
class DownVerdict
{
public:
    ////////////////////////////////////////////////////////////
    /// \brief A helper says that the server is down
    ///
    /// \param dataCentre Of the helper
    /// \param refused    The server refused the connection; otherwise it did not come up in time
    ////////////////////////////////////////////////////////////
    void record(std::string dataCentre, bool refused);

    /// \brief Whether the words suffice while further helpers can be asked, in another data centre or not
    [[nodiscard]] bool isConclusive(bool othersElsewhere) const;

    [[nodiscard]] bool isUnanimous(std::size_t asked) const;           //!< Whether all helpers that were asked say it
    [[nodiscard]] bool refused() const;                                //!< One of them was refused
    [[nodiscard]] const std::vector<std::string>& dataCentres() const; //!< One for each helper that says it

private:
    std::vector<std::string> m_dataCentres;
    bool                     m_refused{false};
};

} // namespace sailpath::paths
