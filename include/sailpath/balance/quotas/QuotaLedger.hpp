#pragma once

#include <sailpath/core/Time.hpp>

namespace sailpath::balance::quotas
{
////////////////////////////////////////////////////////////
/// \brief How many requests of a workspace all nodes together may send
////////////////////////////////////////////////////////////
struct QuotaBound
{
    double         perSecond{0};     //!< Allowed requests per second
    double         maxSaved{1};      //!< Upper bound of the requests that can be saved up
    core::Duration spendTime{};      //!< Time in which saved requests are given to a demand beyond the rate
    core::Duration repayTime{};      //!< Time in which an overdraft is taken off the rate
    core::Duration demandWindow{};   //!< Time constant of the demand estimate
    core::Duration contactTimeout{}; //!< Time after which a silent node counts as out of contact
};

////////////////////////////////////////////////////////////
/// \brief One node's account of what a quota allowed and all nodes sent, and the share of requests to let in
///
/// Load pattern: a workspace sends many times its quota through hundreds of
/// nodes, which hear of one another's requests a fraction of a second later.
///
/// The account is exact: it is not cut off below, so that what was sent before
/// the reports arrived is taken off what follows. The share of requests to let
/// in is what the account allows over the demand of the fleet, which changes
/// far more slowly than the account. A share that follows the account alone
/// oscillates when reports are late.
////////////////////////////////////////////////////////////
class QuotaLedger
{
public:
    ////////////////////////////////////////////////////////////
    /// \brief Start with a number of requests saved up
    ////////////////////////////////////////////////////////////
    QuotaLedger(double saved, const QuotaBound& bound, core::Timestamp now);

    void setBound(const QuotaBound& bound, core::Timestamp now); //!< Change the bound; the account goes on
    void spend(double requests, core::Timestamp now);            //!< Subtract requests sent by any node
    void recordDemand(double requests, core::Timestamp now);     //!< Add requests asked of any node

    ////////////////////////////////////////////////////////////
    /// \brief Set the share of the fleet that this node hears
    ///
    /// A smaller share takes effect as of the time at which the silent nodes may
    /// have been lost, as since then they have not heard of this node's requests.
    ////////////////////////////////////////////////////////////
    void setShare(double share, core::Timestamp now);

    [[nodiscard]] double saved(core::Timestamp now) const;  //!< Allowed and unsent requests; negative if overdrawn
    [[nodiscard]] double maxSaved() const;                  //!< Upper bound of `saved` for the share that is heard
    [[nodiscard]] double demand(core::Timestamp now) const; //!< Requests asked of the fleet, per second
    [[nodiscard]] double admissionProbability(core::Timestamp now) const; //!< 0 to 1

private:
    void                 advance(core::Timestamp now);
    [[nodiscard]] double recentlySpent(core::Timestamp now) const;

    QuotaBound      m_bound;           //!< For all nodes together
    double          m_share{1};        //!< Share of the fleet that this node hears, itself included
    double          m_saved;           //!< As of `m_at`
    core::Timestamp m_at;              //!< When `m_saved` was last updated
    double          m_askedDecayed{0}; //!< Exponentially decayed sum of the requests asked, as of `m_askedAt`
    core::Timestamp m_askedAt;         //!< When `m_askedDecayed` was last updated
    core::Timestamp m_periodStart;     //!< Start of the current period of `contactTimeout`
    double          m_spentInPeriod{0};
    double          m_spentInLastPeriod{0};
};

} // namespace sailpath::balance::quotas
