#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace stairspur::cli {

/// How many members of a failure domain are what, as the asked node sees it.
struct DomainMembers
{
    std::uint64_t alive = 0;
    std::uint64_t suspect = 0;
    std::uint64_t dead = 0;
    std::uint64_t left = 0;
    std::uint64_t serving = 0;
    std::uint64_t draining = 0;
    std::uint64_t starting = 0;
    bool isCutOff = false; ///< None besides the asked node is alive, though some should be.
    std::optional<double> heardSecondsAgo; ///< Straight from a node of the domain.
};

/// One node that is suspect or dead.
struct JudgedNode
{
    std::string node;
    std::string service;
    std::string failureDomain;
    std::string liveness;
    std::optional<double> judgedSecondsAgo;
    std::optional<double> heardSecondsAgo;
};

/// A request of the node's service under which backend servers have ended.
struct QuarantinedRequest
{
    std::string request;
    std::string standing;
    std::uint64_t crashes = 0;
    double retryAfterSeconds = 0;
};

/// What a node's `GET /status` says.
struct NodeSummary
{
    std::string node;
    std::string failureDomain;
    std::string state;
    std::uint64_t version = 0;
    std::string hash;
    /// Nodes by version in force, by failure domain, as far as this node knows.
    std::map<std::string, std::map<std::uint64_t, std::uint64_t>> domains;
    /// By failure domain.
    std::map<std::string, DomainMembers> members;
    std::vector<JudgedNode> judged; ///< Without those that left by their own word.
    std::vector<QuarantinedRequest> quarantine;
};

/// Reads the body of `GET /status`. Throws InputError when it is no such answer.
auto readNodeSummary(const std::string &body) -> NodeSummary;

} // namespace stairspur::cli
