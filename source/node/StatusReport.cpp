#include "StatusReport.h"

#include <nlohmann/json.hpp>

namespace stairspur::node {

static auto configurationReport(const NodeSettings &settings, const NodeBoard &board)
        -> nlohmann::json
{
    const auto configuration = *board.configuration.read();
    const auto version = configuration ? configuration->version : 0;
    return {
            {"version", version},
            {"hash", configuration ? configuration->hash : std::string()},
            {"domains", {{settings.failureDomain, {{std::to_string(version), 1}}}}},
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

auto statusReport(const NodeSettings &settings, const NodeBoard &board) -> std::string
{
    auto members = nlohmann::json::array();
    const auto view = board.members.read();
    for (const auto &it : view->members)
        members.push_back(memberReport(it));
    const auto report = nlohmann::json{
            {"node", settings.nodeId()},
            {"failureDomain", settings.failureDomain},
            {"state", nameOf(*board.stage.read())},
            {"configuration", configurationReport(settings, board)},
            {"backend", backendReport(*board.backend.read())},
            {"members", std::move(members)},
    };
    return report.dump(2) + "\n";
}

} // namespace stairspur::node
