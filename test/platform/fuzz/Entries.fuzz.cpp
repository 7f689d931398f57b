#include <platform/JsonTranslator.hpp>

#include <sailpath/adapters/links/Codec.hpp>
#include <sailpath/fleet/QuarantineKeeper.hpp>

#include <cstdint>
#include <cstdlib>

////////////////////////////////////////////////////////////
/// \brief Feeds arbitrary input to the parsers of store entries and of messages between nodes
///
/// No parser may crash. The parsers of entries and deployments must report findings exactly when they return nothing.
////////////////////////////////////////////////////////////
extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size)
{
    using namespace sailpath;
    const std::string              text(reinterpret_cast<const char*>(data), size);
    const platform::JsonTranslator translator;
    core::Findings                 entryFindings;
    core::Findings                 deploymentFindings;
    const bool                     entry = translator.announcement("servers/i-1", text, entryFindings).has_value();
    const bool                     deployment = translator.deployment(text, deploymentFindings).has_value();
    if (entry != entryFindings.empty() || deployment != deploymentFindings.empty())
        std::abort();
    fleet::QuarantineKeeper keeper("node", 1);
    const std::string       key = "sailpath/quarantine/" + core::ContentHash{}.text();
    (void)keeper.applyEntry({key, text, 1, false}, {core::Timestamp{}, 0});
    (void)keeper.applyEntry({"sailpath/quarantine/" + text, text, 1, false}, {core::Timestamp{}, 0});
    (void)adapters::links::decode(text);
    return 0;
}
