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

// Older versions ignore elements that they don't know at the end of a message, and send none of these.

static constexpr auto OldRequestSize = std::size_t{6};
static constexpr auto OldGrantSize = std::size_t{6};

static auto toJson(const TokenRequest &it) -> Json
{
    return Json::array({Kind::Request, it.number, it.caller, it.wanted, it.returned,
                        it.hasChangedGrantor, it.epoch, it.isLeaving,
                        it.history ? Json(*it.history) : Json()});
}

static auto toJson(const TokenGrant &it) -> Json
{
    return Json::array({Kind::Grant, it.number, it.caller, it.granted, it.retryAfter.count(),
                        it.isGrantor, it.epoch, it.needsHistory});
}

static auto readCount(const Json &json) -> std::uint32_t
{
    const auto count = readUnsigned(json);
    if (count > MaxTokens)
        throw InputError("a quota message has more tokens than the maximum", Remedy);
    return static_cast<std::uint32_t>(count);
}

static auto readHistory(const Json &json) -> std::optional<GrantWindow::History>
{
    if (json.is_null())
        return std::nullopt;
    if (json.size() != GrantWindow::HistoryParts)
        throw InputError("a quota message has a history of another length", Remedy);
    auto history = GrantWindow::History();
    std::ranges::transform(json, history.begin(), readCount);
    return history;
}

static auto readRequest(const Json &json) -> TokenRequest
{
    auto request = TokenRequest{readUnsigned(json.at(1)), json.at(2), readCount(json.at(3)),
                                readCount(json.at(4)), json.at(5)};
    if (json.size() == OldRequestSize)
        return request;
    request.epoch = readUnsigned(json.at(6));
    request.isLeaving = json.at(7);
    request.history = readHistory(json.at(8));
    return request;
}

static auto readGrant(const Json &json) -> TokenGrant
{
    const auto retryAfter = Duration(readSigned(json.at(4)));
    auto grant = TokenGrant{readUnsigned(json.at(1)), json.at(2), readCount(json.at(3)),
                            std::clamp(retryAfter, Duration::zero(), MaxRetryAfter), json.at(5)};
    if (json.size() == OldGrantSize)
        return grant;
    grant.epoch = readUnsigned(json.at(6));
    grant.needsHistory = json.at(7);
    return grant;
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
