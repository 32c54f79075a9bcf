#include <stairspur/cli/NodeSummary.h>

#include <charconv>

#include <nlohmann/json.hpp>

#include <stairspur/core/Cbor.h>
#include <stairspur/core/Error.h>

namespace stairspur::cli {

static auto parseVersion(const std::string &text) -> std::uint64_t
{
    auto version = std::uint64_t{0};
    const auto *end = text.data() + text.size();
    const auto [stop, ec] = std::from_chars(text.data(), end, version);
    if (ec != std::errc() || stop != end)
        throw InputError("the node's status names the version '" + text + "'",
                         "use a client of the node's version");
    return version;
}

static auto readVersions(const nlohmann::json &domains, NodeSummary &summary) -> void
{
    for (const auto &[domain, versions] : domains.items()) {
        for (const auto &[version, nodes] : versions.items())
            summary.domains[domain][parseVersion(version)] = readUnsigned(nodes);
    }
}

static auto readSeconds(const nlohmann::json &json, const char *key) -> std::optional<double>
{
    const auto &value = json.at(key);
    if (value.is_null())
        return std::nullopt;
    return value.get<double>();
}

static auto readDomain(const nlohmann::json &json) -> DomainMembers
{
    auto members = DomainMembers();
    json.at("alive").get_to(members.alive);
    json.at("suspect").get_to(members.suspect);
    json.at("dead").get_to(members.dead);
    json.at("left").get_to(members.left);
    json.at("serving").get_to(members.serving);
    json.at("draining").get_to(members.draining);
    json.at("starting").get_to(members.starting);
    json.at("cutOff").get_to(members.isCutOff);
    members.heardSecondsAgo = readSeconds(json, "heardSecondsAgo");
    return members;
}

static auto readJudged(const nlohmann::json &members, NodeSummary &summary) -> void
{
    for (const auto &it : members) {
        const auto liveness = it.at("liveness").get<std::string>();
        const auto hasLeft = liveness == "dead" && it.at("state") == "left";
        if (liveness == "alive" || hasLeft)
            continue;
        summary.judged.push_back({it.at("node"), it.at("service"), it.at("failureDomain"), liveness,
                                  readSeconds(it, "judgedSecondsAgo"),
                                  readSeconds(it, "heardSecondsAgo")});
    }
}

/// Nodes of earlier versions know of none.
static auto readQuarantine(const nlohmann::json &status, NodeSummary &summary) -> void
{
    if (!status.contains("quarantine"))
        return;
    for (const auto &it : status.at("quarantine"))
        summary.quarantine.push_back({it.at("request"), it.at("standing"), it.at("crashes"),
                                      it.at("retryAfterSeconds")});
}

auto readNodeSummary(const std::string &body) -> NodeSummary
{
    try {
        const auto json = nlohmann::json::parse(body);
        const auto &configuration = json.at("configuration");
        auto summary = NodeSummary();
        json.at("node").get_to(summary.node);
        json.at("failureDomain").get_to(summary.failureDomain);
        json.at("state").get_to(summary.state);
        configuration.at("version").get_to(summary.version);
        configuration.at("hash").get_to(summary.hash);
        readVersions(configuration.at("domains"), summary);
        for (const auto &it : json.at("domains"))
            summary.members.emplace(it.at("failureDomain"), readDomain(it));
        readJudged(json.at("members"), summary);
        readQuarantine(json, summary);
        return summary;
    } catch (const nlohmann::json::exception &) {
        throw InputError("the node's status cannot be read",
                         "check that --admin names the admin port of a node of this version");
    }
}

} // namespace stairspur::cli
