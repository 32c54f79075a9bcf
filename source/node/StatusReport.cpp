#include "StatusReport.h"

#include <map>

#include <nlohmann/json.hpp>

#include "DomainSummary.h"

namespace stairspur::node {

/// Returns the number of nodes of each failure domain by configuration version in force, including this node.
static auto versionsByDomain(const NodeSettings &settings, const NodeBoard &board,
                             const ReportedVersionMap &reported, std::uint64_t ownVersion)
        -> nlohmann::json
{
    auto counts = std::map<std::string, std::map<std::string, std::uint64_t>>();
    counts[settings.failureDomain][std::to_string(ownVersion)] = 1;
    const auto view = board.members.read();
    for (const auto &it : view->members) {
        const auto found = reported.find(it.node);
        if (it.node != settings.nodeId() && found != reported.end())
            ++counts[it.domain][std::to_string(found->second.version)];
    }
    return counts;
}

static auto toSeconds(Duration duration) -> double
{
    return std::chrono::duration<double>(duration).count();
}

/// Returns null if `duration` is empty.
static auto toSeconds(const std::optional<Duration> &duration) -> nlohmann::json
{
    return duration ? nlohmann::json(toSeconds(*duration)) : nlohmann::json();
}

static auto configurationReport(const NodeSettings &settings, const NodeBoard &board,
                                const ReportedVersionMap &reported, TimePoint now) -> nlohmann::json
{
    const auto index = *board.configuration.read();
    const auto version = index ? index->configuration()->version : 0;
    return {
            {"version", version},
            {"hash", index ? index->configuration()->hash : std::string()},
            {"domains", versionsByDomain(settings, board, reported, version)},
            {"provenSecondsAgo", toSeconds(board.configurationProof.read()->age(now))},
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

static auto domainReport(const std::string &name, const DomainSummary &summary) -> nlohmann::json
{
    return {
            {"failureDomain", name},        {"alive", summary.alive},
            {"suspect", summary.suspect},   {"dead", summary.dead},
            {"left", summary.left},         {"serving", summary.serving},
            {"draining", summary.draining}, {"starting", summary.starting},
            {"cutOff", summary.isCutOff},   {"heardSecondsAgo", toSeconds(summary.lastSeenAge)},
    };
}

static auto domainReports(const membership::MembershipView &view,
                          const ReportedVersionMap &reported, const NodeId &self) -> nlohmann::json
{
    auto reports = nlohmann::json::array();
    for (const auto &[name, summary] : summarizeDomains(view, reported, self))
        reports.push_back(domainReport(name, summary));
    return reports;
}

/// Returns the time since the latest report of the node itself; null if there is no recent one, as for most nodes of other
/// failure domains, whose records arrive through relays.
static auto secondsSinceReport(const ReportedVersionMap &reported, const NodeId &node)
        -> nlohmann::json
{
    const auto it = reported.find(node);
    return it == reported.end() ? nlohmann::json() : nlohmann::json(toSeconds(it->second.age));
}

/// Returns how long the node has been suspect or dead; null while it is alive.
static auto secondsSinceJudgement(const LivenessHistory &history, const NodeId &node, TimePoint now)
        -> nlohmann::json
{
    const auto since = history.since(node);
    if (!since)
        return {};
    return toSeconds(std::chrono::duration_cast<Duration>(now - *since));
}

static auto memberReport(const membership::Member &member, const ReportedVersionMap &reported,
                         const LivenessHistory &history, TimePoint now) -> nlohmann::json
{
    return {
            {"node", member.node},
            {"service", member.service},
            {"failureDomain", member.domain},
            {"incarnation", member.incarnation},
            {"state", nameOf(member.state)},
            {"liveness", nameOf(member.liveness)},
            {"slots", member.slots},
            {"heardSecondsAgo", secondsSinceReport(reported, member.node)},
            {"judgedSecondsAgo", secondsSinceJudgement(history, member.node, now)},
    };
}

/// Returns the suspected and the refused requests of this node's service.
static auto quarantineReport(const NodeBoard &board) -> nlohmann::json
{
    auto reports = nlohmann::json::array();
    const auto entries = board.quarantine.read();
    for (const auto &it : *entries)
        reports.push_back({{"request", it.request.name()},
                           {"standing", nameOf(it.decision.status)},
                           {"crashes", it.crashes},
                           {"retryAfterSeconds", toSeconds(it.decision.retryAfter)}});
    return reports;
}

auto statusReport(const NodeSettings &settings, const NodeBoard &board,
                  const ReportedVersionMap &reported, const LivenessHistory &history, TimePoint now)
        -> std::string
{
    auto members = nlohmann::json::array();
    const auto view = board.members.read();
    for (const auto &it : view->members)
        members.push_back(memberReport(it, reported, history, now));
    const auto report = nlohmann::json{
            {"node", settings.nodeId()},
            {"failureDomain", settings.failureDomain},
            {"state", nameOf(*board.stage.read())},
            {"configuration", configurationReport(settings, board, reported, now)},
            {"backend", backendReport(*board.backend.read())},
            {"domains", domainReports(*view, reported, settings.nodeId())},
            {"quarantine", quarantineReport(board)},
            {"members", std::move(members)},
    };
    return report.dump(2, ' ', false, nlohmann::json::error_handler_t::replace) + "\n";
}

} // namespace stairspur::node
