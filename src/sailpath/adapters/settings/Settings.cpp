#include <sailpath/adapters/settings/Settings.hpp>

#include <cassert>
#include <fstream>

namespace sailpath::adapters::settings
{
////////////////////////////////////////////////////////////
void Settings::set(std::string name, std::string value)
{
    m_values.insert_or_assign(std::move(name), std::move(value));
}

////////////////////////////////////////////////////////////
const std::string& Settings::text(std::string_view name) const
{
    const auto found = m_values.find(name);
    assert(found != m_values.end());
    return found->second;
}

////////////////////////////////////////////////////////////
std::uint64_t Settings::whole(std::string_view name) const
{
    return std::stoull(text(name));
}

////////////////////////////////////////////////////////////
double Settings::number(std::string_view name) const
{
    return std::stod(text(name));
}

////////////////////////////////////////////////////////////
core::Duration Settings::milliseconds(std::string_view name) const
{
    return std::chrono::milliseconds{whole(name)};
}

////////////////////////////////////////////////////////////
bool Settings::isOn(std::string_view name) const
{
    return text(name) == "true";
}

////////////////////////////////////////////////////////////
Endpoint Settings::endpoint(std::string_view name) const
{
    return parseEndpoint(text(name)).value_or(Endpoint{});
}

////////////////////////////////////////////////////////////
std::vector<Endpoint> Settings::endpoints(std::string_view name) const
{
    std::vector<Endpoint> all;
    std::string_view      rest = text(name);
    while (!rest.empty())
    {
        const auto comma = rest.find(',');
        if (const auto endpoint = parseEndpoint(rest.substr(0, comma)))
            all.push_back(*endpoint);
        rest = comma == std::string_view::npos ? std::string_view{} : rest.substr(comma + 1);
    }
    return all;
}

////////////////////////////////////////////////////////////
std::string Settings::secret(std::string_view name) const
{
    std::string   line;
    std::ifstream file(text(name));
    std::getline(file, line);
    return line;
}

} // namespace sailpath::adapters::settings
