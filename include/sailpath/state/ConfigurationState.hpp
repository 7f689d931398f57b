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
/// \brief A batch of documents, oldest revision first
////////////////////////////////////////////////////////////
struct DocumentBatch
{
    std::vector<Document> documents;   //!< Newer than what was asked for, by rising revision
    bool                  more{false}; //!< The bound was reached; ask again from the last revision
};

////////////////////////////////////////////////////////////
/// \brief All workspaces' configuration on one VM; only ever moves forward
///
/// The state at revision R holds the newest version of every document whose
/// newest version is at or below R. Batches keep to that by rising revision,
/// so any VM can bring any other up to date.
////////////////////////////////////////////////////////////
class ConfigurationState
{
public:
    ////////////////////////////////////////////////////////////
    /// \brief Take a document if it is newer than the one in force
    ///
    /// \return Whether it was taken
    ////////////////////////////////////////////////////////////
    bool applyIfNewer(const Document& document);

    ////////////////////////////////////////////////////////////
    /// \brief Revision up to which the state is complete; 0 before the first
    ////////////////////////////////////////////////////////////
    [[nodiscard]] std::uint64_t revision() const;

    ////////////////////////////////////////////////////////////
    /// \brief Documents newer than a revision
    ///
    /// \param revision  Revision that the asker has
    /// \param maxBytes Bound on the text; at least one document is given
    ////////////////////////////////////////////////////////////
    [[nodiscard]] DocumentBatch since(std::uint64_t revision, std::size_t maxBytes) const;

    ////////////////////////////////////////////////////////////
    /// \brief The document of a workspace; null when there is none
    ////////////////////////////////////////////////////////////
    [[nodiscard]] const Document* find(std::string_view workspace) const;

private:
    core::StringMap<Document>            m_documents;  //!< By workspace
    std::map<std::uint64_t, std::string> m_byRevision; //!< Workspace of each document in force
};

} // namespace sailpath::state
