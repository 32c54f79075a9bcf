#include "SectionCodec.h"

namespace stairspur::config {

static auto readDuration(const nlohmann::json &json, const char *key) -> Duration
{
    return Duration(json.at(key).get<Duration::rep>());
}

auto to_json(nlohmann::json &json, const FailureDomain &domain) -> void
{
    json = {{"name", domain.name}, {"region", domain.region}};
}

auto from_json(const nlohmann::json &json, FailureDomain &domain) -> void
{
    json.at("name").get_to(domain.name);
    json.at("region").get_to(domain.region);
}

auto to_json(nlohmann::json &json, const ServiceLimits &limits) -> void
{
    json = {{"maxConcurrency", limits.maxConcurrency},
            {"maxQueue", limits.maxQueue},
            {"defaultTimeout", limits.defaultTimeout.count()},
            {"maxTimeout", limits.maxTimeout.count()},
            {"maxRequestBytes", limits.maxRequestBytes},
            {"maxAnswerBytes", limits.maxAnswerBytes}};
}

auto from_json(const nlohmann::json &json, ServiceLimits &limits) -> void
{
    json.at("maxConcurrency").get_to(limits.maxConcurrency);
    json.at("maxQueue").get_to(limits.maxQueue);
    limits.defaultTimeout = readDuration(json, "defaultTimeout");
    limits.maxTimeout = readDuration(json, "maxTimeout");
    json.at("maxRequestBytes").get_to(limits.maxRequestBytes);
    json.at("maxAnswerBytes").get_to(limits.maxAnswerBytes);
}

auto to_json(nlohmann::json &json, const Service &service) -> void
{
    json = {{"name", service.name},
            {"limits", service.limits},
            {"idempotent", service.isIdempotent},
            {"keyLifetime", service.keyLifetime.count()}};
}

auto from_json(const nlohmann::json &json, Service &service) -> void
{
    json.at("name").get_to(service.name);
    json.at("limits").get_to(service.limits);
    json.at("idempotent").get_to(service.isIdempotent);
    service.keyLifetime = readDuration(json, "keyLifetime");
}

auto to_json(nlohmann::json &json, const CallPath &path) -> void
{
    json = {{"name", path.name}, {"classes", path.classes}, {"services", path.services}};
}

auto from_json(const nlohmann::json &json, CallPath &path) -> void
{
    json.at("name").get_to(path.name);
    json.at("classes").get_to(path.classes);
    json.at("services").get_to(path.services);
}

auto to_json(nlohmann::json &json, const RequestQuota &quota) -> void
{
    json = {{"requestsPerSecond", quota.requestsPerSecond}, {"burst", quota.burst}};
}

auto from_json(const nlohmann::json &json, RequestQuota &quota) -> void
{
    json.at("requestsPerSecond").get_to(quota.requestsPerSecond);
    json.at("burst").get_to(quota.burst);
}

auto to_json(nlohmann::json &json, const Caller &caller) -> void
{
    json = {{"name", caller.name},
            {"keySha256", caller.keySha256},
            {"classes", caller.classes},
            {"homeDomain", caller.homeDomain}};
    // Unused keys are left out, so that the hashes of older files don't change.
    if (!caller.furtherKeySha256.empty())
        json["furtherKeySha256"] = caller.furtherKeySha256;
    if (caller.quota)
        json["quota"] = *caller.quota;
}

auto from_json(const nlohmann::json &json, Caller &caller) -> void
{
    json.at("name").get_to(caller.name);
    json.at("keySha256").get_to(caller.keySha256);
    json.at("classes").get_to(caller.classes);
    json.at("homeDomain").get_to(caller.homeDomain);
    if (const auto it = json.find("furtherKeySha256"); it != json.end())
        it->get_to(caller.furtherKeySha256);
    if (const auto it = json.find("quota"); it != json.end())
        caller.quota = it->get<RequestQuota>();
}

auto to_json(nlohmann::json &json, const RetryLimits &retry) -> void
{
    json = {{"extraAttempts", retry.extraAttempts},
            {"successShare", retry.successShare},
            {"bucketSize", retry.bucketSize}};
    // Unused keys are left out, so that the hashes of older files don't change.
    if (retry.requestShare > 0)
        json["requestShare"] = retry.requestShare;
    if (retry.fleetBucketSize > 0)
        json["fleetBucketSize"] = retry.fleetBucketSize;
    if (retry.window > Duration::zero())
        json["window"] = retry.window.count();
}

auto from_json(const nlohmann::json &json, RetryLimits &retry) -> void
{
    json.at("extraAttempts").get_to(retry.extraAttempts);
    json.at("successShare").get_to(retry.successShare);
    json.at("bucketSize").get_to(retry.bucketSize);
    retry.requestShare = json.value("requestShare", 0.0);
    retry.fleetBucketSize = json.value("fleetBucketSize", 0.0);
    retry.window = Duration(json.value("window", Duration::rep{0}));
}

auto to_json(nlohmann::json &json, const RouteTarget &target) -> void
{
    json = {{"service", target.service}, {"weight", target.weight}};
}

auto from_json(const nlohmann::json &json, RouteTarget &target) -> void
{
    json.at("service").get_to(target.service);
    json.at("weight").get_to(target.weight);
}

auto to_json(nlohmann::json &json, const Route &route) -> void
{
    json = {{"name", route.name},
            {"host", route.host},
            {"pathPrefix", route.pathPrefix},
            {"targets", route.targets},
            {"class", route.className},
            {"idempotent", route.isIdempotent},
            {"timeout", route.timeout.count()},
            {"latencyObjective", route.latencyObjective.count()},
            {"maxAttempts", route.maxAttempts}};
    if (route.callerClass > 0)
        json["callerClass"] = route.callerClass;
    if (!route.isPublic)
        json["public"] = false;
}

auto from_json(const nlohmann::json &json, Route &route) -> void
{
    json.at("name").get_to(route.name);
    json.at("host").get_to(route.host);
    json.at("pathPrefix").get_to(route.pathPrefix);
    json.at("targets").get_to(route.targets);
    json.at("class").get_to(route.className);
    json.at("idempotent").get_to(route.isIdempotent);
    route.timeout = readDuration(json, "timeout");
    route.latencyObjective = readDuration(json, "latencyObjective");
    json.at("maxAttempts").get_to(route.maxAttempts);
    route.callerClass = json.value("callerClass", 0U);
    route.isPublic = json.value("public", true);
}

auto to_json(nlohmann::json &json, const IngressLimits &limits) -> void
{
    json = {{"maxHeaderBytes", limits.maxHeaderBytes},
            {"maxBodyBytes", limits.maxBodyBytes},
            {"headerTimeout", limits.headerTimeout.count()},
            {"idleTimeout", limits.idleTimeout.count()}};
}

auto from_json(const nlohmann::json &json, IngressLimits &limits) -> void
{
    json.at("maxHeaderBytes").get_to(limits.maxHeaderBytes);
    json.at("maxBodyBytes").get_to(limits.maxBodyBytes);
    limits.headerTimeout = readDuration(json, "headerTimeout");
    limits.idleTimeout = readDuration(json, "idleTimeout");
}

} // namespace stairspur::config
