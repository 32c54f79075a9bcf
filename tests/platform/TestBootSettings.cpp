#include <string>

#include <platform/BootSettings.h>
#include <stairspur/core/Error.h>

#include <criterion/criterion.h>

using namespace stairspur;
using namespace stairspur::platform;
using namespace std::chrono_literals;

static constexpr auto Whole = std::string_view(R"(node: "sidecar-north-1"
ip: "10.1.0.8"
zone: "north"
region: "lagos"
something_new: [1, 2]
listen:
  inbound: "10.1.0.8:8300"
  outbound: "10.1.0.8:8304"
  ready: "10.1.0.8:8302"
  control: "10.1.0.8:8306"
internal_ports: [7620, 7635]
limits: {memory_mb: 260, max_fds: 4100}
heartbeat_s: 1.5
bounds: ["grace_s=6", "retry_ratio=0.2", "retry_slack=49", "retry_window_s=10", "kept=true", "odd"]
app_addr: "10.1.0.8:8301"
service: "maps"
platform: {address: "10.200.1.7:8309", form: "kv"}
)");

static auto replaced(const std::string &from, const std::string &to) -> std::string
{
    auto text = std::string(Whole);
    const auto at = text.find(from);
    cr_assert(at != std::string::npos, "%s", from.c_str());
    return text.replace(at, from.size(), to);
}

Test(BootSettings, everyFieldIsRead)
{
    const auto boot = parseBootSettings(std::string(Whole));
    cr_assert_eq(boot.hostName, "sidecar-north-1");
    cr_assert_eq(boot.failureDomain, "north");
    cr_assert_eq(boot.region, "lagos");
    cr_assert(boot.entry == (Endpoint{"10.1.0.8", 8304}));
    cr_assert(boot.readiness == (Endpoint{"10.1.0.8", 8302}));
    cr_assert(boot.announcements == (Endpoint{"10.1.0.8", 8306}));
    cr_assert(boot.backend == (Endpoint{"10.1.0.8", 8301}));
    cr_assert(boot.store == (Endpoint{"10.200.1.7", 8309}));
    cr_assert_eq(boot.peerPort, 7620);
    cr_assert_eq(boot.service, "maps");
    cr_assert_eq(boot.memoryBytes, 260ULL << 20U);
    cr_assert_eq(boot.maxDescriptors, 4100);
    cr_assert(boot.heartbeatInterval == 1500ms);
    cr_assert(boot.stopTimeout == 6s);
    cr_assert_eq(boot.retryAllowance, 49);
    cr_assert_eq(boot.retryWindow, Duration{10'000'000});
}

Test(BootSettings, nodeSettingsHoldWhatTheFileSays)
{
    const auto settings = nodeSettingsOf(parseBootSettings(std::string(Whole)));
    cr_assert_eq(settings.nodeId(), "10.1.0.8:7620");
    cr_assert_eq(settings.store, "http://10.200.1.7:8309");
    cr_assert_eq(settings.entryPort, 8304);
    cr_assert_lt(settings.drainTimeout.count(), Duration(6s).count());
    cr_assert_lt(settings.stopNotice.count(), settings.drainTimeout.count());
    cr_assert_lt(settings.maxConnections, 4100);
}

Test(BootSettings, aWrongFieldIsNamed)
{
    struct
    {
        const char *from;
        const char *to;
        const char *named;
    } const cases[] = {
            {"ip: \"10.1.0.8\"\n", "", "'ip'"},
            {"service: \"maps\"\n", "", "'service'"},
            {"  outbound: \"10.1.0.8:8304\"\n", "", "'listen.outbound'"},
            {"10.1.0.8:8304", "10.1.0.8", "'listen.outbound'"},
            {"10.1.0.8:8304", "10.1.0.8:99999", "'listen.outbound'"},
            {"10.1.0.8:8304", "host:80", "'listen.outbound'"},
            {"[7620, 7635]", "[]", "'internal_ports'"},
            {"[7620, 7635]", "[many]", "'internal_ports'"},
            {"memory_mb: 260", "memory_mb: lots", "'limits.memory_mb'"},
            {"heartbeat_s: 1.5", "heartbeat_s: often", "'heartbeat_s'"},
            {"{address: \"10.200.1.7:8309\", form: \"kv\"}", "none", "'platform.address'"},
            {"node: ", "node: [", "no YAML"},
    };
    for (const auto &it : cases) {
        auto message = std::string();
        try {
            parseBootSettings(replaced(it.from, it.to));
        } catch (const SettingError &error) {
            message = error.what();
        }
        cr_expect(message.find(it.named) != std::string::npos, "%s -> %s: %s", it.from, it.to,
                  message.c_str());
        cr_expect(message.find("; ") != std::string::npos, "no remedy: %s", message.c_str());
    }
}

Test(BootSettings, aFileThatIsNotThereIsSaid)
{
    cr_assert_throw(readBootFile("/nowhere/node.yaml"), SettingError);
}

Test(BootSettings, configurationBoundIsThePlatforms)
{
    const auto bounded = replaced("\"odd\"", "\"config_s=2.5\"");
    cr_assert(nodeSettingsOf(parseBootSettings(bounded)).configurationBound == 2'500ms);
}

Test(BootSettings, keysAreTakenAwayInTimeOnlyWhereThePlatformAsksForIt)
{
    cr_assert(parseBootSettings(std::string(Whole)).revocationBound == 0s);
    const auto strict = replaced("\"odd\"", "\"strict_revoke=true\", \"revoke_s=5\"");
    cr_assert(parseBootSettings(strict).revocationBound == 5s);
    cr_assert(nodeSettingsOf(parseBootSettings(strict)).revocationBound == 5s);
    const auto loose = replaced("\"odd\"", "\"strict_revoke=false\", \"revoke_s=5\"");
    cr_assert(parseBootSettings(loose).revocationBound == 0s);
}
