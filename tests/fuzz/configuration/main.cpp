// Fuzzes the reader of the operators' TOML file, and the conversion of a usable file to sections and back.
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
    // Every configuration without findings must keep its sections after they are joined and split again.
    const auto sections = config::splitIntoSections(checked.configuration);
    if (config::splitIntoSections(config::joinSections(sections)) != sections)
        __builtin_trap();
    return 0;
}
