#pragma once

#include <sailpath/core/Time.hpp>

namespace sailpath::balance
{
////////////////////////////////////////////////////////////
/// \brief How many requests all nodes together may send
////////////////////////////////////////////////////////////
struct RateBound
{
    double perSecond{0};        //!< Requests
    double requestsToDouble{1}; //!< Requests not sent that double the admissionProbability
    double maxSaved{1};         //!< Most requests that are saved up
};

////////////////////////////////////////////////////////////
/// \brief One node's figure of how open a bound is that holds for all nodes together
///
/// Load pattern: hundreds of nodes send to one place that bears a few requests
/// a second from all of them, or for one workspace that may send so many. No
/// node alone sends more than that; the sum is the flood. Callers may come
/// evenly or nearly all to one node, and nodes do not know who else is there.
///
/// All nodes tell each other what they sent. Each holds one figure: the chance
/// that a request may be sent. It doubles with a fixed number of requests that
/// the bound allows and nobody sent, and halves with as many that were sent. So
/// it settles, at all nodes alike, where the fleet sends what is allowed,
/// whatever the demand, the number of nodes and their shares; nobody has to be
/// asked, and no node has a duty that another could fail to take over.
////////////////////////////////////////////////////////////
class SharedRate
{
public:
    ////////////////////////////////////////////////////////////
    /// \brief Begin
    ///
    /// \param log2Probability Binary logarithm of the admissionProbability; over 0: requests saved up
    ////////////////////////////////////////////////////////////
    SharedRate(double log2Probability, const RateBound& bound, core::Timestamp now);

    void advance(const RateBound& bound, core::Timestamp now);                //!< The bound held until now
    void spend(double requests, const RateBound& bound, core::Timestamp now); //!< They were sent, by any node

    ////////////////////////////////////////////////////////////
    /// \brief Come nearer to another node's figure, so that each node gets its share
    ///
    /// \param weight Of the difference. What is told is old: where much is told, a large one holds the figure back.
    ////////////////////////////////////////////////////////////
    void moveTowards(double log2Probability, double weight, const RateBound& bound);

    [[nodiscard]] double log2Probability(const RateBound& bound, core::Timestamp now) const; //!< See the constructor
    [[nodiscard]] double admissionProbability(const RateBound& bound,
                                              core::Timestamp  now) const; //!< Chance of a request, 0 to 1

private:
    double          m_doublings; //!< As of `m_at`
    core::Timestamp m_at;        //!< Time of that figure
};

} // namespace sailpath::balance
