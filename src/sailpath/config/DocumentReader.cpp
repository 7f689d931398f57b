#include "DocumentReader.hpp"

#include <algorithm>
#include <cctype>
#include <cmath>

namespace sailpath::config::priv
{
namespace
{
constexpr std::size_t maxNameLength = 63; // Limit of a DNS label

////////////////////////////////////////////////////////////
bool isValidName(std::string_view text)
{
    const auto allowed = [](unsigned char c) { return std::islower(c) != 0 || std::isdigit(c) != 0 || c == '-'; };
    return !text.empty() && text.size() <= maxNameLength && std::all_of(text.begin(), text.end(), allowed);
}

////////////////////////////////////////////////////////////
std::string formatNumber(double value)
{
    return nlohmann::json(value == std::floor(value) ? nlohmann::json(static_cast<long long>(value))
                                                     : nlohmann::json(value))
        .dump();
}

} // namespace

////////////////////////////////////////////////////////////
DocumentReader::DocumentReader(const nlohmann::json& object, std::string place, core::Findings& findings) :
m_object(object),
m_place(std::move(place)),
m_findings(findings)
{
    if (!object.is_object())
        m_findings.add(m_place, "expected an object");
}

////////////////////////////////////////////////////////////
void DocumentReader::allowOnly(std::initializer_list<std::string_view> members)
{
    if (!m_object.is_object())
        return;
    for (const auto& item : m_object.items())
    {
        if (std::find(members.begin(), members.end(), item.key()) == members.end())
            m_findings.add(m_place + "/" + item.key(), "unknown member");
    }
}

////////////////////////////////////////////////////////////
std::string DocumentReader::name(const char* member)
{
    const nlohmann::json* value = find(member);
    if (!value)
    {
        addFinding(member, "missing; expected a name");
        return {};
    }
    if (!value->is_string() || !isValidName(value->get_ref<const std::string&>()))
    {
        addFinding(member, "expected a name of lower-case letters, digits and hyphens, at most 63");
        return {};
    }
    return value->get<std::string>();
}

////////////////////////////////////////////////////////////
std::string DocumentReader::text(const char* member, std::string fallback)
{
    const nlohmann::json* value = find(member);
    if (!value)
        return fallback;
    if (value->is_string())
        return value->get<std::string>();
    addFinding(member, "expected a text");
    return fallback;
}

////////////////////////////////////////////////////////////
double DocumentReader::number(const char* member, double fallback, Bounds bounds)
{
    const nlohmann::json* value = find(member);
    if (!value)
        return fallback;
    if (value->is_number() && value->get<double>() >= bounds.min && value->get<double>() <= bounds.max)
        return value->get<double>();
    addFinding(member, "expected a number from " + formatNumber(bounds.min) + " to " + formatNumber(bounds.max));
    return fallback;
}

////////////////////////////////////////////////////////////
unsigned DocumentReader::integer(const char* member, unsigned fallback, Bounds bounds)
{
    const double value = number(member, fallback, bounds);
    if (value != std::floor(value))
        addFinding(member, "expected a whole number");
    return static_cast<unsigned>(value);
}

////////////////////////////////////////////////////////////
bool DocumentReader::boolean(const char* member, bool fallback)
{
    const nlohmann::json* value = find(member);
    if (!value)
        return fallback;
    if (value->is_boolean())
        return value->get<bool>();
    addFinding(member, "expected true or false");
    return fallback;
}

////////////////////////////////////////////////////////////
void DocumentReader::each(const char*                                                           member,
                          const std::function<void(const nlohmann::json&, const std::string&)>& visit)
{
    const nlohmann::json* value = find(member);
    if (!value)
        return;
    if (!value->is_array())
    {
        addFinding(member, "expected a list");
        return;
    }
    std::size_t index = 0;
    for (const nlohmann::json& element : *value)
        visit(element, m_place + "/" + member + "/" + std::to_string(index++));
}

////////////////////////////////////////////////////////////
void DocumentReader::nested(const char* member, const std::function<void(DocumentReader&)>& visit)
{
    const nlohmann::json* value = find(member);
    if (!value)
        return;
    DocumentReader reader(*value, m_place + "/" + member, m_findings);
    visit(reader);
}

////////////////////////////////////////////////////////////
void DocumentReader::addFinding(const char* member, std::string message)
{
    m_findings.add(m_place + "/" + member, std::move(message));
}

////////////////////////////////////////////////////////////
const nlohmann::json* DocumentReader::find(const char* member) const
{
    if (!m_object.is_object())
        return nullptr;
    const auto found = m_object.find(member);
    return found == m_object.end() ? nullptr : &*found;
}

} // namespace sailpath::config::priv
