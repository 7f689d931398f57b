#pragma once

#include <sailpath/balance/LimitState.hpp>
#include <sailpath/balance/SharedRate.hpp>
#include <sailpath/core/Time.hpp>

#include <cstdint>

namespace sailpath::balance
{
////////////////////////////////////////////////////////////
/// \brief One node's part in keeping what all nodes together send to an instance within what it takes
///
/// Load pattern: some servers of a service ask for a third of what they got,
/// a few requests a second, while hundreds of nodes send to the service. No
/// node alone sends more than that; the sum is the flood. Callers may come
/// evenly or nearly all to one node, and nodes do not know who else is there.
///
/// All nodes tell each other what they sent to the instance, and each holds the
/// chance that a request may go there: see `SharedRate`.
///
/// Limits: the more requests to a doubling, the less the sum is tossed about by
/// news that are on their way (up to half a second), and the more is sent while
/// demand rises; see the constants.
////////////////////////////////////////////////////////////
class SharedLimit
{
public:
    ////////////////////////////////////////////////////////////
    /// \brief Begin to limit
    ///
    /// \param log2Probability Binary logarithm of the admissionProbability, as another node told; 0 where this node was told first
    ////////////////////////////////////////////////////////////
    SharedLimit(double log2Probability, core::Timestamp now);

    ////////////////////////////////////////////////////////////
    /// \brief Hear what the instance takes
    ///
    /// Answers overtake each other, more so those told by other nodes: of what
    /// was said within a moment the lowest holds.
    ///
    /// \param perSecond From all nodes together; `unlimited` for everything
    /// \param at        When the instance said so
    ///
    /// \return Whether this changes what is believed
    ////////////////////////////////////////////////////////////
    bool recordLimit(double perSecond, core::Timestamp at, core::Timestamp now);

    void recordSent(double requests, core::Timestamp now); //!< By this node

    ////////////////////////////////////////////////////////////
    /// \brief Another node told what it sent, and how open the instance is to it
    ///
    /// The nodes' figures draw near each other by it, so that each gets its
    /// share of what the instance takes.
    ///
    /// \param log2Probability Of the other node
    ////////////////////////////////////////////////////////////
    void recordSentElsewhere(double requests, double log2Probability, core::Timestamp now);

    ////////////////////////////////////////////////////////////
    /// \brief Whether the instance may be sent a request
    ///
    /// \param draw In [0, 1); the same for one request and instance, however often it is asked
    /// \param rank How many kinds of request of the service are more urgent: the more, the sooner it stands back
    ////////////////////////////////////////////////////////////
    [[nodiscard]] bool admits(double draw, unsigned rank, core::Timestamp now) const;

    [[nodiscard]] bool hasEnded(core::Timestamp now) const; //!< Nothing is limited any more
    [[nodiscard]] double
    log2Probability(core::Timestamp now) const; //!< Binary logarithm of the admissionProbability; over 0: some in hand
    [[nodiscard]] double admissionProbability(core::Timestamp now) const; //!< Chance that a request may be sent, 0 to 1
    [[nodiscard]] double perSecond(core::Timestamp now) const;            //!< What holds now
    [[nodiscard]] double lastLimit() const;                               //!< What the instance said last
    [[nodiscard]] core::Timestamp lastLimitAt() const;                    //!< When
    [[nodiscard]] double          sentHere() const;                       //!< Requests of this node since it is limited
    [[nodiscard]] double          sentByAll() const;    //!< Requests of all nodes, as far as they told
    [[nodiscard]] core::Timestamp limitedSince() const; //!< It is limited

private:
    void count(double requests, core::Timestamp now);

    core::Timestamp m_since;           //!< It is limited
    double          m_word{unlimited}; //!< What the instance said last
    core::Timestamp m_wordAt{};        //!< When
    double          m_low{unlimited};  //!< Something lower that it said a moment ago
    core::Timestamp m_lowUntil{};      //!< Which holds until then
    SharedRate      m_rate;            //!< How open the instance is
    double          m_sentHere{0};     //!< Requests
    double          m_sentByAll{0};    //!< Requests
};

} // namespace sailpath::balance
