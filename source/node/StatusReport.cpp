#include "StatusReport.h"

#include <map>

#include <nlohmann/json.hpp>

namespace stairspur::node {

/// How many nodes of each failure domain have which version in force, this node included.
static auto versionsByDomain(const NodeSettings &settings, const NodeBoard &board,
                             const HeardVersions &heard, std::uint64_t ownVersion) -> nlohmann::json
{
    auto counts = std::map<std::string, std::map<std::string, std::uint64_t>>();
    counts[settings.failureDomain][std::to_string(ownVersion)] = 1;
    const auto view = board.members.read();
    for (const auto &it : view->members) {
        const auto found = heard.find(it.node);
        if (it.node != settings.nodeId() && found != heard.end())
            ++counts[it.domain][std::to_string(found->second)];
    }
    return counts;
}

static auto configurationReport(const NodeSettings &settings, const NodeBoard &board,
                                const HeardVersions &heard) -> nlohmann::json
{
    const auto index = *board.configuration.read();
    const auto version = index ? index->configuration()->version : 0;
    return {
            {"version", version},
            {"hash", index ? index->configuration()->hash : std::string()},
            {"domains", versionsByDomain(settings, board, heard, version)},
    };
}

static auto backendReport(const LocalBackend &backend) -> nlohmann::json
{
    return {
            {"service", backend.service},
            {"port", backend.port},
            {"slots", backend.slots},
            {"state", nameOf(backend.state)},
    };
}

static auto memberReport(const membership::Member &member) -> nlohmann::json
{
    return {
            {"node", member.node},
            {"service", member.service},
            {"failureDomain", member.domain},
            {"incarnation", member.incarnation},
            {"state", nameOf(member.state)},
            {"liveness", nameOf(member.liveness)},
            {"slots", member.slots},
    };
}

auto statusReport(const NodeSettings &settings, const NodeBoard &board, const HeardVersions &heard)
        -> std::string
{
    auto members = nlohmann::json::array();
    const auto view = board.members.read();
    for (const auto &it : view->members)
        members.push_back(memberReport(it));
    const auto report = nlohmann::json{
            {"node", settings.nodeId()},
            {"failureDomain", settings.failureDomain},
            {"state", nameOf(*board.stage.read())},
            {"configuration", configurationReport(settings, board, heard)},
            {"backend", backendReport(*board.backend.read())},
            {"members", std::move(members)},
    };
    return report.dump(2, ' ', false, nlohmann::json::error_handler_t::replace) + "\n";
}

} // namespace stairspur::node
