#pragma once

#include <httplib.h>

namespace sailpath::adapters::http::priv
{
////////////////////////////////////////////////////////////
/// \brief Runs an exchange of the httplib client over a given stream
////////////////////////////////////////////////////////////
class LibraryExchange : public httplib::ClientImpl
{
public:
    LibraryExchange() :
    httplib::ClientImpl("sailpath")
    {
        set_url_encode(false);
        set_decompress(false);
    }

    ////////////////////////////////////////////////////////////
    /// \brief Write a request and read its answer
    ///
    /// \return Whether the request was written and its answer read completely; otherwise `error` holds the cause
    ////////////////////////////////////////////////////////////
    [[nodiscard]] bool run(httplib::Stream& stream, httplib::Request& request, httplib::Response& response,
                           httplib::Error& error)
    {
        return process_request(stream, request, response, false, error);
    }
};

} // namespace sailpath::adapters::http::priv
