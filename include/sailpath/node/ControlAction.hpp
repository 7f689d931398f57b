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
/// \brief Send a digest to a peer; the program reports the result with `exchanged` or `exchangeFailed`
////////////////////////////////////////////////////////////
struct ExchangeWith
{
    std::string peer;    //!< Name of the peer
    std::string address; //!< Address of the peer as `IP:PORT`
    Digest      digest;  //!< Digest to send
};

////////////////////////////////////////////////////////////
/// \brief Request documents from a peer; the program reports the result with `documentsReceived` or `pullFailed`
////////////////////////////////////////////////////////////
struct PullDocuments
{
    std::string   peer;        //!< Name of the peer
    std::string   address;     //!< Address of the peer as `IP:PORT`
    std::uint64_t revision{0}; //!< Revision that this VM has; newer documents are requested
};

////////////////////////////////////////////////////////////
/// \brief Read all documents from the store; the program reports the result with `storeRead` or `storeFailed`
////////////////////////////////////////////////////////////
struct ReadStore
{
};

////////////////////////////////////////////////////////////
/// \brief Watch the store from a revision on; the program reports with `storeChanged` or `storeFailed`
////////////////////////////////////////////////////////////
struct WatchStore
{
    std::uint64_t revision{0}; //!< First revision to report
};

////////////////////////////////////////////////////////////
/// \brief End the watch on the store
////////////////////////////////////////////////////////////
struct StopWatch
{
};

////////////////////////////////////////////////////////////
/// \brief Read the platform's list of VMs; the program reports the result with `membersListed`
////////////////////////////////////////////////////////////
struct ListMembers
{
};

////////////////////////////////////////////////////////////
/// \brief Create a probe group's key under a lease if the key is absent; the program reports with `leaseAnswered`
////////////////////////////////////////////////////////////
struct AcquireLease
{
    unsigned     group{0}; //!< Number of the probe group
    std::int64_t lease{0}; //!< Id of the lease to use; 0 to request a new lease first
};

////////////////////////////////////////////////////////////
/// \brief Renew a lease; the program reports the result with `leaseAnswered`
////////////////////////////////////////////////////////////
struct RenewLease
{
    std::int64_t lease{0}; //!< Id of the lease in the store
};

////////////////////////////////////////////////////////////
/// \brief Revoke a lease, so that another VM need not wait until the lease expires
////////////////////////////////////////////////////////////
struct ReleaseLease
{
    std::int64_t lease{0}; //!< Id of the lease in the store
};

////////////////////////////////////////////////////////////
/// \brief Probe a server; the program reports the result with `probed`
////////////////////////////////////////////////////////////
struct SendProbe
{
    std::shared_ptr<const Target> target; //!< Server to probe
};

////////////////////////////////////////////////////////////
/// \brief Apply a workspace's configuration
////////////////////////////////////////////////////////////
struct ApplyWorkspace
{
    config::Workspace workspace;   //!< Declared configuration
    std::uint64_t     revision{0}; //!< Revision of the configuration
};

////////////////////////////////////////////////////////////
/// \brief Apply the deletion of a workspace
////////////////////////////////////////////////////////////
struct RemoveWorkspace
{
    std::string   workspace;   //!< Name of the workspace
    std::uint64_t revision{0}; //!< Revision of the deletion
};

////////////////////////////////////////////////////////////
/// \brief Report that a document is invalid and not applied; the previous document of the workspace stays in force
////////////////////////////////////////////////////////////
struct RejectedDocument
{
    std::string    workspace;   //!< Name of the workspace
    std::uint64_t  revision{0}; //!< Revision of the document
    core::Findings findings;    //!< Errors found in the document
};

////////////////////////////////////////////////////////////
/// \brief Pass a report about a server to the dispatcher
////////////////////////////////////////////////////////////
struct ApplyServerReport
{
    ServerReport report; //!< Report to pass on
};

////////////////////////////////////////////////////////////
/// \brief One action that the program carries out for the controller
////////////////////////////////////////////////////////////
using ControlAction =
    std::variant<ExchangeWith, PullDocuments, ReadStore, WatchStore, StopWatch, ListMembers, AcquireLease, RenewLease,
                 ReleaseLease, SendProbe, ApplyWorkspace, RemoveWorkspace, RejectedDocument, ApplyServerReport>;

////////////////////////////////////////////////////////////
/// \brief Actions in the order in which the program must carry them out
////////////////////////////////////////////////////////////
using ControlActions = std::vector<ControlAction>;

} // namespace sailpath::node
