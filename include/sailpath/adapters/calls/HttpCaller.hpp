#pragma once

#include <sailpath/adapters/settings/Endpoint.hpp>
#include <sailpath/core/Time.hpp>
#include <sailpath/http/Head.hpp>

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

namespace asio
{
class io_context;
}

namespace sailpath::adapters::calls
{
////////////////////////////////////////////////////////////
/// \brief Response of the called service
////////////////////////////////////////////////////////////
struct CallAnswer
{
    unsigned    status{0}; //!< HTTP status; 0 when the call failed or no complete response arrived in time
    std::string body;      //!< Complete body; empty when the call failed
};

////////////////////////////////////////////////////////////
/// \brief Calls one HTTP service from an event loop, one call at a time, over a persistent connection
////////////////////////////////////////////////////////////
class HttpCaller
{
public:
    using ResponseCallback = std::function<void(CallAnswer)>;

    HttpCaller(asio::io_context& context, settings::Endpoint service);
    ~HttpCaller();
    HttpCaller(const HttpCaller&) = delete;
    HttpCaller& operator=(const HttpCaller&) = delete;

    ////////////////////////////////////////////////////////////
    /// \brief Start a GET request; the callback is invoked once, when the response is complete or the call has failed
    ///
    /// \param target      Path and query
    /// \param idleTimeout Longest wait without a received byte before the call fails and the connection is closed
    /// \param onResponse  Receives the response; status 0 reports a failure
    ////////////////////////////////////////////////////////////
    void get(std::string_view target, core::Duration idleTimeout, ResponseCallback onResponse);

    void post(std::string_view target, std::string_view body, core::Duration idleTimeout,
              ResponseCallback onResponse); //!< Start a POST request with a JSON body

    void cancel(); //!< Close the connection; the callback of a call in progress is not invoked

    [[nodiscard]] std::uint64_t calls() const; //!< Calls started since construction

private:
    struct Impl;
    std::shared_ptr<Impl> m_impl; //!< Connection state; shared with pending asynchronous handlers
};

} // namespace sailpath::adapters::calls
