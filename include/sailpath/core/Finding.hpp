#pragma once

#include <string>

namespace sailpath::core
{
////////////////////////////////////////////////////////////
/// \brief One error in an input, and its place
////////////////////////////////////////////////////////////
struct Finding
{
    std::string place;   //!< Flag, variable or `file:/path/in/document`
    std::string message; //!< What is wrong and what is expected

    friend bool operator==(const Finding&, const Finding&) = default;
};

} // namespace sailpath::core
