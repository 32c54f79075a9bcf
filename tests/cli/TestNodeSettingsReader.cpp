#include <criterion/criterion.h>

#include <gflags/gflags.h>

#include <stairspur/cli/CommandLine.h>
#include <stairspur/cli/NodeSettingsReader.h>

using namespace stairspur;
using namespace stairspur::cli;
using namespace std::chrono_literals;

/// Reads what `node` makes of these flags, together with the two that it cannot do without.
static auto readWith(Arguments flags) -> node::NodeSettings
{
    auto arguments =
            Arguments{"node", "--failure-domain=bezigrad", "--store=http://192.0.2.1:2379"};
    arguments.insert(arguments.end(), flags.begin(), flags.end());
    applyAssignments(parseCommandLine(arguments, {}).assignments);
    return readNodeSettings();
}

Test(NodeSettingsReader, defaultsAreThoseOfNodeSettings)
{
    const auto read = readWith({});
    const auto wanted = node::NodeSettings();
    cr_assert_eq(read.failureDomain, "bezigrad");
    cr_assert_eq(read.store, "http://192.0.2.1:2379");
    cr_assert_eq(read.hostAddress, wanted.hostAddress);
    cr_assert_eq(read.region, wanted.region);
    cr_assert_eq(read.rack, wanted.rack);
    cr_assert_eq(read.peerPort, wanted.peerPort);
    cr_assert_eq(read.entryPort, wanted.entryPort);
    cr_assert_eq(read.adminPort, wanted.adminPort);
    cr_assert_eq(read.adminAddress, wanted.adminAddress);
    cr_assert(read.seeds == wanted.seeds);
    cr_assert_eq(read.peerSecret, wanted.peerSecret);
    cr_assert(read.protocolPeriod == wanted.protocolPeriod);
    cr_assert(read.announcementTimeout == wanted.announcementTimeout);
    cr_assert(read.drainTimeout == wanted.drainTimeout);
    cr_assert(read.storeTimeout == wanted.storeTimeout);
    cr_assert_eq(read.storeCallsPerSecond, wanted.storeCallsPerSecond);
    cr_assert_eq(read.subsetSize, wanted.subsetSize);
    cr_assert_eq(read.maxConnections, wanted.maxConnections);
    cr_assert_eq(read.maxHeaderBytes, wanted.maxHeaderBytes);
    cr_assert_eq(read.maxBodyBytes, wanted.maxBodyBytes);
    cr_assert(read.requestTimeout == wanted.requestTimeout);
    cr_assert_eq(read.logLevel, wanted.logLevel);
    cr_assert_eq(read.logDecisionSample, wanted.logDecisionSample);
}

Test(NodeSettingsReader, everySettingIsRead)
{
    const auto read = readWith({"--host-address=192.0.2.7",
                                "--region=ljubljana",
                                "--rack=r1",
                                "--peer-port=0",
                                "--entry-port=65535",
                                "--admin-port=3",
                                "--admin-address=0.0.0.0",
                                "--seeds=192.0.2.8:7100,192.0.2.9:7200",
                                "--peer-secret=0123456789abcdef",
                                "--tls-certificate=c.pem",
                                "--tls-key=k.pem",
                                "--protocol-period=500ms",
                                "--announcement-timeout=7s",
                                "--drain-timeout=1m",
                                "--revocation-bound=5s",
                                "--configuration-bound=4s",
                                "--store-timeout=3s",
                                "--store-calls-per-second=9",
                                "--subset-size=8",
                                "--max-connections=77",
                                "--max-header=32KiB",
                                "--max-body=1MiB",
                                "--request-timeout=4s",
                                "--log-level=debug",
                                "--log-decision-sample=100"});
    cr_assert_eq(read.hostAddress, "192.0.2.7");
    cr_assert_eq(read.region, "ljubljana");
    cr_assert_eq(read.rack, "r1");
    cr_assert_eq(read.peerPort, 0);
    cr_assert_eq(read.entryPort, 65535);
    cr_assert_eq(read.adminPort, 3);
    cr_assert_eq(read.adminAddress, "0.0.0.0");
    cr_assert(read.seeds == std::vector<NodeId>({"192.0.2.8:7100", "192.0.2.9:7200"}));
    cr_assert_eq(read.peerSecret, "0123456789abcdef");
    cr_assert_eq(read.tlsCertificate, "c.pem");
    cr_assert_eq(read.tlsKey, "k.pem");
    cr_assert(read.protocolPeriod == 500ms);
    cr_assert(read.announcementTimeout == 7s);
    cr_assert(read.drainTimeout == 1min);
    cr_assert(read.revocationBound == 5s);
    cr_assert(read.configurationBound == 4s);
    cr_assert(read.storeTimeout == 3s);
    cr_assert_eq(read.storeCallsPerSecond, 9);
    cr_assert_eq(read.subsetSize, 8);
    cr_assert_eq(read.maxConnections, 77);
    cr_assert_eq(read.maxHeaderBytes, 32U << 10U);
    cr_assert_eq(read.maxBodyBytes, 1U << 20U);
    cr_assert(read.requestTimeout == 4s);
    cr_assert_eq(read.logLevel, "debug");
    cr_assert_eq(read.logDecisionSample, 100);
}

