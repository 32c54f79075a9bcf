#pragma once

#include <optional>
#include <string>
#include <string_view>

#include <gflags/gflags_declare.h>

/// The flags of all commands. gflags keeps their values, defaults and help; the command line and the environment are
/// read by CommandLine.
DECLARE_string(failure_domain);
DECLARE_string(host_address);
DECLARE_string(region);
DECLARE_string(rack);
DECLARE_uint32(peer_port);
DECLARE_uint32(entry_port);
DECLARE_uint32(admin_port);
DECLARE_string(admin_address);
DECLARE_string(seeds);
DECLARE_string(store);
DECLARE_string(peer_secret);
DECLARE_string(tls_certificate);
DECLARE_string(tls_key);
DECLARE_string(protocol_period);
DECLARE_string(announcement_timeout);
DECLARE_string(drain_timeout);
DECLARE_string(revocation_bound);
DECLARE_string(configuration_bound);
DECLARE_string(store_timeout);
DECLARE_uint32(store_calls_per_second);
DECLARE_uint32(subset_size);
DECLARE_uint32(max_connections);
DECLARE_string(max_header);
DECLARE_string(max_body);
DECLARE_string(request_timeout);
DECLARE_string(log_level);
DECLARE_uint32(log_decision_sample);
DECLARE_string(admin);
DECLARE_string(admin_timeout);
DECLARE_string(applied_by);
DECLARE_string(expect_version);
DECLARE_string(minimum_version);
DECLARE_bool(watch);
DECLARE_bool(json);

namespace stairspur::cli {

/// What is known of one flag.
struct FlagDescription
{
    std::string name; ///< As it is written: `peer-port`.
    std::string defaultValue;
    std::string help;
    bool isBoolean = false;
};

/// The environment variable of a flag: `STAIRSPUR_PEER_PORT`.
auto variableOf(std::string_view flag) -> std::string;

/// The flag of that name, with '-' or '_' between its words; nothing when no command has it.
auto findFlag(std::string_view name) -> std::optional<FlagDescription>;

/// Gives a flag its value. False when its type cannot hold `value`.
auto setFlag(std::string_view name, const std::string &value) -> bool;

} // namespace stairspur::cli
