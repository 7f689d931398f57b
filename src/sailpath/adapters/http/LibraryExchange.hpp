#pragma once

#include <httplib.h>

namespace sailpath::adapters::http::priv
{
////////////////////////////////////////////////////////////
/// \brief Opens the library's exchange over a stream of ours
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
    /// \return Whether both went through; `error` says what did not
    ////////////////////////////////////////////////////////////
    [[nodiscard]] bool run(httplib::Stream& stream, httplib::Request& request, httplib::Response& response,
                           httplib::Error& error)
    {
        return process_request(stream, request, response, false, error);
    }
};

} // namespace sailpath::adapters::http::priv