struct RefusalCase
{
    Arguments flags;
    const char *message;
};

static const RefusalCase refusals[] = {
        {{"--failure-domain="},
         "--failure-domain is not set; give a name, such as --failure-domain=bezigrad"},
        {{"--failure-domain=Bežigrad"},
         "--failure-domain is no name: 'Bežigrad'; use 1 to 63 of a-z, 0-9, '-', '_' and '.', the "
         "first no '.'"},
        {{"--region=a/b"},
         "--region is no name: 'a/b'; use 1 to 63 of a-z, 0-9, '-', '_' and '.', the first no '.'"},
        {{"--rack=.a"},
         "--rack is no name: '.a'; use 1 to 63 of a-z, 0-9, '-', '_' and '.', the first no '.'"},
        {{"--host-address=host"},
         "--host-address is no address of a host: 'host'; give an IPv4 address that other hosts "
         "reach, such as 192.0.2.7"},
        {{"--host-address=0.0.0.0"},
         "--host-address is no address of a host: '0.0.0.0'; give an IPv4 address that other hosts "
         "reach, such as 192.0.2.7"},
        {{"--host-address=224.0.0.1"},
         "--host-address is no address of a host: '224.0.0.1'; give an IPv4 address that other "
         "hosts reach, such as 192.0.2.7"},
        {{"--peer-port=65536"}, "--peer-port is out of range: 65536; give a value from 0 to 65535"},
        {{"--entry-port=65536"},
         "--entry-port is out of range: 65536; give a value from 0 to 65535"},
        {{"--admin-port=65536"},
         "--admin-port is out of range: 65536; give a value from 0 to 65535"},
        {{"--admin-port=7100"},
         "two of --peer-port, --entry-port and --admin-port are the same; give each a port of its "
         "own"},
        {{"--admin-address=all"},
         "--admin-address is no IP number: 'all'; give the address to listen on, such as "
         "127.0.0.1"},
        {{"--seeds=192.0.2.8"},
         "--seeds has no usable port: '192.0.2.8'; give an IPv4 address and a port from 1 to "
         "65535, such as 192.0.2.7:7100"},
        {{"--seeds=192.0.2.8:0"},
         "--seeds has no usable port: '192.0.2.8:0'; give an IPv4 address and a port from 1 to "
         "65535, such as 192.0.2.7:7100"},
        {{"--seeds=192.0.2.8:65536"},
         "--seeds has no usable port: '192.0.2.8:65536'; give an IPv4 address and a port from 1 to "
         "65535, such as 192.0.2.7:7100"},
        {{"--seeds=192.0.2.8:1,"},
         "--seeds has no usable port: ''; give an IPv4 address and a port from 1 to 65535, such as "
         "192.0.2.7:7100"},
        {{"--seeds=host:1"},
         "--seeds is no address of a host: 'host'; give an IPv4 address that other hosts reach, "
         "such as 192.0.2.7"},
        {{"--seeds=192.0.2.8:1,192.0.2.8:1"},
         "--seeds names 192.0.2.8:1 twice; name each node once"},
        {{"--store=192.0.2.1:2379"},
         "--store is no address of a store: '192.0.2.1:2379'; give http:// with an IPv4 address "
         "and a port, such as http://192.0.2.1:2379"},
        {{"--store=http://192.0.2.1"},
         "--store has no usable port: '192.0.2.1'; give an IPv4 address and a port from 1 to "
         "65535, such as 192.0.2.7:7100"},
        {{"--store="},
         "neither --seeds nor --store is set; give the store's address, or nodes to join through"},
        {{"--peer-secret=0123456789abcde"},
         "--peer-secret is shorter than 16 characters; give a longer one, such as from openssl "
         "rand -hex 32"},
        {{"--tls-key=k.pem"},
         "only one of --tls-certificate and --tls-key is set; set both, or neither"},
        {{"--protocol-period=1"},
         "--protocol-period is no duration: '1'; give a whole number with us, ms, s, m or h, such "
         "as 250ms or 2s"},
        {{"--protocol-period=49ms"},
         "--protocol-period is out of range: 49ms; give a value from 50ms to 1m"},
        {{"--announcement-timeout=0s"},
         "--announcement-timeout is out of range: 0s; give a value from 1s to 5m"},
        {{"--drain-timeout=2h"},
         "--drain-timeout is out of range: 2h; give a value from 0us to 1h"},
        {{"--revocation-bound=2s"},
         "--revocation-bound is shorter than proofs are old: 2s; give 0s, or a value from 3s on"},
        {{"--store-timeout=1ms"},
         "--store-timeout is out of range: 1ms; give a value from 10ms to 1m"},
        {{"--store-calls-per-second=0"},
         "--store-calls-per-second is out of range: 0; give a value from 1 to 1000"},
        {{"--subset-size=0"}, "--subset-size is out of range: 0; give a value from 1 to 4096"},
        {{"--max-connections=0"},
         "--max-connections is out of range: 0; give a value from 1 to 1000000"},
        {{"--max-header=16"},
         "--max-header is no size: '16'; give a whole number with B, KiB, MiB or GiB, such as "
         "64KiB"},
        {{"--max-header=2MiB"},
         "--max-header is out of range: 2MiB; give a value from 1KiB to 1MiB"},
        {{"--max-body=0B"}, "--max-body is out of range: 0B; give a value from 1B to 1GiB"},
        {{"--request-timeout=1h"},
         "--request-timeout is out of range: 1h; give a value from 100ms to 10m"},
        {{"--log-level=loud"},
         "--log-level is unknown: 'loud'; give debug, info, warning or error"},
        {{"--log-decision-sample=0"},
         "--log-decision-sample is out of range: 0; give a value from 1 to 1000000"},
};

/// As `node` with these flags, those of the case in place of the ones that it cannot do without.
static auto readRefused(const RefusalCase &it) -> void
{
    const auto saver = gflags::FlagSaver(); // Each case starts from the defaults.
    auto arguments =
            Arguments{"node", "--failure-domain=bezigrad", "--store=http://192.0.2.1:2379"};
    for (const auto &flag : it.flags) {
        const auto name = flag.substr(0, flag.find('=') + 1);
        std::erase_if(arguments, [&](const auto &other) { return other.starts_with(name); });
        arguments.push_back(flag);
    }
    applyAssignments(parseCommandLine(arguments, {}).assignments);
    readNodeSettings();
}

Test(NodeSettingsReader, whatCannotBeUsedIsRefusedWithItsRemedy)
{
    for (const auto &it : refusals) {
        try {
            readRefused(it);
            cr_assert_fail("accepted %s", it.flags.front().c_str());
        } catch (const SettingError &error) {
            cr_assert_str_eq(error.what(), it.message);
        }
    }
}
