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
/// \brief What a call brought
////////////////////////////////////////////////////////////
struct CallAnswer
{
    unsigned    status{0}; //!< 0 when there was no whole answer in time
    std::string body;      //!< Whole
};

////////////////////////////////////////////////////////////
/// \brief Calls one HTTP service from an event loop, one call at a time, over a kept connection
////////////////////////////////////////////////////////////
class HttpCaller
{
public:
    using Answered = std::function<void(CallAnswer)>;

    HttpCaller(asio::io_context& context, settings::Endpoint service);
    ~HttpCaller();
    HttpCaller(const HttpCaller&) = delete;
    HttpCaller& operator=(const HttpCaller&) = delete;

    ////////////////////////////////////////////////////////////
    /// \brief Call; the answer comes later, once
    ///
    /// \param target  Path and query
    /// \param longest Time until it is given up and the connection closed
    ////////////////////////////////////////////////////////////
    void get(std::string_view target, core::Duration longest, Answered answered);

    void post(std::string_view target, std::string_view body, core::Duration longest, Answered answered); //!< JSON body

    void giveUp(); //!< The call under way is not answered any more, and its connection ends

    [[nodiscard]] std::uint64_t calls() const; //!< Calls made since the start

private:
    struct Impl;
    std::shared_ptr<Impl> m_impl; //!< Connection; handlers under way keep it
};

} // namespace sailpath::adapters::calls
