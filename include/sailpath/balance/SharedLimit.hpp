#pragma once

#include <sailpath/balance/LimitState.hpp>
#include <sailpath/balance/SharedRate.hpp>
#include <sailpath/core/Time.hpp>

#include <cstdint>

namespace sailpath::balance
{
////////////////////////////////////////////////////////////
/// \brief One node's part in keeping what all nodes together send to an instance within the instance's limit
///
/// Load pattern: some servers of a service ask for a third of what they got, a
/// few requests per second, while hundreds of nodes send to the service. No
/// node alone exceeds the limit; the sum of all does. Callers may be spread
/// evenly or nearly all use one node, and a node does not know which other
/// nodes send to the instance.
///
/// All nodes tell each other what they sent to the instance, and each holds the
/// probability that a request may be sent there: see `SharedRate`.
///
/// Trade-off: the more requests it takes to double the probability, the less
/// the sum oscillates by reports that are under way (up to half a second), and
/// the more is sent beyond the limit while demand rises; see the constants.
////////////////////////////////////////////////////////////
class SharedLimit
{
public:
    ////////////////////////////////////////////////////////////
    /// \brief Start to limit an instance
    ///
    /// \param log2Probability Binary logarithm of the admission probability, as another node reported it; 0 where this
    ///                        node is the first that the instance told
    ////////////////////////////////////////////////////////////
    SharedLimit(double log2Probability, core::Timestamp now);

    ////////////////////////////////////////////////////////////
    /// \brief Record a limit that the instance named
    ///
    /// Answers overtake each other, those reported by other nodes all the more:
    /// of the limits that arrive within a short time the lowest holds.
    ///
    /// \param perSecond Requests per second from all nodes together; `unlimited` if the instance accepts everything
    /// \param at        When the instance named it
    ///
    /// \return Whether the limit differs from the one named last
    ////////////////////////////////////////////////////////////
    bool recordLimit(double perSecond, core::Timestamp at, core::Timestamp now);

    void recordSent(double requests, core::Timestamp now); //!< Record requests that this node sent

    ////////////////////////////////////////////////////////////
    /// \brief Record requests that another node sent, and its admission probability
    ///
    /// Moves this node's figure towards the other node's, so that each node gets
    /// its share of the limit.
    ///
    /// \param log2Probability Binary logarithm of the other node's admission probability
    ////////////////////////////////////////////////////////////
    void recordSentElsewhere(double requests, double log2Probability, core::Timestamp now);

    ////////////////////////////////////////////////////////////
    /// \brief Decide whether the instance may be sent a request
    ///
    /// \param draw Random number in [0, 1); the same whenever the same request and instance are asked about
    /// \param rank Number of more urgent kinds of request of the service; with each the probability falls faster
    ////////////////////////////////////////////////////////////
    [[nodiscard]] bool admits(double draw, unsigned rank, core::Timestamp now) const;

    [[nodiscard]] bool hasEnded(core::Timestamp now) const; //!< The limit has no effect any more
    [[nodiscard]] double
    log2Probability(core::Timestamp now) const; //!< Of admission, binary logarithm; above 0: requests are saved up
    [[nodiscard]] double          admissionProbability(core::Timestamp now) const; //!< Of one request, 0 to 1
    [[nodiscard]] double          perSecond(core::Timestamp now) const;            //!< Limit in force, requests/s
    [[nodiscard]] double          lastLimit() const;    //!< Limit that the instance named last, requests/s
    [[nodiscard]] core::Timestamp lastLimitAt() const;  //!< When the instance named its last limits last limit
    [[nodiscard]] double          sentHere() const;     //!< Requests sent by this node since `limitedSince`
    [[nodiscard]] double          sentByAll() const;    //!< Requests sent by all nodes, as far as they reported
    [[nodiscard]] core::Timestamp limitedSince() const; //!< When limiting began

private:
    void count(double requests, core::Timestamp now);

    core::Timestamp m_limitedSince;         //!< When limiting began
    double          m_lastLimit{unlimited}; //!< Limit that the instance named last, requests/s
    core::Timestamp m_lastLimitAt{};        //!< When the instance named its last limit
    double          m_lowLimit{unlimited};  //!< Lower limit that arrived shortly before, requests/s
    core::Timestamp m_lowLimitUntil{};      //!< Until when `m_lowLimit` holds
    SharedRate      m_rate;                 //!< Admission probability
    double          m_sentHere{0};          //!< Requests sent by this node
    double          m_sentByAll{0};         //!< Requests sent by all nodes
};

} // namespace sailpath::balance
