#pragma once

#include <chrono>
#include <cstdint>
#include <memory>
#include <string>

namespace sailpath::standins
{
////////////////////////////////////////////////////////////
/// \brief How a backend stand-in behaves; all of it may change while it runs
////////////////////////////////////////////////////////////
struct BackendBehaviour
{
    std::chrono::microseconds work{5000};        //!< Time that a request takes in its slot
    unsigned                  slots{3};          //!< Requests worked on at once
    unsigned                  waiting{64};       //!< Requests that may wait for a slot; more are shed
    bool                      reject{false};     //!< Fails at once
    bool                      drain{false};      //!< Says that it is leaving
    bool                      cutAnswer{false};  //!< Closes in the middle of the body
    bool                      dropAnswer{false}; //!< Closes without an answer after the work
    std::uint64_t             bodyBytes{0};      //!< Size of the answer's body; 0 for a short one
    bool                      chunked{false};    //!< Sends the body in chunks
    std::chrono::seconds      keepAlive{1};      //!< Idle connections are closed after this; fixed at the start
};

////////////////////////////////////////////////////////////
/// \brief A backend server with slots and load headers, which counts what it ran
///
/// Answers carry the request id and the path, so that a caller can tell its
/// own from others'. `POST /behaviour` changes how it behaves, `GET /load`
/// is the probe, `GET /count` gives executions.
////////////////////////////////////////////////////////////
class BackendStandIn
{
public:
    ////////////////////////////////////////////////////////////
    /// \brief Listen on 127.0.0.1
    ///
    /// \param name      Name in answers and logs
    /// \param port      Port; 0 lets the system choose
    /// \param behaviour How it behaves at first
    /// \param logFile   Event log; empty for none
    ////////////////////////////////////////////////////////////
    BackendStandIn(std::string name, std::uint16_t port, const BackendBehaviour& behaviour,
                   const std::string& logFile = {});

    ~BackendStandIn();
    BackendStandIn(const BackendStandIn&) = delete;
    BackendStandIn& operator=(const BackendStandIn&) = delete;

    [[nodiscard]] std::uint16_t port() const;                             //!< Port in use
    [[nodiscard]] std::uint64_t executions() const;                       //!< Requests run in all
    [[nodiscard]] std::uint64_t executions(const std::string& key) const; //!< Requests run with an `Operation` header
    [[nodiscard]] std::uint64_t cancelled() const;                        //!< Requests whose caller left while they ran
    [[nodiscard]] std::string   lastHeader(const std::string& name) const; //!< Header of the last request
    void                        behave(const BackendBehaviour& behaviour); //!< Change behaviour

private:
    struct Impl;
    std::unique_ptr<Impl> m_impl; //!< The library's server
};

} // namespace sailpath::standins
