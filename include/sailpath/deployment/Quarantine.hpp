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
/// \brief A request that is sent to no server any more, as servers ended one after the other that ran it
////////////////////////////////////////////////////////////
struct Quarantine
{
    core::ContentHash            content;       //!< Of the request
    std::optional<std::uint32_t> caller;        //!< Only from this one (short hash of the address); null: from anybody
    std::size_t                  servers{0};    //!< That ended under it
    core::Timestamp              since{};       //!< On this node's clock
    core::Timestamp              until{};       //!< On this node's clock
    std::string                  source;        //!< `here`, `peers` or the name of the node that wrote it to the store
    bool                         stored{false}; //!< It stands in the store

    friend bool operator==(const Quarantine&, const Quarantine&) = default;
};

} // namespace sailpath::deployment
