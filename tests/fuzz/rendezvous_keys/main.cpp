// Keys and values below the rendezvous prefix, which anyone with access to the store may write.
#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

#include "../../../source/node/RendezvousKeys.h"

using namespace stairspur;

extern "C" auto LLVMFuzzerTestOneInput(const std::uint8_t *data, std::size_t size) -> int
{
    static constexpr auto Slots = 3U;
    const auto input = std::string_view(reinterpret_cast<const char *>(data), size);
    const auto split = std::min(input.find('\n'), input.size());
    auto pair = store::KeyValue();
    pair.key = "/keys/" + std::string(input.substr(0, split));
    pair.value = input.substr(split == input.size() ? split : split + 1);
    const auto keys = node::readRendezvousKeys({pair}, "/keys/north/", Slots);
    if (keys.hints.size() + keys.ignored != 1 || keys.holders.size() != Slots)
        __builtin_trap();
    return 0;
}
