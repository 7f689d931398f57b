#include "Translation.hpp"

#include <algorithm>

namespace sailpath::adapters::peers::priv
{
namespace
{
constexpr unsigned    mostClaims = 64;  // A peer that sends more is cut short
constexpr unsigned    mostReports = 64; // The same for reports
constexpr std::size_t longestName = 255;

////////////////////////////////////////////////////////////
/// \brief Take over a text, cut to a sane length, without control characters
////////////////////////////////////////////////////////////
std::string readText(capnp::Text::Reader text)
{
    std::string result(text.begin(), std::min(text.size(), longestName));
    std::erase_if(result, [](unsigned char c) { return c < 0x20; });
    return result;
}

////////////////////////////////////////////////////////////
void writeMember(const membership::Member& member, rpc::Member::Builder into)
{
    into.setName(member.name);
    into.setAddress(member.address);
    into.setDataCentre(member.dataCentre);
    into.setIncarnation(member.incarnation);
    into.setStatus(static_cast<std::uint8_t>(member.status));
}

////////////////////////////////////////////////////////////
membership::Member readMember(rpc::Member::Reader from)
{
    constexpr auto     last = static_cast<std::uint8_t>(membership::MemberStatus::Dead);
    membership::Member member;
    member.name = readText(from.getName());
    member.address = readText(from.getAddress());
    member.dataCentre = readText(from.getDataCentre());
    member.incarnation = from.getIncarnation();
    member.status = static_cast<membership::MemberStatus>(std::min(from.getStatus(), last));
    return member;
}

} // namespace

////////////////////////////////////////////////////////////
void write(const node::Digest& digest, rpc::Digest::Builder into)
{
    writeMember(digest.from, into.initFrom());
    into.setRevision(digest.revision);
    auto     claims = into.initClaims(static_cast<unsigned>(digest.claims.size()));
    unsigned index = 0;
    for (const membership::Member& claim : digest.claims)
        writeMember(claim, claims[index++]);
    auto reports = into.initReports(static_cast<unsigned>(digest.reports.size()));
    index = 0;
    for (const node::ServerReport& report : digest.reports)
    {
        auto item = reports[index++];
        item.setWorkspace(report.workspace);
        item.setService(report.service);
        item.setServer(report.server);
        item.setInFlight(report.load.inFlight);
        item.setDraining(report.draining);
        item.setAgeMs(report.ageMs);
    }
}

////////////////////////////////////////////////////////////
node::Digest readDigest(rpc::Digest::Reader from)
{
    node::Digest digest;
    digest.from = readMember(from.getFrom());
    digest.revision = from.getRevision();
    const auto claims = from.getClaims();
    for (unsigned i = 0; i < std::min(claims.size(), mostClaims); ++i)
        digest.claims.push_back(readMember(claims[i]));
    const auto reports = from.getReports();
    for (unsigned i = 0; i < std::min(reports.size(), mostReports); ++i)
    {
        const auto         item = reports[i];
        node::ServerReport report;
        report.workspace = readText(item.getWorkspace());
        report.service = readText(item.getService());
        report.server = readText(item.getServer());
        report.load.inFlight = item.getInFlight();
        report.draining = item.getDraining();
        report.ageMs = item.getAgeMs();
        digest.reports.push_back(std::move(report));
    }
    return digest;
}

////////////////////////////////////////////////////////////
void write(const state::Document& document, rpc::Document::Builder into)
{
    into.setWorkspace(document.workspace);
    into.setText(document.text);
    into.setRevision(document.revision);
    into.setDeleted(document.deleted);
}

////////////////////////////////////////////////////////////
state::Document readDocument(rpc::Document::Reader from)
{
    state::Document document;
    document.workspace = readText(from.getWorkspace());
    document.text.assign(from.getText().begin(), from.getText().size());
    document.revision = from.getRevision();
    document.deleted = from.getDeleted();
    return document;
}

} // namespace sailpath::adapters::peers::priv
