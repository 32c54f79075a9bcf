#include "EtcdCodec.h"

#include <chrono>

#include <stairspur/core/Cbor.h>
#include <stairspur/core/Error.h>

#include <stairspur/store/Base64.h>

namespace stairspur::store::etcd {

using Json = nlohmann::json;

static auto number(const Json &object, const char *name) -> std::int64_t
{
    const auto it = object.find(name);
    if (it == object.end())
        return 0;
    return it->is_string() ? std::stoll(it->get<std::string>()) : readSigned(*it);
}

static auto bytes(const Json &object, const char *name) -> std::string
{
    const auto it = object.find(name);
    return it == object.end() ? std::string() : fromBase64(it->get_ref<const std::string &>());
}

static auto revisionOf(const Json &answer) -> Revision
{
    const auto it = answer.find("header");
    return it == answer.end() ? 0 : number(*it, "revision");
}

static auto decodePair(const Json &json) -> KeyValue
{
    return {bytes(json, "key"),           bytes(json, "value"),    number(json, "create_revision"),
            number(json, "mod_revision"), number(json, "version"), number(json, "lease")};
}

auto encode(const RangeRequest &request) -> std::string
{
    auto json = Json{{"key", toBase64(request.key)}};
    if (!request.rangeEnd.empty())
        json["range_end"] = toBase64(request.rangeEnd);
    if (request.limit > 0)
        json["limit"] = std::to_string(request.limit);
    if (request.keysOnly)
        json["keys_only"] = true;
    if (request.mayBeStale)
        json["serializable"] = true;
    return json.dump();
}

static auto putJson(const std::string &key, const std::string &value, LeaseId lease) -> Json
{
    auto json = Json{{"key", toBase64(key)}, {"value", toBase64(value)}};
    if (lease != 0)
        json["lease"] = std::to_string(lease);
    return json;
}

auto encodePut(const std::string &key, const std::string &value, LeaseId lease) -> std::string
{
    return putJson(key, value, lease).dump();
}

static auto compareJson(const Compare &compare) -> Json
{
    auto json = Json{{"key", toBase64(compare.key)},
                     {"target", nameOf(compare.target)},
                     {"result", nameOf(compare.order)}};
    const auto number = std::to_string(compare.number);
    switch (compare.target) {
    case CompareTarget::Version:
        json["version"] = number;
        break;
    case CompareTarget::CreateRevision:
        json["create_revision"] = number;
        break;
    case CompareTarget::ModRevision:
        json["mod_revision"] = number;
        break;
    case CompareTarget::Value:
        json["value"] = toBase64(compare.value);
        break;
    }
    return json;
}

static auto operationJson(const Operation &operation) -> Json
{
    if (operation.isDelete)
        return {{"request_delete_range", {{"key", toBase64(operation.key)}}}};
    return {{"request_put", putJson(operation.key, operation.value, operation.lease)}};
}

auto encode(const Transaction &transaction) -> std::string
{
    auto compares = Json::array();
    for (const auto &it : transaction.compares)
        compares.push_back(compareJson(it));
    auto operations = Json::array();
    for (const auto &it : transaction.operations)
        operations.push_back(operationJson(it));
    return Json{{"compare", compares}, {"success", operations}}.dump();
}

auto encodeGrant(Duration timeToLive) -> std::string
{
    const auto seconds = std::chrono::ceil<std::chrono::seconds>(timeToLive).count();
    return Json{{"TTL", std::to_string(seconds)}}.dump();
}

auto encodeLease(LeaseId lease) -> std::string
{
    return Json{{"ID", std::to_string(lease)}}.dump();
}

auto encode(const WatchRequest &request) -> std::string
{
    auto create = Json{{"key", toBase64(request.key)}};
    if (!request.rangeEnd.empty())
        create["range_end"] = toBase64(request.rangeEnd);
    if (request.startRevision > 0)
        create["start_revision"] = std::to_string(request.startRevision);
    return Json{{"create_request", create}}.dump();
}

auto parse(std::string_view text) -> Json
{
    auto json = Json::parse(text, nullptr, false);
    if (!json.is_object())
        throw InputError("the store's answer is not a JSON object",
                         "check that the store offers the JSON gateway of etcd v3");
    return json;
}

auto decodeRange(const Json &answer) -> RangeAnswer
{
    auto result = RangeAnswer();
    result.revision = revisionOf(answer);
    result.hasMore = answer.value("more", false);
    for (const auto &it : answer.value("kvs", Json::array()))
        result.pairs.push_back(decodePair(it));
    return result;
}

auto decodeWrite(const Json &answer) -> WriteAnswer
{
    return {revisionOf(answer)};
}

auto didSucceed(const Json &answer) -> bool
{
    return answer.value("succeeded", false);
}

auto decodeLease(const Json &answer) -> LeaseAnswer
{
    // The gateway answers a keep-alive with a stream of one message, which the field `result` contains.
    const auto &lease = answer.contains("result") ? answer.at("result") : answer;
    return {number(lease, "ID"), std::chrono::seconds(number(lease, "TTL"))};
}

auto decodeWatchLine(const Json &line) -> WatchLine
{
    const auto &result = line.at("result");
    auto decoded = WatchLine();
    decoded.message.revision = revisionOf(result);
    decoded.isCancelled = result.value("canceled", false);
    decoded.isCompacted = number(result, "compact_revision") > 0;
    for (const auto &it : result.value("events", Json::array()))
        decoded.message.events.push_back(
                {it.value("type", std::string("PUT")) == "DELETE", decodePair(it.at("kv"))});
    return decoded;
}

} // namespace stairspur::store::etcd
