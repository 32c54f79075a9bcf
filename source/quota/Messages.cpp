#include <stairspur/quota/Messages.h>

#include <algorithm>

#include <stairspur/core/Cbor.h>
#include <stairspur/core/Error.h>

namespace stairspur::quota {

using Json = nlohmann::json;

/// Kind of a message; its first element.
enum class Kind : std::uint8_t {
    Request = 1,
    Grant = 2,
};

static constexpr auto Remedy = "run one protocol version of stairspur on all nodes";
/// Maximum wait that is accepted from a grantor, so that callers always receive a time at which a retry makes sense.
static constexpr auto MaxRetryAfter = Duration{60'000'000};

static auto toJson(const TokenRequest &it) -> Json
{
    return Json::array(
            {Kind::Request, it.number, it.caller, it.wanted, it.returned, it.hasChangedGrantor});
}

static auto toJson(const TokenGrant &it) -> Json
{
    return Json::array(
            {Kind::Grant, it.number, it.caller, it.granted, it.retryAfter.count(), it.isGrantor});
}

static auto readCount(const Json &json) -> std::uint32_t
{
    const auto count = readUnsigned(json);
    if (count > MaxTokens)
        throw InputError("a quota message has more tokens than the maximum", Remedy);
    return static_cast<std::uint32_t>(count);
}

static auto readRequest(const Json &json) -> TokenRequest
{
    return {readUnsigned(json.at(1)), json.at(2), readCount(json.at(3)), readCount(json.at(4)),
            json.at(5)};
}

static auto readGrant(const Json &json) -> TokenGrant
{
    const auto retryAfter = Duration(readSigned(json.at(4)));
    return {readUnsigned(json.at(1)), json.at(2), readCount(json.at(3)),
            std::clamp(retryAfter, Duration::zero(), MaxRetryAfter), json.at(5)};
}

auto writeMessage(const Message &message) -> std::string
{
    return std::visit([](const auto &it) { return toCbor(toJson(it)); }, message);
}

auto readMessage(std::string_view bytes) -> Message
{
    try {
        const auto json = fromCbor(bytes);
        switch (static_cast<Kind>(readCount(json.at(0)))) {
        case Kind::Request:
            return readRequest(json);
        case Kind::Grant:
            return readGrant(json);
        }
    } catch (const Json::exception &error) {
        throw InputError(std::string("a quota message cannot be read: ") + error.what(), Remedy);
    }
    throw InputError("a quota message has an unknown kind", Remedy);
}

} // namespace stairspur::quota
