#pragma once

#include <sailpath/core/StringMap.hpp>
#include <sailpath/state/Document.hpp>

#include <cstdint>
#include <map>
#include <string_view>
#include <vector>

namespace sailpath::state
{
////////////////////////////////////////////////////////////
/// \brief A batch of documents in ascending order of revision
////////////////////////////////////////////////////////////
struct DocumentBatch
{
    std::vector<Document> documents; //!< Documents newer than the requested revision, in ascending order
    bool more{false}; //!< Whether the size bound cut the batch; the next request starts at its last revision
};

////////////////////////////////////////////////////////////
/// \brief Configuration of all workspaces on one VM; its revision never decreases
///
/// The state at revision R holds the newest version of every document whose
/// newest version is at or below R. Batches preserve this property by
/// ascending revision, so any VM can bring any other up to date.
////////////////////////////////////////////////////////////
class ConfigurationState
{
public:
    ////////////////////////////////////////////////////////////
    /// \brief Apply a document if it is newer than the one in force
    ///
    /// \return Whether the document was applied
    ////////////////////////////////////////////////////////////
    bool applyIfNewer(const Document& document);

    ////////////////////////////////////////////////////////////
    /// \brief Return the revision up to which the state is complete; 0 before the first document
    ////////////////////////////////////////////////////////////
    [[nodiscard]] std::uint64_t revision() const;

    ////////////////////////////////////////////////////////////
    /// \brief Return documents newer than a revision
    ///
    /// \param revision Revision that the requester has
    /// \param maxBytes Bound on the total size of the texts in bytes; at least one document is returned if any is newer
    ////////////////////////////////////////////////////////////
    [[nodiscard]] DocumentBatch since(std::uint64_t revision, std::size_t maxBytes) const;

    ////////////////////////////////////////////////////////////
    /// \brief Return the document of a workspace; null when there is none
    ////////////////////////////////////////////////////////////
    [[nodiscard]] const Document* find(std::string_view workspace) const;

private:
    core::StringMap<Document>            m_documents;  //!< Documents by workspace
    std::map<std::uint64_t, std::string> m_byRevision; //!< Workspace of each document in force, by revision
};

} // namespace sailpath::state
