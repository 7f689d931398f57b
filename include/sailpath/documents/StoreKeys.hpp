#pragma once

#include <sailpath/ports/Store.hpp>
#include <sailpath/state/Document.hpp>

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace sailpath::documents
{
inline constexpr std::string_view configurationPrefix = "/sailpath/configuration/"; //!< One key a workspace
inline constexpr std::string_view proberPrefix = "/sailpath/probers/";              //!< One key a probe group

////////////////////////////////////////////////////////////
/// \brief What a workspace's key holds
////////////////////////////////////////////////////////////
struct StoredDocument
{
    std::vector<std::string> changeIds;      //!< Latest changes, newest first, so that their writers know them again
    std::string              text;           //!< Declaration
    bool                     deleted{false}; //!< The workspace was deleted
};

////////////////////////////////////////////////////////////
/// \brief Key of a workspace
////////////////////////////////////////////////////////////
[[nodiscard]] std::string configurationKey(std::string_view workspace);

////////////////////////////////////////////////////////////
/// \brief Write a value
////////////////////////////////////////////////////////////
[[nodiscard]] std::string encodeDocument(const StoredDocument& document);

////////////////////////////////////////////////////////////
/// \brief Read a value; nothing when it is not one of ours
////////////////////////////////////////////////////////////
[[nodiscard]] std::optional<StoredDocument> decodeDocument(std::string_view value);

////////////////////////////////////////////////////////////
/// \brief The document in a key of the store; nothing when it is not one of ours
////////////////////////////////////////////////////////////
[[nodiscard]] std::optional<state::Document> toDocument(const ports::KeyValue& item);

} // namespace sailpath::documents
