#pragma once

#include <sailpath/core/Time.hpp>

namespace sailpath::balance
{
////////////////////////////////////////////////////////////
/// \brief How many requests all nodes together may send
////////////////////////////////////////////////////////////
struct RateBound
{
    double perSecond{0};        //!< Allowed requests per second
    double requestsToDouble{1}; //!< Allowed but unsent requests that double the admission probability
    double maxSaved{1};         //!< Upper bound of the requests that can be saved up
};

////////////////////////////////////////////////////////////
/// \brief One node's estimate of the admission probability under a rate bound that holds for all nodes together
///
/// Load pattern: hundreds of nodes send to one instance that bears a few
/// requests per second from all of them, or for one workspace whose rate is
/// bounded. No node alone exceeds the bound; the sum of all does. Callers may be
/// spread evenly or nearly all use one node, and a node does not know which
/// other nodes take part.
///
/// All nodes tell each other what they sent. Each node holds one figure, the
/// probability that a request may be sent. The figure doubles with a fixed
/// number of requests that the bound allowed and nobody sent, and halves with as
/// many that were sent. So it settles, at all nodes alike, where the fleet sends
/// what is allowed, whatever the demand, the number of nodes and their shares.
/// No node has to be asked for permission, and no node has a special role whose
/// loss another node would have to make up for.
////////////////////////////////////////////////////////////
class SharedRate
{
public:
    ////////////////////////////////////////////////////////////
    /// \brief Start with a given admission probability
    ///
    /// \param log2Probability Binary logarithm of the admission probability; a value above 0 stands for requests that
    ///                        are saved up
    ////////////////////////////////////////////////////////////
    SharedRate(double log2Probability, const RateBound& bound, core::Timestamp now);

    void advance(const RateBound& bound, core::Timestamp now); //!< Add what the bound allowed from the last call to now
    void spend(double requests, const RateBound& bound, core::Timestamp now); //!< Subtract requests sent by any node

    ////////////////////////////////////////////////////////////
    /// \brief Move the figure towards another node's figure, so that each node gets its share
    ///
    /// \param weight Part of the difference to move by, 0 to 1. The other node's figure is out of date when it
    ///               arrives: where many figures arrive, a large weight holds this node's figure back.
    ////////////////////////////////////////////////////////////
    void moveTowards(double log2Probability, double weight, const RateBound& bound);

    [[nodiscard]] double log2Probability(const RateBound& bound,
                                         core::Timestamp  now) const; //!< As for the constructor
    [[nodiscard]] double admissionProbability(const RateBound& bound, core::Timestamp now) const; //!< 0 to 1

private:
    double          m_log2Probability; //!< As of `m_at`
    core::Timestamp m_at;              //!< When `m_log2Probability` was last updated
};

} // namespace sailpath::balance
