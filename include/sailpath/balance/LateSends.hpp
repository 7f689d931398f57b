#pragma once

#include <sailpath/balance/Step.hpp>
#include <sailpath/core/Time.hpp>
#include <sailpath/deployment/Instance.hpp>
#include <sailpath/deployment/RequestIdentity.hpp>

#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <utility>

namespace sailpath::balance
{
////////////////////////////////////////////////////////////
/// \brief A send that goes on after its request has ended for the caller
////////////////////////////////////////////////////////////
struct LateSend
{
    std::shared_ptr<const deployment::Instance> instance; //!< Server that runs the request
    core::Timestamp                             sentAt{};
    core::Timestamp                             leftAt{}; //!< When the request ended for the caller
    std::optional<deployment::RequestIdentity>  identity; //!< Null until `LateSends::identify`
};

////////////////////////////////////////////////////////////
/// \brief Sends that must not be broken off and whose requests have timed out
///
/// How they end is still evidence. They are kept for as long as evidence is, and
/// of more than 1,024 the oldest is dropped.
////////////////////////////////////////////////////////////
class LateSends
{
public:
    void add(Ticket ticket, unsigned attempt, LateSend send);
    void identify(Ticket ticket, unsigned attempt, const deployment::RequestIdentity& identity);

    ////////////////////////////////////////////////////////////
    /// \brief Remove a send that has ended; null if it is not known, or not identified
    ////////////////////////////////////////////////////////////
    [[nodiscard]] std::optional<LateSend> take(Ticket ticket, unsigned attempt, core::Timestamp now);

    [[nodiscard]] std::size_t size() const; //!< Number of sends

private:
    using Key = std::pair<Ticket, unsigned>;

    std::map<Key, LateSend> m_sends; //!< In the order of arrival of their requests
};

} // namespace sailpath::balance
