#include <sailpath/adapters/settings/Endpoint.hpp>

#include <arpa/inet.h>

#include <charconv>

namespace sailpath::adapters::settings
{
////////////////////////////////////////////////////////////
std::string Endpoint::text() const
{
    const bool v6 = address.find(':') != std::string::npos;
    return (v6 ? "[" + address + "]" : address) + ":" + std::to_string(port);
}

////////////////////////////////////////////////////////////
std::optional<Endpoint> parseEndpoint(std::string_view text)
{
    const auto colon = text.rfind(':');
    if (colon == std::string_view::npos)
        return std::nullopt;

    std::string_view host = text.substr(0, colon);
    if (host.size() > 2 && host.front() == '[' && host.back() == ']')
        host = host.substr(1, host.size() - 2);
    const std::string_view digits = text.substr(colon + 1);

    Endpoint endpoint{std::string(host), 0};
    const auto [end, error] = std::from_chars(digits.data(), digits.data() + digits.size(), endpoint.port);
    if (digits.empty() || error != std::errc{} || end != digits.data() + digits.size())
        return std::nullopt;

    in6_addr   buffer{};
    const bool valid = inet_pton(AF_INET, endpoint.address.c_str(), &buffer) == 1 ||
                       inet_pton(AF_INET6, endpoint.address.c_str(), &buffer) == 1;
    return valid ? std::optional(endpoint) : std::nullopt;
}

} // namespace sailpath::adapters::settings
