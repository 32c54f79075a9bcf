// The operators' TOML file, and what a usable one becomes: sections and back.
#include <cstddef>
#include <cstdint>
#include <string_view>

#include <stairspur/config/ConfigurationReader.h>
#include <stairspur/config/Sections.h>

using namespace stairspur;

extern "C" auto LLVMFuzzerTestOneInput(const std::uint8_t *data, std::size_t size) -> int
{
    const auto checked =
            config::checkConfiguration({reinterpret_cast<const char *>(data), size}, "fuzz.toml");
    if (!checked.isUsable())
        return 0;
    // A file without findings has a place in the store.
    const auto sections = config::splitIntoSections(checked.configuration);
    if (config::splitIntoSections(config::joinSections(sections)) != sections)
        __builtin_trap();
    return 0;
}
