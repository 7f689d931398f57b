#pragma once

#include <sailpath/core/ContentHash.hpp>
#include <sailpath/core/Time.hpp>

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>

namespace sailpath::deployment
{
////////////////////////////////////////////////////////////
/// \brief A request that is sent to no server any more, because several servers ended in turn while running it
////////////////////////////////////////////////////////////
struct Quarantine
{
    core::ContentHash            content;    //!< Hash of the request's content
    std::optional<std::uint32_t> caller;     //!< Short hash of the caller's address; null: the request from any caller
    std::size_t                  servers{0}; //!< Servers that ended while running the request
    core::Timestamp              since{};    //!< Start of the quarantine, on this node's clock
    core::Timestamp              until{};    //!< End of the quarantine, on this node's clock
    std::string source;        //!< `here`, `peers` or the name of the node that wrote the quarantine to the store
    bool        stored{false}; //!< The quarantine is in the store

    friend bool operator==(const Quarantine&, const Quarantine&) = default;
};

} // namespace sailpath::deployment
