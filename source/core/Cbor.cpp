#include <stairspur/core/Cbor.h>

#include <stairspur/core/Error.h>

namespace stairspur {

auto toCbor(const nlohmann::json &value) -> std::string
{
    auto bytes = std::string();
    nlohmann::json::to_cbor(value, bytes);
    return bytes;
}

auto fromCbor(std::string_view bytes) -> nlohmann::json
{
    auto value = nlohmann::json::from_cbor(bytes, true, false);
    if (value.is_discarded())
        throw InputError("the bytes are not one whole CBOR item",
                         "check that both ends run the same protocol version of stairspur");
    return value;
}

} // namespace stairspur
