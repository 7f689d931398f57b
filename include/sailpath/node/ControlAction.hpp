#pragma once

#include <sailpath/config/Workspace.hpp>
#include <sailpath/core/Findings.hpp>
#include <sailpath/node/Digest.hpp>
#include <sailpath/node/Target.hpp>

#include <cstdint>
#include <memory>
#include <string>
#include <variant>
#include <vector>

namespace sailpath::node
{
////////////////////////////////////////////////////////////
/// \brief Send a digest to a peer; report with `exchanged` or `exchangeFailed`
////////////////////////////////////////////////////////////
struct ExchangeWith
{
    std::string peer;    //!< Name
    std::string address; //!< `IP:PORT`
    Digest      digest;  //!< What to send
};

////////////////////////////////////////////////////////////
/// \brief Ask a peer for documents; report with `documentsReceived` or `pullFailed`
////////////////////////////////////////////////////////////
struct PullDocuments
{
    std::string   peer;        //!< Name
    std::string   address;     //!< `IP:PORT`
    std::uint64_t revision{0}; //!< What this VM has
};

////////////////////////////////////////////////////////////
/// \brief Read all documents from the store; report with `storeRead` or `storeFailed`
////////////////////////////////////////////////////////////
struct ReadStore
{
};

////////////////////////////////////////////////////////////
/// \brief Watch the store from a revision on; report with `storeChanged` or `watchEnded`
////////////////////////////////////////////////////////////
struct WatchStore
{
    std::uint64_t revision{0}; //!< First revision wanted
};

////////////////////////////////////////////////////////////
/// \brief End the watch
////////////////////////////////////////////////////////////
struct StopWatch
{
};

////////////////////////////////////////////////////////////
/// \brief Read the platform's list of VMs; report with `membersListed`
////////////////////////////////////////////////////////////
struct ListMembers
{
};

////////////////////////////////////////////////////////////
/// \brief Get a lease and write a key under it unless the key exists; report with `leaseAnswered`
////////////////////////////////////////////////////////////
struct AcquireLease
{
    unsigned     group{0}; //!< Probe group
    std::int64_t lease{0}; //!< Lease to use; 0 to be granted one first
};

////////////////////////////////////////////////////////////
/// \brief Renew a lease; report with `leaseAnswered`
////////////////////////////////////////////////////////////
struct RenewLease
{
    std::int64_t lease{0}; //!< The store's id
};

////////////////////////////////////////////////////////////
/// \brief Give a lease back, so that another VM need not wait for its end
////////////////////////////////////////////////////////////
struct ReleaseLease
{
    std::int64_t lease{0}; //!< The store's id
};

////////////////////////////////////////////////////////////
/// \brief Probe a server; report with `probed`
////////////////////////////////////////////////////////////
struct SendProbe
{
    std::shared_ptr<const Target> target; //!< Where to
};

////////////////////////////////////////////////////////////
/// \brief Put a workspace's configuration in force
////////////////////////////////////////////////////////////
struct ApplyWorkspace
{
    config::Workspace workspace;   //!< What is declared
    std::uint64_t     revision{0}; //!< Its revision
};

////////////////////////////////////////////////////////////
/// \brief Put the deletion of a workspace in force
////////////////////////////////////////////////////////////
struct RemoveWorkspace
{
    std::string   workspace;   //!< Its name
    std::uint64_t revision{0}; //!< Revision of the deletion
};

////////////////////////////////////////////////////////////
/// \brief Report that a document cannot be put in force; the one before stays
////////////////////////////////////////////////////////////
struct RejectedDocument
{
    std::string    workspace;   //!< Its name
    std::uint64_t  revision{0}; //!< Its revision
    core::Findings findings;    //!< What is wrong
};

////////////////////////////////////////////////////////////
/// \brief Tell the dispatcher of a report about a server
////////////////////////////////////////////////////////////
struct ApplyServerReport
{
    ServerReport report; //!< What was found
};

////////////////////////////////////////////////////////////
/// \brief Something that the program has to do for the controller
////////////////////////////////////////////////////////////
using ControlAction =
    std::variant<ExchangeWith, PullDocuments, ReadStore, WatchStore, StopWatch, ListMembers, AcquireLease, RenewLease,
                 ReleaseLease, SendProbe, ApplyWorkspace, RemoveWorkspace, RejectedDocument, ApplyServerReport>;

////////////////////////////////////////////////////////////
/// \brief Actions in the order in which they are to be done
////////////////////////////////////////////////////////////
using ControlActions = std::vector<ControlAction>;

} // namespace sailpath::node
