#pragma once

#include <cstdint>
#include <stdexcept>
#include <string>

#include <nlohmann/json.hpp>

#include <stairspur/core/Time.h>

#include "Base64.h"

/// What the store stand-in keeps, and its JSON.
namespace stairspur::standin {

using Json = nlohmann::json;

/// What the gateway answers in place of a result: an HTTP status and a gRPC code.
class StoreError : public std::runtime_error
{
public:
    StoreError(unsigned httpStatus, int grpcCode, const std::string &message)
        : std::runtime_error(message)
        , status(httpStatus)
        , code(grpcCode)
    {}

    unsigned status;
    int code;
};

inline constexpr auto InvalidArgument = 3;
inline constexpr auto NotFound = 5;
inline constexpr auto OutOfRange = 11;

/// A key, its value and the revisions that etcd keeps with it.
struct Pair
{
    std::string key;
    std::string value;
    std::int64_t createRevision = 0;
    std::int64_t modRevision = 0;
    std::int64_t version = 0;
    std::int64_t lease = 0;
};

/// A change of one key.
struct Event
{
    bool isDelete = false;
    Pair pair;
};

struct Lease
{
    std::int64_t seconds = 0;
    TimePoint expiry;
};

/// The gateway takes numbers as strings and as numbers, and both spellings of a name.
inline auto field(const Json &body, const char *name, const char *otherName = nullptr) -> Json
{
    if (body.contains(name))
        return body.at(name);
    if (otherName != nullptr && body.contains(otherName))
        return body.at(otherName);
    return nullptr;
}

inline auto number(const Json &value) -> std::int64_t
{
    if (value.is_null())
        return 0;
    return value.is_string() ? std::stoll(value.get<std::string>()) : value.get<std::int64_t>();
}

inline auto bytes(const Json &value) -> std::string
{
    return value.is_null() ? std::string() : decodeBase64(value.get<std::string>());
}

/// proto3 JSON leaves out what has its default value.
inline auto pairJson(const Pair &pair) -> Json
{
    auto json = Json{{"key", encodeBase64(pair.key)},
                     {"mod_revision", std::to_string(pair.modRevision)}};
    if (pair.version != 0) {
        json["create_revision"] = std::to_string(pair.createRevision);
        json["version"] = std::to_string(pair.version);
    }
    if (!pair.value.empty())
        json["value"] = encodeBase64(pair.value);
    if (pair.lease != 0)
        json["lease"] = std::to_string(pair.lease);
    return json;
}

inline auto eventJson(const Event &event) -> Json
{
    auto json = Json{{"kv", pairJson(event.pair)}};
    if (event.isDelete)
        json["type"] = "DELETE";
    return json;
}

} // namespace stairspur::standin
