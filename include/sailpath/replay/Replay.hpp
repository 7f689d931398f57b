#pragma once

#include <sailpath/node/DispatcherSettings.hpp>
#include <sailpath/replay/Report.hpp>
#include <sailpath/replay/Trace.hpp>

#include <string>

namespace sailpath::replay
{
////////////////////////////////////////////////////////////
/// \brief What is replayed: the product, a baseline, or the product with a mechanism off
////////////////////////////////////////////////////////////
struct Variant
{
    std::string              name{"sailpath"};     //!< Name in reports
    node::DispatcherSettings decisions;            //!< Settings of the real logic
    bool                     answerReports{true};  //!< Load reports on answers count
    bool                     budgetedProbes{true}; //!< One prober within the workspace's budget
    bool                     peers{true};          //!< Nodes tell one another of servers that leave
    core::Duration           probeEvery{0};        //!< Each node probes each server so often; 0 never
    bool                     omniscient{false};    //!< The bound that sees true state in place of the logic
};

////////////////////////////////////////////////////////////
/// \brief The product and all that it is compared with
////////////////////////////////////////////////////////////
[[nodiscard]] std::vector<Variant> knownVariants();

////////////////////////////////////////////////////////////
/// \brief Replay a trace in virtual time against fake servers
////////////////////////////////////////////////////////////
[[nodiscard]] Report replay(const Trace& trace, const Variant& variant);

} // namespace sailpath::replay
