#pragma once

namespace sailpath::balance
{
////////////////////////////////////////////////////////////
/// \brief Load report that a server attaches to an answer
////////////////////////////////////////////////////////////
struct Load
{
    unsigned running{0};  //!< Requests being processed
    unsigned waiting{0};  //!< Requests in the queue of the server
    unsigned slots{1};    //!< Requests that the server can process at once
    double   slowdown{1}; //!< Current processing time relative to the usual one; 1 is as usual, 2 twice as long
};

} // namespace sailpath::balance
