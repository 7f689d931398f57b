#pragma once

#include <sailpath/paths/TunnelMessage.hpp>
#include <sailpath/replication/Message.hpp>

#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <variant>

namespace sailpath::adapters::links
{
//! What travels on a link
using LinkMessage = std::variant<replication::Hello, replication::Update, replication::Report, paths::TunnelOpen>;

////////////////////////////////////////////////////////////
/// \brief Items in the form in which a message carries `Update::sharedItems`
////////////////////////////////////////////////////////////
[[nodiscard]] std::string packItems(std::span<const replication::Item> items);

////////////////////////////////////////////////////////////
/// \brief Bytes of a message, its length in front
///
/// \param message     What is said
/// \param packedItems `packItems` of an update's `sharedItems`; made here when empty
////////////////////////////////////////////////////////////
[[nodiscard]] std::string encode(const LinkMessage& message, std::string_view packedItems = {});

////////////////////////////////////////////////////////////
/// \brief Result of taking a message off a stream
////////////////////////////////////////////////////////////
struct Decoded
{
    std::optional<LinkMessage> message;          //!< Null when it is not whole yet
    std::size_t                taken{0};         //!< Bytes used
    bool                       malformed{false}; //!< The stream is of no more use
};

////////////////////////////////////////////////////////////
/// \brief Take the next message off the front of a stream
////////////////////////////////////////////////////////////
[[nodiscard]] Decoded decode(std::string_view bytes);

} // namespace sailpath::adapters::links
