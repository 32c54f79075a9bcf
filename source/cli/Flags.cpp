#include <stairspur/cli/Flags.h>

#include <algorithm>

#include <gflags/gflags.h>

#include <stairspur/cli/Command.h>

DEFINE_string(failure_domain, "",
              "failure domain of this host, as the configuration names it; needed");
DEFINE_string(host_address, "127.0.0.1",
              "IPv4 address at which other nodes and callers reach this host");
DEFINE_string(region, "", "region of the failure domain; empty: the domain is a region of its own");
DEFINE_string(rack, "",
              "rack or switch of this host; empty: taken from the first 24 bits of the address");
DEFINE_uint32(peer_port, 7100, "TCP and UDP port for other nodes; 0: any free one");
DEFINE_uint32(entry_port, 7101,
              "HTTP port for callers and for this host's backend server; 0: any free one");
DEFINE_uint32(admin_port, 7102, "HTTP port for operators and for announcements; 0: any free one");
DEFINE_string(admin_address, "127.0.0.1", "IP address on which the admin port listens");
DEFINE_string(
        seeds, "",
        "nodes to join through, such as 192.0.2.7:7100,192.0.2.8:7100; needed without a store");
DEFINE_string(store, "", "the platform's store, such as http://192.0.2.1:2379");
DEFINE_string(
        peer_secret, "",
        "secret that all nodes share, at least 16 characters; empty: links are not authenticated. "
        "Set it by its variable: other users of the host can read flags");
DEFINE_string(tls_certificate, "",
              "PEM file with the certificate chain of the entry port; empty: plain HTTP");
DEFINE_string(tls_key, "", "PEM file with the private key of the certificate");
DEFINE_string(protocol_period, "1s", "between two probes of the membership protocol");
DEFINE_string(announcement_timeout, "5s",
              "a backend server that announces nothing for so long has left");
DEFINE_string(drain_timeout, "30s", "running calls get so long to end when the node stops");
DEFINE_string(
        revocation_bound, "0s",
        "within this time of an apply that takes a caller's key away no host serves it any more, "
        "in "
        "touch or not: one that cannot prove its configuration to be that new serves no caller. "
        "0s: not promised; else from 3s");
DEFINE_string(
        configuration_bound, "5s",
        "within this time of an apply every node that is not cut off acts on it. A request that "
        "may have run is sent again only if the configuration was proven to be the newest at most "
        "this long before the request arrived. 0s: no proof is needed; else from 2s");
DEFINE_string(store_timeout, "2s", "for one attempt at a call to the store");
DEFINE_uint32(store_calls_per_second, 5, "calls to the store at most, all kinds together");
DEFINE_uint32(subset_size, 16, "upstreams of each service that this node keeps links to");
DEFINE_uint32(max_connections, 4096, "connections at most on the entry port");
DEFINE_string(max_header, "16KiB", "header fields of a request at most");
DEFINE_string(max_body, "8MiB", "body of a request or an answer at most");
DEFINE_string(request_timeout, "10s", "for a whole request to arrive");
DEFINE_string(log_level, "info", "least severity that is logged: debug, info, warning or error");
DEFINE_uint32(log_decision_sample, 1, "one routing decision in so many is logged");
DEFINE_string(admin, "127.0.0.1:7102", "admin address and port of the node to ask");
DEFINE_string(admin_timeout, "5s", "for the node's answer");
DEFINE_string(applied_by, "operator", "name of whoever applies, for people");
DEFINE_string(expect_version, "",
              "apply only if this version is in force; empty: whatever is in force");
DEFINE_string(minimum_version, "1",
              "least version to apply as, above what nodes have in force when a store was emptied");
DEFINE_bool(watch, false, "show the status anew each second until interrupted");
DEFINE_bool(json, false, "write the result as one JSON object");

namespace stairspur::cli {

static constexpr auto VariablePrefix = std::string_view("STAIRSPUR_");

/// gflags knows flags by their C++ names.
static auto libraryName(std::string_view name) -> std::string
{
    auto result = std::string(name);
    std::ranges::replace(result, '-', '_');
    return result;
}

static auto writtenName(std::string_view name) -> std::string
{
    auto result = std::string(name);
    std::ranges::replace(result, '_', '-');
    return result;
}

auto variableOf(std::string_view flag) -> std::string
{
    auto result = std::string(VariablePrefix);
    for (const auto it : libraryName(flag))
        result.push_back(it >= 'a' && it <= 'z' ? static_cast<char>(it - 'a' + 'A') : it);
    return result;
}

auto findFlag(std::string_view name) -> std::optional<FlagDescription>
{
    const auto written = writtenName(name);
    const auto isKnown = std::ranges::any_of(commandDescriptions(),
                                             [&](const auto &it) { return hasFlag(it, written); });
    auto info = gflags::CommandLineFlagInfo();
    if (!isKnown || !gflags::GetCommandLineFlagInfo(libraryName(name).c_str(), &info))
        return std::nullopt;
    return FlagDescription{written, info.default_value, info.description, info.type == "bool"};
}

auto setFlag(std::string_view name, const std::string &value) -> bool
{
    return !gflags::SetCommandLineOption(libraryName(name).c_str(), value.c_str()).empty();
}

} // namespace stairspur::cli
