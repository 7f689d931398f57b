#include <sailpath/adapters/settings/Endpoint.hpp>
#include <sailpath/adapters/store/Base64.hpp>
#include <sailpath/config/Host.hpp>
#include <sailpath/documents/StoreKeys.hpp>
#include <sailpath/replay/Trace.hpp>
#include <sailpath/timeline/Event.hpp>

#include <cstdint>
#include <cstdlib>

////////////////////////////////////////////////////////////
/// \brief Small readers of outside texts: none crashes, and what is written is read again
////////////////////////////////////////////////////////////
extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size)
{
    using namespace sailpath;
    const std::string_view text(reinterpret_cast<const char*>(data), size);
    (void)adapters::settings::parseEndpoint(text);
    (void)config::parseHost(text);
    (void)timeline::parseEvent(text);
    (void)replay::readTrace(text, "f");
    (void)documents::decodeDocument(text);
    (void)adapters::store::decodeBase64(text);
    if (adapters::store::decodeBase64(adapters::store::encodeBase64(text)) != std::string(text))
        std::abort();
    return 0;
}
