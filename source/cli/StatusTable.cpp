#include <stairspur/cli/StatusTable.h>

#include <algorithm>
#include <array>
#include <cstdio>

namespace stairspur::cli {

/// A screen holds so many; the rest is counted.
static constexpr auto MaxDomainRows = std::size_t{30};
static constexpr auto MaxCutOffLines = std::size_t{10};
static constexpr auto MaxNodeRows = std::size_t{10};

using Row = std::vector<std::string>;

auto renderColumns(const std::vector<Row> &rows) -> std::string
{
    auto widths = std::vector<std::size_t>();
    for (const auto &row : rows) {
        widths.resize(std::max(widths.size(), row.size()));
        for (std::size_t index = 0; index < row.size(); ++index)
            widths[index] = std::max(widths[index], row[index].size());
    }
    auto text = std::string();
    for (const auto &row : rows) {
        for (std::size_t index = 0; index + 1 < row.size(); ++index)
            text += row[index] + std::string(widths[index] - row[index].size() + 2, ' ');
        text += (row.empty() ? "" : row.back()) + '\n';
    }
    return text;
}

auto describeAge(double seconds) -> std::string
{
    static constexpr auto ShortSeconds = 10.0;
    static constexpr auto LongSeconds = 600.0;
    static constexpr auto SecondsPerMinute = 60.0;
    auto buf = std::array<char, 32>{};
    if (seconds < ShortSeconds)
        std::snprintf(buf.data(), buf.size(), "%.1f s ago", seconds);
    else if (seconds < LongSeconds)
        std::snprintf(buf.data(), buf.size(), "%.0f s ago", seconds);
    else
        std::snprintf(buf.data(), buf.size(), "%.0f min ago", seconds / SecondsPerMinute);
    return buf.data();
}

static auto describeHeard(const std::optional<double> &seconds) -> std::string
{
    return seconds ? describeAge(*seconds) : "not lately";
}

static auto describeVersions(const NodeSummary &node, const std::string &domain) -> std::string
{
    const auto versions = node.domains.find(domain);
    if (versions == node.domains.end())
        return "not heard";
    auto text = std::string();
    for (const auto &[version, nodes] : versions->second) {
        text += text.empty() ? "" : ", ";
        text += version == 0 ? "none" : std::to_string(version);
        text += " on " + std::to_string(nodes) + (nodes == 1 ? " node" : " nodes");
    }
    return text;
}

static auto domainRow(const NodeSummary &node, const std::string &domain,
                      const DomainMembers &members) -> Row
{
    const auto isAlone = domain == node.failureDomain && members.alive == 1
                         && members.suspect + members.dead == 0;
    return {domain,
            std::to_string(members.alive),
            std::to_string(members.suspect),
            std::to_string(members.dead),
            std::to_string(members.left),
            std::to_string(members.serving),
            std::to_string(members.draining),
            std::to_string(members.starting),
            isAlone ? "this node" : describeHeard(members.heardSecondsAgo),
            describeVersions(node, domain)};
}

/// The names of the failure domains, those that are cut off first.
static auto orderDomains(const NodeSummary &node) -> std::vector<std::string>
{
    auto names = std::vector<std::string>();
    for (const auto &[name, members] : node.members)
        names.push_back(name);
    std::ranges::stable_partition(names,
                                  [&](const auto &it) { return node.members.at(it).isCutOff; });
    return names;
}

static auto describeCutOff(const NodeSummary &node, const std::string &domain) -> std::string
{
    const auto &members = node.members.at(domain);
    const auto isOwn = domain == node.failureDomain;
    auto text = "CUT OFF: no " + std::string(isOwn ? "other " : "") + "node of "
                + (isOwn ? "this node's own failure domain " : "failure domain ") + domain
                + " is alive as far as this node knows (" + std::to_string(members.suspect)
                + " suspect, " + std::to_string(members.dead) + " dead); ";
    if (members.heardSecondsAgo)
        text += "last heard " + describeAge(*members.heardSecondsAgo);
    else
        text += "not heard by this node in the last 10 minutes";
    return text + '\n';
}

static auto describeRest(std::size_t all, std::size_t shown, const std::string &what) -> std::string
{
    if (all <= shown)
        return {};
    return "and " + std::to_string(all - shown) + " more " + what + "; GET /status lists all\n";
}

static auto renderDomains(const NodeSummary &node) -> std::string
{
    const auto names = orderDomains(node);
    auto rows = std::vector<Row>{{"FAILURE DOMAIN", "ALIVE", "SUSPECT", "DEAD", "LEFT", "SERVING",
                                  "DRAINING", "STARTING", "HEARD", "VERSIONS IN FORCE"}};
    auto cutOff = std::string();
    auto cutOffCount = std::size_t{0};
    for (const auto &it : names) {
        const auto &members = node.members.at(it);
        if (rows.size() <= MaxDomainRows)
            rows.push_back(domainRow(node, it, members));
        if (members.isCutOff && ++cutOffCount <= MaxCutOffLines)
            cutOff += describeCutOff(node, it);
    }
    return renderColumns(rows) + describeRest(names.size(), MaxDomainRows, "failure domains")
           + cutOff + describeRest(cutOffCount, MaxCutOffLines, "failure domains that are cut off");
}

static auto renderJudged(const NodeSummary &node) -> std::string
{
    if (node.judged.empty())
        return {};
    auto rows = std::vector<Row>{
            {"NODE NOT ALIVE", "SERVICE", "FAILURE DOMAIN", "IS", "SINCE", "HEARD"}};
    for (const auto &it : node.judged) {
        if (rows.size() > MaxNodeRows)
            break;
        rows.push_back({it.node, it.service.empty() ? "-" : it.service, it.failureDomain,
                        it.liveness, it.judgedSecondsAgo ? describeAge(*it.judgedSecondsAgo) : "-",
                        describeHeard(it.heardSecondsAgo)});
    }
    return '\n' + renderColumns(rows) + describeRest(node.judged.size(), MaxNodeRows, "nodes");
}

static auto renderQuarantine(const NodeSummary &node) -> std::string
{
    if (node.quarantine.empty())
        return {};
    auto rows = std::vector<Row>{{"REQUEST THAT ENDS SERVERS", "IS", "CRASHES", "RUNS AGAIN"}};
    for (const auto &it : node.quarantine) {
        if (rows.size() > MaxNodeRows)
            break;
        const auto seconds = static_cast<std::uint64_t>(it.retryAfterSeconds);
        rows.push_back({it.request, it.standing, std::to_string(it.crashes),
                        seconds > 0 ? "in " + std::to_string(seconds) + " s" : "alone"});
    }
    return '\n' + renderColumns(rows)
           + describeRest(node.quarantine.size(), MaxNodeRows, "requests");
}

auto renderStatusTable(const NodeSummary &node) -> std::string
{
    return renderDomains(node) + renderJudged(node) + renderQuarantine(node);
}

} // namespace stairspur::cli
