#include <sailpath/config/WorkspaceParser.hpp>

#include <cstdint>
#include <cstdlib>

////////////////////////////////////////////////////////////
/// \brief A declaration that is taken reads the same after it was written
////////////////////////////////////////////////////////////
extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size)
{
    using namespace sailpath::config;
    const ParsedWorkspace parsed = parseWorkspace({reinterpret_cast<const char*>(data), size}, "f");
    if (!parsed.workspace)
        return 0;
    const ParsedWorkspace again = parseWorkspace(formatWorkspace(*parsed.workspace), "f");
    if (!again.workspace || !(*again.workspace == *parsed.workspace))
        std::abort();
    return 0;
}
