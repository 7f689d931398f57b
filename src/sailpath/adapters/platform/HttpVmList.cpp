#include <sailpath/adapters/platform/HttpVmList.hpp>

#include <httplib.h>
#include <nlohmann/json.hpp>

namespace sailpath::adapters::platform
{
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
        if (!item.is_object() || item.value("state", std::string("live")) != "live")
            continue;
        membership::Member member;
        member.name = item.value("name", std::string());
        member.address = item.value("peerAddress", std::string());
        member.dataCentre = item.value("dataCentre", std::string());
        if (!member.name.empty() && settings::parseEndpoint(member.address))
            members.push_back(std::move(member));
    }
    return members;
}

} // namespace sailpath::adapters::platform
