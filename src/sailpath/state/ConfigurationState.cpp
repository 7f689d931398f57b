#include <sailpath/state/ConfigurationState.hpp>

namespace sailpath::state
{
////////////////////////////////////////////////////////////
bool ConfigurationState::applyIfNewer(const Document& document)
{
    auto found = m_documents.find(document.workspace);
    if (found != m_documents.end() && found->second.revision >= document.revision)
        return false;
    if (found == m_documents.end())
        found = m_documents.emplace(document.workspace, Document{}).first;
    else
        m_byRevision.erase(found->second.revision);
    found->second = document;
    m_byRevision[document.revision] = document.workspace;
    return true;
}

////////////////////////////////////////////////////////////
std::uint64_t ConfigurationState::revision() const
{
    return m_byRevision.empty() ? 0 : m_byRevision.rbegin()->first;
}

////////////////////////////////////////////////////////////
DocumentBatch ConfigurationState::since(std::uint64_t revision, std::size_t maxBytes) const
{
    DocumentBatch batch;
    std::size_t   bytes = 0;
    for (auto item = m_byRevision.upper_bound(revision); item != m_byRevision.end(); ++item)
    {
        const Document& document = m_documents.find(item->second)->second;
        if (!batch.documents.empty() && bytes + document.text.size() > maxBytes)
        {
            batch.more = true;
            break;
        }
        bytes += document.text.size();
        batch.documents.push_back(document);
    }
    return batch;
}

////////////////////////////////////////////////////////////
const Document* ConfigurationState::find(std::string_view workspace) const
{
    const auto found = m_documents.find(workspace);
    return found == m_documents.end() ? nullptr : &found->second;
}

} // namespace sailpath::state
