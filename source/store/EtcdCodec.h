#pragma once

#include <string>
#include <string_view>

#include <nlohmann/json.hpp>

#include <stairspur/store/StoreTypes.h>

/// Encodes requests and decodes answers of the etcd v3 JSON gateway. Bytes are in base64, 64-bit numbers are strings,
/// and fields with default values are omitted.
namespace stairspur::store::etcd {

auto encode(const RangeRequest &request) -> std::string;
auto encodePut(const std::string &key, const std::string &value, LeaseId lease) -> std::string;
auto encode(const Transaction &transaction) -> std::string;
auto encodeGrant(Duration timeToLive) -> std::string;
auto encodeLease(LeaseId lease) -> std::string;
auto encode(const WatchRequest &request) -> std::string;

/// Returns the JSON object in `text`. Throws InputError if `text` is not a JSON object.
auto parse(std::string_view text) -> nlohmann::json;

/// The decode functions throw InputError or an exception of nlohmann::json if the answer does not have the gateway's
/// form.
auto decodeRange(const nlohmann::json &answer) -> RangeAnswer;
auto decodeWrite(const nlohmann::json &answer) -> WriteAnswer;
/// Returns whether all comparisons of a transaction held.
auto didSucceed(const nlohmann::json &answer) -> bool;
auto decodeLease(const nlohmann::json &answer) -> LeaseAnswer;

/// One decoded line of a watch.
struct WatchLine
{
    WatchMessage message;
    bool isCancelled = false; ///< Whether the store has ended the watch.
    bool isCompacted = false; ///< Whether the history at the start revision was compacted.
};
auto decodeWatchLine(const nlohmann::json &line) -> WatchLine;

} // namespace stairspur::store::etcd
