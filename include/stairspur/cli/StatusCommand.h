#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>

#include <stairspur/cli/AdminClient.h>
#include <stairspur/cli/CommandReport.h>

namespace stairspur::cli {

/// The configuration that the store has as the newest.
struct HeadSummary
{
    std::uint64_t version = 0; ///< 0: none was ever applied.
    std::string hash;
    std::string applyId;
};

/// Reads the head from the store. Throws Error when the store gives no answer.
using HeadReader = std::function<HeadSummary()>;

/// What a node's `GET /status` says about configurations.
struct NodeSummary
{
    std::string node;
    std::string failureDomain;
    std::string state;
    std::uint64_t version = 0;
    std::string hash;
    /// Nodes by version in force, by failure domain, as far as this node knows.
    std::map<std::string, std::map<std::uint64_t, std::uint64_t>> domains;
};

/// Reads the body of `GET /status`. Throws InputError when it is no such answer.
auto readNodeSummary(const std::string &body) -> NodeSummary;

/// What the store and a node say, each with what was wrong if it gave no answer; `readHead` may be empty when no store
/// is set. The exit code is Unreachable when one that was asked gave none.
auto status(const HeadReader &readHead, const AdminSender &send) -> CommandReport;

/// The same with the store and the node that the flags name.
auto runStatus() -> CommandReport;

} // namespace stairspur::cli
