#include <stairspur/cli/StatusCommand.h>

#include <stairspur/cli/NodeSummary.h>
#include <stairspur/cli/StatusTable.h>
#include <stairspur/cli/StoreCommands.h>
#include <stairspur/core/Error.h>

namespace stairspur::cli {

static constexpr auto StatusOk = std::uint32_t{200};

/// What one of those asked has answered, or why not.
template <typename Answer>
struct Answered
{
    std::optional<Answer> answer;
    std::string problem;
};

template <typename Answer, typename Question>
static auto ask(const Question &question) -> Answered<Answer>
{
    try {
        return {question(), {}};
    } catch (const Error &error) {
        return {std::nullopt, error.what()};
    }
}

static auto askNode(const AdminSender &send) -> NodeSummary
{
    auto request = transport::HttpRequest();
    request.method = "GET";
    request.target = "/status";
    const auto response = send(std::move(request));
    if (response.status != StatusOk)
        throw InputError("the node answered " + std::to_string(response.status),
                         "check that --admin names the admin port of a node");
    return readNodeSummary(response.body);
}

static auto describeVersion(std::uint64_t version, const std::string &hash) -> std::string
{
    if (version == 0)
        return "no configuration";
    return "version " + std::to_string(version) + ", hash " + hash;
}

static auto addStore(CommandReport &report, const HeadReader &readHead) -> void
{
    if (!readHead) {
        report.text += "store: not asked; set --store to see what was applied last\n";
        return;
    }
    const auto head = ask<HeadSummary>(readHead);
    if (!head.answer) {
        report.exitCode = ExitCode::Unreachable;
        report.text += "store: no answer: " + head.problem + '\n';
        report.json["store"] = {{"error", head.problem}};
        return;
    }
    const auto &it = *head.answer;
    report.text += "store: " + describeVersion(it.version, it.hash) + '\n';
    report.json["store"] = {{"version", it.version}, {"hash", it.hash}, {"applyId", it.applyId}};
}

/// Nodes by version in force, and members by liveness, for scripts.
static auto addDomains(CommandReport &report, const NodeSummary &node) -> void
{
    auto &domains = report.json["domains"] = nlohmann::json::object();
    for (const auto &[domain, versions] : node.domains) {
        for (const auto &[version, nodes] : versions)
            domains[domain][std::to_string(version)] = nodes;
    }
    auto &members = report.json["members"] = nlohmann::json::object();
    for (const auto &[domain, it] : node.members) {
        members[domain] = {
                {"alive", it.alive},       {"suspect", it.suspect}, {"dead", it.dead},
                {"left", it.left},         {"serving", it.serving}, {"draining", it.draining},
                {"starting", it.starting}, {"cutOff", it.isCutOff}, {"heardSecondsAgo", nullptr}};
        if (it.heardSecondsAgo)
            members[domain]["heardSecondsAgo"] = *it.heardSecondsAgo;
    }
}

static auto addNode(CommandReport &report, const AdminSender &send) -> void
{
    const auto node = ask<NodeSummary>([&] { return askNode(send); });
    if (!node.answer) {
        report.exitCode = ExitCode::Unreachable;
        report.text += "node: no answer: " + node.problem + '\n';
        report.json["node"] = {{"error", node.problem}};
        return;
    }
    const auto &it = *node.answer;
    report.text += "node " + it.node + " in " + it.failureDomain + ", " + it.state + ": "
                   + describeVersion(it.version, it.hash) + '\n';
    report.json["node"] = {{"node", it.node},
                           {"failureDomain", it.failureDomain},
                           {"state", it.state},
                           {"version", it.version},
                           {"hash", it.hash}};
    addDomains(report, it);
    report.text += '\n' + renderStatusTable(it);
}

auto status(const HeadReader &readHead, const AdminSender &send) -> CommandReport
{
    auto report = CommandReport{ExitCode::Ok, {}, nlohmann::json::object()};
    addStore(report, readHead);
    addNode(report, send);
    return report;
}

auto runStatus() -> CommandReport
{
    return status(makeHeadReaderFromFlags(), makeAdminSenderFromFlags());
}

} // namespace stairspur::cli
