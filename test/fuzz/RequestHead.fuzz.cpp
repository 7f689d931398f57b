#include <sailpath/adapters/http/RequestHead.hpp>

#include <cstdint>
#include <cstdlib>

////////////////////////////////////////////////////////////
/// \brief A head that is taken has one host, one framing, and no control characters
////////////////////////////////////////////////////////////
extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size)
{
    using namespace sailpath::adapters::http;
    const auto        parsed = parseRequestHead({reinterpret_cast<const char*>(data), size});
    const auto* const head = std::get_if<RequestHead>(&parsed);
    if (!head)
        return 0;
    for (const Header& header : head->headers)
    {
        if (header.name.find_first_of(" \t\r\n:") != std::string::npos ||
            header.value.find_first_of("\r\n") != std::string::npos)
            std::abort();
    }
    const bool length = !head->header("Content-Length").empty();
    const bool chunked = !head->header("Transfer-Encoding").empty();
    if ((length && chunked) || (head->method == "GET" && head->framing != BodyFraming::None))
        std::abort();
    return 0;
}
