#pragma once

#include <string>

namespace sailpath::core
{
////////////////////////////////////////////////////////////
/// \brief One thing that is wrong with an input, and where it stands
////////////////////////////////////////////////////////////
struct Finding
{
    std::string place;   //!< Flag, variable or `file:/path/in/document`
    std::string message; //!< What is wrong and what is expected

    friend bool operator==(const Finding&, const Finding&) = default;
};

} // namespace sailpath::core
