#pragma once

#include <nlohmann/json.hpp>

#include <stairspur/config/Configuration.h>

/// Encodes the parts of a configuration in CBOR. Durations are whole microseconds, sizes are bytes. nlohmann/json finds
/// these functions by their names. Reading throws nlohmann::json::exception on a missing key or a wrong type.
namespace stairspur::config {

auto to_json(nlohmann::json &json, const FailureDomain &domain) -> void;
auto from_json(const nlohmann::json &json, FailureDomain &domain) -> void;
auto to_json(nlohmann::json &json, const ServiceLimits &limits) -> void;
auto from_json(const nlohmann::json &json, ServiceLimits &limits) -> void;
auto to_json(nlohmann::json &json, const Service &service) -> void;
auto from_json(const nlohmann::json &json, Service &service) -> void;
auto to_json(nlohmann::json &json, const CallPath &path) -> void;
auto from_json(const nlohmann::json &json, CallPath &path) -> void;
auto to_json(nlohmann::json &json, const RequestQuota &quota) -> void;
auto from_json(const nlohmann::json &json, RequestQuota &quota) -> void;
auto to_json(nlohmann::json &json, const Caller &caller) -> void;
auto from_json(const nlohmann::json &json, Caller &caller) -> void;
auto to_json(nlohmann::json &json, const RetryLimits &retry) -> void;
auto from_json(const nlohmann::json &json, RetryLimits &retry) -> void;
auto to_json(nlohmann::json &json, const RouteTarget &target) -> void;
auto from_json(const nlohmann::json &json, RouteTarget &target) -> void;
auto to_json(nlohmann::json &json, const Route &route) -> void;
auto from_json(const nlohmann::json &json, Route &route) -> void;
auto to_json(nlohmann::json &json, const IngressLimits &limits) -> void;
auto from_json(const nlohmann::json &json, IngressLimits &limits) -> void;

} // namespace stairspur::config
