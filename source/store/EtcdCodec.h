#pragma once

#include <string>
#include <string_view>

#include <nlohmann/json.hpp>

#include <stairspur/store/StoreTypes.h>

/// Requests and answers of the etcd v3 JSON gateway: bytes in base64, 64-bit numbers as strings, defaults left out.
namespace stairspur::store::etcd {

auto encode(const RangeRequest &request) -> std::string;
auto encodePut(const std::string &key, const std::string &value, LeaseId lease) -> std::string;
auto encode(const Transaction &transaction) -> std::string;
auto encodeGrant(Duration timeToLive) -> std::string;
auto encodeLease(LeaseId lease) -> std::string;
auto encode(const WatchRequest &request) -> std::string;

/// The JSON object in `text`. Throws InputError for anything else.
auto parse(std::string_view text) -> nlohmann::json;

/// These throw InputError, or nlohmann's exceptions, when the answer is not of the gateway's form.
auto decodeRange(const nlohmann::json &answer) -> RangeAnswer;
auto decodeWrite(const nlohmann::json &answer) -> WriteAnswer;
/// Whether the comparisons of a transaction held.
auto didSucceed(const nlohmann::json &answer) -> bool;
auto decodeLease(const nlohmann::json &answer) -> LeaseAnswer;

/// One line of a watch. `isCancelled` says that the store has ended it; `isCompacted`, that it began too far back.
struct WatchLine
{
    WatchMessage message;
    bool isCancelled = false;
    bool isCompacted = false;
};
auto decodeWatchLine(const nlohmann::json &line) -> WatchLine;

} // namespace stairspur::store::etcd
