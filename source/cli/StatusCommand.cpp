#include <stairspur/cli/StatusCommand.h>

#include <charconv>

#include <stairspur/core/Error.h>

namespace stairspur::cli {

static constexpr auto StatusOk = std::uint32_t{200};

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

static auto readDomains(const nlohmann::json &domains, NodeSummary &summary) -> void
{
    for (const auto &[domain, versions] : domains.items()) {
        for (const auto &[version, nodes] : versions.items())
            summary.domains[domain][parseVersion(version)] = nodes.get<std::uint64_t>();
    }
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
        readDomains(configuration.at("domains"), summary);
        return summary;
    } catch (const nlohmann::json::exception &) {
        throw InputError("the node's status cannot be read",
                         "check that --admin names the admin port of a node of this version");
    }
}

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

static auto addDomains(CommandReport &report, const NodeSummary &node) -> void
{
    auto &json = report.json["domains"] = nlohmann::json::object();
    for (const auto &[domain, versions] : node.domains) {
        report.text += "failure domain " + domain + ':';
        for (const auto &[version, nodes] : versions) {
            report.text += " version " + std::to_string(version) + " on " + std::to_string(nodes)
                           + (nodes == 1 ? " node" : " nodes");
            json[domain][std::to_string(version)] = nodes;
        }
        report.text += '\n';
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
}

auto status(const HeadReader &readHead, const AdminSender &send) -> CommandReport
{
    auto report = CommandReport{ExitCode::Ok, {}, nlohmann::json::object()};
    addStore(report, readHead);
    addNode(report, send);
    return report;
}

// FIXME: Read the head from the store once the module distribution offers it.
auto runStatus() -> CommandReport
{
    return status({}, makeAdminSenderFromFlags());
}

} // namespace stairspur::cli
