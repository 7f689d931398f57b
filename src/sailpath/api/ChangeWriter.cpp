#include <sailpath/api/ChangeWriter.hpp>

#include <sailpath/documents/StoreKeys.hpp>

#include <algorithm>

namespace sailpath::api
{
namespace
{
constexpr int         mostTries = 5;
constexpr std::size_t rememberedChanges = 16;

////////////////////////////////////////////////////////////
documents::StoredDocument successor(const documents::StoredDocument& before, const Change& change)
{
    documents::StoredDocument after;
    after.text = change.text;
    after.deleted = change.remove;
    after.changeIds = before.changeIds;
    after.changeIds.insert(after.changeIds.begin(), change.changeId);
    if (after.changeIds.size() > rememberedChanges)
        after.changeIds.resize(rememberedChanges);
    return after;
}

} // namespace

////////////////////////////////////////////////////////////
ChangeWriter::ChangeWriter(ports::Store& store, Pause pause) :
m_store(store),
m_pause(std::move(pause))
{
}

////////////////////////////////////////////////////////////
ChangeAnswer ChangeWriter::apply(const Change& change)
{
    m_unsure = false;
    for (int attempt = 0; attempt < mostTries; ++attempt)
    {
        if (const auto answer = tryOnce(change))
            return *answer;
        m_pause();
    }
    return {m_unsure ? ChangeResult::Unknown : ChangeResult::Unavailable, 0};
}

////////////////////////////////////////////////////////////
std::optional<ChangeAnswer> ChangeWriter::tryOnce(const Change& change)
{
    const std::string       key = documents::configurationKey(change.workspace);
    const ports::ReadAnswer read = m_store.get(key);
    if (read.status != ports::StoreStatus::Ok)
        return std::nullopt;

    documents::StoredDocument before;
    std::uint64_t             revision = 0;
    bool                      exists = false;
    if (!read.items.empty())
    {
        revision = read.items.front().revision;
        before = documents::decodeDocument(read.items.front().value).value_or(documents::StoredDocument{});
        exists = !before.deleted;
    }
    const auto& known = before.changeIds;
    if (std::find(known.begin(), known.end(), change.changeId) != known.end())
        return ChangeAnswer{m_unsure ? ChangeResult::Done : ChangeResult::AlreadyDone, revision};

    // Here the change has certainly not been applied: the document would name it.
    m_unsure = false;
    const std::uint64_t visible = exists ? revision : 0;
    if (change.ifRevision && *change.ifRevision != visible)
        return ChangeAnswer{ChangeResult::Conflict, visible};
    if (change.remove && !exists)
        return ChangeAnswer{ChangeResult::NotFound, 0};
    if (change.dryRun)
        return ChangeAnswer{ChangeResult::WouldBeDone, visible};

    const std::string        value = documents::encodeDocument(successor(before, change));
    const ports::WriteAnswer write = m_store.compareAndSwap({key, value, revision, 0});
    switch (write.status)
    {
    case ports::StoreStatus::Ok:
        return ChangeAnswer{ChangeResult::Done, write.revision};
    case ports::StoreStatus::Unknown:
        m_unsure = true;
        return std::nullopt;
    case ports::StoreStatus::Conflict:
    case ports::StoreStatus::Unavailable:
        break;
    }
    return std::nullopt;
}

} // namespace sailpath::api
