#include <stairspur/cli/NodeSettingsReader.h>

#include <stairspur/cli/Flags.h>
#include <stairspur/cli/SettingParsers.h>
#include <stairspur/core/Error.h>
#include <stairspur/log/Log.h>

namespace stairspur::cli {

using namespace std::chrono_literals;

static constexpr auto MaxStoreCallsPerSecond = std::uint32_t{1'000};
static constexpr auto MaxSubsetSize = std::uint32_t{4'096};
static constexpr auto MaxConnections = std::uint32_t{1'000'000};
static constexpr auto MaxDecisionSample = std::uint32_t{1'000'000};
/// Proofs are up to 2.3 s old where a tenth of all datagrams is lost and a relay is paused.
static constexpr auto LeastRevocationBound = Duration{3s};
/// Proofs are about 1.2 s old, or 1.7 s if a relay does not respond.
static constexpr auto LeastConfigurationBound = Duration{2s};
static constexpr auto KiB = std::uint64_t{1} << 10U;
static constexpr auto MiB = std::uint64_t{1} << 20U;

static auto readPlace(node::NodeSettings &settings) -> void
{
    settings.failureDomain = parseNameSetting("failure-domain", FLAGS_failure_domain);
    settings.hostAddress = parseHostAddress("host-address", FLAGS_host_address);
    if (!FLAGS_region.empty())
        settings.region = parseNameSetting("region", FLAGS_region);
    if (!FLAGS_rack.empty())
        settings.rack = parseNameSetting("rack", FLAGS_rack);
}

static auto ensureDifferentPorts(const node::NodeSettings &settings) -> void
{
    const auto isSame = [](std::uint16_t a, std::uint16_t b) { return a != 0 && a == b; };
    if (isSame(settings.peerPort, settings.entryPort)
        || isSame(settings.peerPort, settings.adminPort)
        || isSame(settings.entryPort, settings.adminPort))
        throw SettingError("two of --peer-port, --entry-port and --admin-port are the same",
                           "give each a port of its own");
}

static auto readPorts(node::NodeSettings &settings) -> void
{
    settings.peerPort = parsePort("peer-port", FLAGS_peer_port);
    settings.entryPort = parsePort("entry-port", FLAGS_entry_port);
    settings.adminPort = parsePort("admin-port", FLAGS_admin_port);
    settings.adminAddress = parseListenAddress("admin-address", FLAGS_admin_address);
    ensureDifferentPorts(settings);
}

static auto readPeers(node::NodeSettings &settings) -> void
{
    settings.seeds = parseSeeds("seeds", FLAGS_seeds);
    if (!FLAGS_store.empty()) {
        const auto store = parseStoreUrl("store", FLAGS_store);
        settings.store = "http://" + store.address + ':' + std::to_string(store.port);
    }
    if (settings.seeds.empty() && settings.store.empty())
        throw SettingError("neither --seeds nor --store is set",
                           "give the store's address, or nodes to join through");
    settings.peerSecret = parseSecret("peer-secret", FLAGS_peer_secret);
    settings.tlsCertificate = FLAGS_tls_certificate;
    settings.tlsKey = FLAGS_tls_key;
    if (settings.tlsCertificate.empty() != settings.tlsKey.empty())
        throw SettingError("only one of --tls-certificate and --tls-key is set",
                           "set both, or neither");
}

static auto readTimes(node::NodeSettings &settings) -> void
{
    settings.protocolPeriod =
            parseDurationSetting("protocol-period", FLAGS_protocol_period, 50ms, 1min);
    settings.announcementTimeout =
            parseDurationSetting("announcement-timeout", FLAGS_announcement_timeout, 1s, 5min);
    settings.drainTimeout = parseDurationSetting("drain-timeout", FLAGS_drain_timeout, 0s, 1h);
    settings.storeTimeout = parseDurationSetting("store-timeout", FLAGS_store_timeout, 10ms, 1min);
    settings.revocationBound =
            parseDurationSetting("revocation-bound", FLAGS_revocation_bound, 0s, 1h);
    if (settings.revocationBound > 0s && settings.revocationBound < LeastRevocationBound)
        throw SettingError("--revocation-bound is shorter than proofs are old: "
                                   + FLAGS_revocation_bound,
                           "give 0s, or a value from 3s on");
    settings.configurationBound =
            parseDurationSetting("configuration-bound", FLAGS_configuration_bound, 0s, 1h);
    if (settings.configurationBound > 0s && settings.configurationBound < LeastConfigurationBound)
        throw SettingError("--configuration-bound is shorter than proofs are old: "
                                   + FLAGS_configuration_bound,
                           "give 0s, or a value from 2s on");
    settings.requestTimeout =
            parseDurationSetting("request-timeout", FLAGS_request_timeout, 100ms, 10min);
}

static auto readLimits(node::NodeSettings &settings) -> void
{
    settings.storeCallsPerSecond = parseCount(
            "store-calls-per-second", FLAGS_store_calls_per_second, 1, MaxStoreCallsPerSecond);
    settings.subsetSize = parseCount("subset-size", FLAGS_subset_size, 1, MaxSubsetSize);
    settings.maxConnections =
            parseCount("max-connections", FLAGS_max_connections, 1, MaxConnections);
    settings.maxHeaderBytes =
            static_cast<std::uint32_t>(parseSizeSetting("max-header", FLAGS_max_header, KiB, MiB));
    settings.maxBodyBytes = parseSizeSetting("max-body", FLAGS_max_body, 1, KiB * MiB);
}

static auto readLogs(node::NodeSettings &settings) -> void
{
    if (!fromName<log::Severity>(FLAGS_log_level))
        throw SettingError("--log-level is unknown: '" + FLAGS_log_level + "'",
                           "give debug, info, warning or error");
    settings.logLevel = FLAGS_log_level;
    settings.logDecisionSample =
            parseCount("log-decision-sample", FLAGS_log_decision_sample, 1, MaxDecisionSample);
}

auto readNodeSettings() -> node::NodeSettings
{
    auto settings = node::NodeSettings();
    readPlace(settings);
    readPorts(settings);
    readPeers(settings);
    readTimes(settings);
    readLimits(settings);
    readLogs(settings);
    return settings;
}

} // namespace stairspur::cli
