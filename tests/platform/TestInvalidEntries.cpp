#include "ProcessFleet.h"

/// Real processes: what other writers leave in the platform's store, and invalid heartbeats, end no node and stop none from
/// following the rest.
using namespace stairspur;
using namespace stairspur::platform;

static constexpr auto Depth = std::size_t{100'000};

/// Returns values that are no record of a node or a backend server.
static auto invalidValues() -> std::vector<std::string>
{
    return {
            "",
            "x",
            "127.0.0.1:0",
            "127.0.0.1:70000",
            "127.0.0.1:-1",
            "127.0.0.1:99999999999999999999",
            "no address:7104",
            std::string(Depth, '[') + std::string(Depth, ']'),
            R"({"port": 1e400, "lease": 18446744073709551616})",
            std::string(Depth, '\x81'),             // Nested arrays in CBOR.
            "\x9b\xff\xff\xff\xff\xff\xff\xff\xff", // A CBOR array of 2^64-1 items.
            std::string("\xff\x00\x7f", 3),
            std::string(std::size_t{200} << 10U, 'x'),
    };
}

/// Writes each invalid value under each prefix that nodes read, and beside their configuration.
static auto writeInvalidEntries(standin::KvStandIn &store) -> void
{
    auto number = 0;
    for (const auto &value : invalidValues()) {
        for (const auto *prefix : {"/stairspur/rendezvous/other/", "/stairspur/rendezvous/centre/",
                                   "/stairspur/rendezvous/", "/stairspur/quarantine/menu/",
                                   "/stairspur/leaving/", "op/config-", "servers/"})
            store.put(prefix + std::to_string(number), value);
        ++number;
    }
    for (const auto *key :
         {"/stairspur/rendezvous/centre/invalid", "/stairspur/quarantine/menu/invalid"}) {
        store.putItem(key,
                      {{"key", key}, {"value", "*"}, {"revision", 1e30}, {"lease", UINT64_MAX}});
        store.putItem(std::string(key) + "2", nlohmann::json::object());
    }
}

/// Returns heartbeats that are valid but for one field.
static auto invalidHeartbeats() -> std::vector<std::string>
{
    const auto with = [](const std::string &field, const std::string &value) {
        auto text = std::string(
                R"({"service":"menu","address":"127.0.0.1:9","zone":"centre","version":"v1",)"
                R"("slots":8,"state":"ready","cold_remaining_s":0,"seq":1000000000})");
        const auto begin = text.find('"' + field + "\":") + field.size() + 3;
        const auto end = text.find_first_of(",}", begin);
        return text.replace(begin, end - begin, value);
    };
    auto bodies = std::vector<std::string>{std::string(4'000, '['), "", "null", "{"};
    for (const auto *it : {R"("127.0.0.1:0")", R"("127.0.0.1:70000")", R"("127.0.0.1:-1")",
                           R"("127.0.0.1")", R"(":9")", R"("no:9")", R"("127.0.0.256:9")", "7"})
        bodies.push_back(with("address", it));
    for (const auto *it :
         {"1e400", "-1", "18446744073709551616", R"("8")", "[[[[[[]]]]]]", "null"}) {
        bodies.push_back(with("slots", it));
        bodies.push_back(with("seq", it));
        bodies.push_back(with("cold_remaining_s", it));
    }
    return bodies;
}

/// Sends them in the name of the host's backend server, and of another process instance that would replace it. Expects that
/// they are refused.
static auto sendInvalidHeartbeats(const ProcessFleet::Host &host) -> void
{
    for (const auto &instance : {host.backends[0]->instance, std::string("i-other")}) {
        for (const auto &it : invalidHeartbeats()) {
            const auto response = exchange(host.address, ControlPort,
                                           "PUT /v1/instances/" + instance
                                                   + " HTTP/1.1\r\nHost: c\r\nContent-Length: "
                                                   + std::to_string(it.size()) + "\r\n\r\n" + it);
            cr_expect(response && response->result_int() == 400, "%s: %s", instance.c_str(),
                      it.substr(0, 200).c_str());
        }
    }
}

static auto announceAll(ProcessFleet &fleet) -> void
{
    for (auto &it : fleet.hosts)
        ProcessFleet::beat(it, *it.backends[0], "ready");
}

Test(InvalidEntries, heartbeatsAreRefusedAndTheServerIsServedOn, .timeout = 300)
{
    auto fleet = ProcessFleet(66);
    cr_expect_eq(fleet.drive(1s, [&] { sendInvalidHeartbeats(fleet.hosts[1]); }), 0);
    const auto runs = fleet.hosts[1].backends[0]->server->runs();
    cr_expect_eq(fleet.drive(500ms), 0);
    cr_expect_gt(fleet.hosts[1].backends[0]->server->runs(), runs);
    for (auto &it : fleet.hosts)
        cr_expect(!it.node->hasEnded());
}

Test(InvalidEntries, storeEntriesEndNoNodeAndHideNoOther, .timeout = 300)
{
    auto fleet = ProcessFleet(65);
    const auto writeAndAnnounce = [&] {
        fleet.writeToStore(writeInvalidEntries);
        announceAll(fleet);
    };
    cr_expect_eq(fleet.drive(2s, writeAndAnnounce), 0);
    fleet.restartNodes(0ms);
    ProcessFleet::waitUntil([&] {
        announceAll(fleet);
        return fleet.send(fleet.hosts[1]) == 200 && fleet.send(fleet.hosts[2]) == 200;
    });
    cr_expect_eq(fleet.drive(2s, writeAndAnnounce), 0);
    fleet.configure(R"({"version": 8, "routes": {
"added": {"host": "a.example", "prefix": "/added/", "kind": "safe", "timeout_s": 20, "target_latency_s": 1.2, "priority": 1,
  "service": "menu", "max_attempts": 2}}, "services": {"menu": {"health_path": "/health", "max_connections": 634}},
"limits": {"max_header_bytes": 4096, "max_body_bytes": 1000, "header_timeout_s": 3, "idle_timeout_s": 15}})");
    auto requests = 0;
    for (auto &it : fleet.hosts) {
        ProcessFleet::waitUntil([&] {
            announceAll(fleet);
            const auto response = exchange(
                    it.address, EntryPort,
                    "GET /added/1 HTTP/1.1\r\nHost: a.example\r\nX-Attempt-Id: o"
                            + std::to_string(++requests) + "\r\nX-Deadline-Ms: 5000\r\n\r\n");
            return response && response->result_int() == 200;
        });
        cr_expect(!it.node->hasEnded());
    }
}
