#include <sailpath/documents/StoreKeys.hpp>

#include <nlohmann/json.hpp>

namespace sailpath::documents
{
////////////////////////////////////////////////////////////
std::string configurationKey(std::string_view workspace)
{
    return std::string(configurationPrefix) + std::string(workspace);
}

////////////////////////////////////////////////////////////
std::string encodeDocument(const StoredDocument& document)
{
    const nlohmann::json value{
        {"changeIds", document.changeIds}, {"text", document.text}, {"deleted", document.deleted}};
    return value.dump();
}

////////////////////////////////////////////////////////////
std::optional<StoredDocument> decodeDocument(std::string_view value)
{
    const auto parsed = nlohmann::json::parse(value, nullptr, false);
    if (!parsed.is_object() || !parsed.contains("text") || !parsed["text"].is_string())
        return std::nullopt;
    StoredDocument document;
    document.text = parsed["text"].get<std::string>();
    // Not copied: a copy of a deeply nested value takes the stack.
    const auto changeIds = parsed.find("changeIds");
    if (changeIds != parsed.end() && changeIds->is_array())
    {
        for (const nlohmann::json& changeId : *changeIds)
        {
            if (changeId.is_string())
                document.changeIds.push_back(changeId.get<std::string>());
        }
    }
    const auto deleted = parsed.find("deleted");
    document.deleted = deleted != parsed.end() && deleted->is_boolean() && deleted->get<bool>();
    return document;
}

////////////////////////////////////////////////////////////
std::optional<state::Document> toDocument(const ports::KeyValue& item)
{
    const std::string_view key = item.key;
    const auto             stored = decodeDocument(item.value);
    if (!key.starts_with(configurationPrefix) || !stored)
        return std::nullopt;
    return state::Document{std::string(key.substr(configurationPrefix.size())), stored->text, item.revision,
                           stored->deleted};
}

} // namespace sailpath::documents
