#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include <nlohmann/json.hpp>

#include <stairspur/core/Hash.h>
#include <stairspur/core/Hex.h>

/// What a stand-in backend server answers, and how a caller proves that the answer is whole and its own.
namespace stairspur::standins {

/// Hash of the whole answer's body, set by the backend server, checked by the caller.
inline constexpr auto bodyHashHeader = "Standin-Body-Hash";
/// Microseconds of work in the answer, deeper services included: what remains of a call's latency is its way.
inline constexpr auto workHeader = "Standin-Work-Us";

/// The body of a request.
struct RequestBody
{
    std::string nonce;
    std::string key; ///< From which deeper calls derive their Idempotency-Keys; may be empty.
    std::vector<std::string> path; ///< Deeper services: each calls the next.
};

/// Reads a JSON object, or takes the first bytes of anything else as the nonce.
inline auto readRequestBody(const std::string &text) -> RequestBody
{
    static constexpr auto maxRawNonce = 64;
    const auto json = nlohmann::json::parse(text, nullptr, false);
    if (json.is_object() && json.contains("nonce") && json["nonce"].is_string())
        return {.nonce = json["nonce"].get<std::string>(),
                .key = json.value("key", ""),
                .path = json.value("path", std::vector<std::string>())};
    return {.nonce = text.substr(0, maxRawNonce), .key = {}, .path = {}};
}

/// Writes `body` as JSON, at least `bytes` long.
inline auto writeRequestBody(const RequestBody &body, std::size_t bytes) -> std::string
{
    auto json = nlohmann::json{
            {"nonce", body.nonce}, {"key", body.key}, {"path", body.path}, {"pad", ""}};
    const auto size = json.dump().size();
    if (size < bytes)
        json["pad"] = std::string(bytes - size, '.');
    return json.dump();
}

/// The body of an answer. Its padding depends on the nonce, so that a piece of another answer shows.
inline auto makeAnswerBody(const std::string &nonce, const std::string &service, std::uint64_t runs,
                           std::size_t bytes) -> std::string
{
    auto json = nlohmann::json{{"nonce", nonce}, {"service", service}, {"runs", runs}, {"pad", ""}};
    const auto size = json.dump().size();
    std::string pad;
    while (size + pad.size() < bytes)
        pad += toHex(hash64(nonce, pad.size()));
    if (size + pad.size() > bytes && size < bytes)
        pad.resize(bytes - size);
    json["pad"] = pad;
    return json.dump();
}

/// Whether `body` is the whole answer of `service` to the request that bore `nonce`.
inline auto isAnswerTo(const std::string &nonce, const std::string &service,
                       const std::string &body, std::string_view hash) -> bool
{
    if (toHex(hash64(body)) != hash)
        return false;
    const auto json = nlohmann::json::parse(body, nullptr, false);
    if (!json.is_object() || !json.contains("runs"))
        return false;
    return json.value("nonce", "") == nonce && json.value("service", "") == service;
}

} // namespace stairspur::standins
