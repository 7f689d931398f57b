#include <sailpath/adapters/platform/HttpVmList.hpp>

#include <httplib.h>
#include <nlohmann/json.hpp>

namespace sailpath::adapters::platform
{
namespace
{
////////////////////////////////////////////////////////////
/// \brief Text of a field; null when it is missing or of another type
////////////////////////////////////////////////////////////
std::optional<std::string> textOf(const nlohmann::json& object, const char* name)
{
    const auto found = object.find(name);
    return found != object.end() && found->is_string() ? std::optional(found->get<std::string>()) : std::nullopt;
}

} // namespace

////////////////////////////////////////////////////////////
HttpVmList::HttpVmList(settings::Endpoint endpoint, core::Duration timeout) :
m_endpoint(std::move(endpoint)),
m_timeout(timeout)
{
}

////////////////////////////////////////////////////////////
std::optional<std::vector<membership::Member>> HttpVmList::read()
{
    httplib::Client client(m_endpoint.address, m_endpoint.port);
    client.set_connection_timeout(m_timeout);
    client.set_read_timeout(m_timeout);
    const auto answer = client.Get("/vms");
    if (!answer || answer->status != 200)
        return std::nullopt;

    const auto list = nlohmann::json::parse(answer->body, nullptr, false);
    if (!list.is_array())
        return std::nullopt;
    std::vector<membership::Member> members;
    for (const auto& item : list)
    {
        // One odd element is passed over, and the others hold.
        if (!item.is_object() || (item.contains("state") && textOf(item, "state") != "live"))
            continue;
        membership::Member member;
        member.name = textOf(item, "name").value_or("");
        member.address = textOf(item, "peerAddress").value_or("");
        member.dataCentre = textOf(item, "dataCentre").value_or("");
        if (!member.name.empty() && settings::parseEndpoint(member.address))
            members.push_back(std::move(member));
    }
    return members;
}

} // namespace sailpath::adapters::platform
