#include <platform/JsonTranslator.hpp>

#include <sailpath/adapters/links/Codec.hpp>
#include <sailpath/fleet/QuarantineKeeper.hpp>

#include <cstdint>
#include <cstdlib>

////////////////////////////////////////////////////////////
/// \brief Readers of what anybody may write to the store, and of what nodes tell each other: none crashes
////////////////////////////////////////////////////////////
extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size)
{
    using namespace sailpath;
    const std::string              text(reinterpret_cast<const char*>(data), size);
    const platform::JsonTranslator translator;
    core::Findings                 ofEntry;
    core::Findings                 ofDeployment;
    const bool                     entry = translator.announcement("servers/i-1", text, ofEntry).has_value();
    const bool                     deployment = translator.deployment(text, ofDeployment).has_value();
    if (entry != ofEntry.empty() || deployment != ofDeployment.empty())
        std::abort();
    fleet::QuarantineKeeper keeper("node", 1);
    const std::string       key = "sailpath/quarantine/" + core::ContentHash{}.text();
    (void)keeper.changed({key, text, 1, false}, {core::Timestamp{}, 0});
    (void)keeper.changed({"sailpath/quarantine/" + text, text, 1, false}, {core::Timestamp{}, 0});
    (void)adapters::links::decode(text);
    return 0;
}
