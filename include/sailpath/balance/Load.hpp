#pragma once

namespace sailpath::balance
{
////////////////////////////////////////////////////////////
/// \brief What a server says of its load on an answer
////////////////////////////////////////////////////////////
struct Load
{
    unsigned running{0};  //!< Requests it works on
    unsigned waiting{0};  //!< Requests in its queue
    unsigned slots{1};    //!< Requests it can work on at once
    double   slowdown{1}; //!< How long work takes now; 1 is as usual
};

} // namespace sailpath::balance
