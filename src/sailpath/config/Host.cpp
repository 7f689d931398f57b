#include <sailpath/config/Host.hpp>

namespace sailpath::config
{
////////////////////////////////////////////////////////////
std::optional<HostName> parseHost(std::string_view host)
{
    host = host.substr(0, host.find(':'));
    const auto firstDot = host.find('.');
    if (firstDot == std::string_view::npos || firstDot == 0)
        return std::nullopt;

    const std::string_view rest = host.substr(firstDot + 1);
    const std::string_view workspace = rest.substr(0, rest.find('.'));
    if (workspace.empty())
        return std::nullopt;
    return HostName{host.substr(0, firstDot), workspace};
}

} // namespace sailpath::config
