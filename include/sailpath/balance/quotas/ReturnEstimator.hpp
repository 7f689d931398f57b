#pragma once

namespace sailpath::balance::quotas
{
////////////////////////////////////////////////////////////
/// \brief How likely it is that a request comes from a caller that was refused before
////////////////////////////////////////////////////////////
struct ReturnSign
{
    double probability{0}; //!< Probability that the caller was refused before, 0 to 1
    double confidence{0};  //!< How well the sign tells such callers from others, 0 to 1
};

////////////////////////////////////////////////////////////
/// \brief Estimates by Bayes' rule which requests of a route come from callers that were refused before
///
/// Load pattern: refused callers return, each on a new connection, and wait
/// differently long, so that the time that they state does not show them. Others
/// keep their connections for many requests.
///
/// How often a first try opens a connection is learned while nobody is refused.
/// What opens connections beyond that during refusals counts as returning. For
/// callers that open a connection for each request the sign has no confidence.
/// A request on a connection that is kept open is surely no return.
////////////////////////////////////////////////////////////
class ReturnEstimator
{
public:
    ////////////////////////////////////////////////////////////
    /// \brief Record a request and estimate whether its caller returns
    ///
    /// \param firstOnConnection Whether it is the first request on its connection
    /// \param calm              Whether nobody has been refused for so long that none returns
    ////////////////////////////////////////////////////////////
    [[nodiscard]] ReturnSign observe(bool firstOnConnection, bool calm);

    [[nodiscard]] double openingShare() const; //!< Share of first tries that open a connection, as learned

private:
    double m_opened{1};   //!< First tries that opened a connection, decayed; starts with one of each kind
    double m_kept{1};     //!< First tries on an open connection, decayed
    double m_newShare{0}; //!< Share of new connections in the latest requests while callers return
    bool   m_calm{true};  //!< Whether nobody returned at the last request
};

} // namespace sailpath::balance::quotas
