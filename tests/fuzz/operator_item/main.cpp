// The item of the platform's store that holds the operators' configuration.
#include <cstddef>
#include <cstdint>
#include <string>

#include "../../../platform/OperatorItem.h"
#include <stairspur/core/Error.h>

using namespace stairspur;

extern "C" auto LLVMFuzzerTestOneInput(const std::uint8_t *data, std::size_t size) -> int
{
    try {
        platform::readOperatorItem({reinterpret_cast<const char *>(data), size}, {});
    } catch (const InputError &) {
        return 0; // The one error that whoever reads the item expects.
    }
    return 0;
}
