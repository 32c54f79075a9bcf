#include <functional>
#include <memory>
#include <optional>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/io_context.hpp>

#include <stairspur/core/Error.h>
#include <stairspur/store/EtcdStore.h>

#include "WaitFor.h"
#include "standins/store/StoreServer.h"

// After Boost, whose headers its macros break.
#include <criterion/criterion.h>

/// The client and the stand-in against each other, on one io_context and loopback.
using namespace stairspur;
using namespace stairspur::store;
using standin::FaultMode;
using transport::Task;

static_assert(PlatformStore<EtcdStore>);

struct Bench
{
    boost::asio::io_context io{1};
    std::shared_ptr<standin::StoreServer> server =
            std::make_shared<standin::StoreServer>(io, std::uint16_t{0}, std::uint16_t{0});
    EtcdStore store;

    explicit Bench(Duration timeout = std::chrono::seconds(10))
        : store(io, settings(timeout), 1)
    {
        server->start();
    }
    Bench(const Bench &) = delete;
    auto operator=(const Bench &) -> Bench & = delete;
    ~Bench() { server->stop(); }

    [[nodiscard]] auto settings(Duration timeout) const -> StoreSettings
    {
        auto it = StoreSettings();
        it.port = server->port();
        it.timeout = timeout;
        it.callsPerSecond = 1000;
        it.burst = 1000;
        it.minBackoff = std::chrono::milliseconds(1);
        it.maxBackoff = std::chrono::milliseconds(2);
        return it;
    }

    template <typename Value>
    auto wait(Task<Value> task) -> Value
    {
        return waitFor(io, std::move(task));
    }

    auto put(const std::string &key, const std::string &value) -> StoreStatus
    {
        return wait(store.put(key, value, 0)).status;
    }

    auto valueOf(const std::string &key) -> std::string
    {
        const auto answer = wait(store.range({.key = key}));
        cr_assert(answer.isOk(), "%s", answer.detail.c_str());
        return answer.value.pairs.empty() ? "(none)" : answer.value.pairs[0].value;
    }

    auto count(const std::string &kind) -> std::uint64_t
    {
        const auto it = server->counters().find(kind);
        return it == server->counters().end() ? 0 : it->second;
    }
};

static auto createOnce(const std::string &key, const std::string &value) -> Transaction
{
    auto transaction = Transaction();
    transaction.compares.push_back({.key = key, .target = CompareTarget::Version, .number = 0});
    transaction.operations.push_back({.key = key, .value = value});
    return transaction;
}

Test(StoreContract, bytesSurviveWhateverTheyAre)
{
    auto bench = Bench();
    const auto cases = {std::string(),
                        std::string("a"),
                        std::string("ab"),
                        std::string("abc"),
                        std::string("\0\xff\n\"", 4),
                        std::string(100'000, 'x')};
    for (const auto &it : cases) {
        cr_assert(bench.put("key", it) == StoreStatus::Ok);
        cr_assert(bench.valueOf("key") == it, "%zu bytes changed on the way", it.size());
    }
}

Test(StoreContract, revisionsCountAsInEtcd)
{
    auto bench = Bench();
    bench.put("/a", "1");
    bench.put("/b", "1");
    bench.put("/a", "2");
    const auto answer = bench.wait(bench.store.range({.key = "/", .rangeEnd = endOfPrefix("/")}));
    cr_assert_eq(answer.value.pairs.size(), 2);
    const auto &a = answer.value.pairs[0];
    cr_assert_eq(a.version, 2);
    cr_assert_eq(a.modRevision, a.createRevision + 2);
    cr_assert_eq(answer.value.revision, a.modRevision);
    const auto page =
            bench.wait(bench.store.range({.key = "/", .rangeEnd = endOfPrefix("/"), .limit = 1}));
    cr_assert(page.value.hasMore && page.value.pairs.size() == 1);
}

Test(StoreContract, comparisonsDecide)
{
    struct Case
    {
        CompareTarget target;
        CompareOrder order;
        std::int64_t number;
        const char *value;
        bool holds;
    };
    auto bench = Bench();
    bench.put("key", "b");
    const auto pair = bench.wait(bench.store.range({.key = "key"})).value.pairs.at(0);
    const Case cases[] = {
            {CompareTarget::Version, CompareOrder::Equal, 1, "", true},
            {CompareTarget::Version, CompareOrder::Equal, 0, "", false},
            {CompareTarget::Version, CompareOrder::Greater, 0, "", true},
            {CompareTarget::ModRevision, CompareOrder::Equal, pair.modRevision, "", true},
            {CompareTarget::ModRevision, CompareOrder::Less, pair.modRevision, "", false},
            {CompareTarget::CreateRevision, CompareOrder::NotEqual, 0, "", true},
            {CompareTarget::Value, CompareOrder::Equal, 0, "b", true},
            {CompareTarget::Value, CompareOrder::Equal, 0, "a", false},
    };
    for (const auto &it : cases) {
        auto transaction = Transaction();
        transaction.compares.push_back({"key", it.target, it.order, it.number, it.value});
        transaction.operations.push_back({.key = "other", .value = "x"});
        const auto status = bench.wait(bench.store.txn(transaction)).status;
        cr_assert(status == (it.holds ? StoreStatus::Ok : StoreStatus::CasFailed));
    }
}

Test(StoreContract, eachFaultHasItsStatus)
{
    struct Case
    {
        FaultMode mode;
        StoreStatus status;
        bool isApplied;
        std::uint64_t sent; ///< How often the write may reach the store.
    };
    const Case cases[] = {
            {FaultMode::Ok, StoreStatus::Ok, true, 1},
            {FaultMode::Down, StoreStatus::Unreachable, false, 0},
            {FaultMode::Hang, StoreStatus::Unknown, false, 1},
            {FaultMode::Slow, StoreStatus::Unknown, true, 1},
            {FaultMode::LostAnswer, StoreStatus::Unknown, true, 1},
            {FaultMode::Unavailable, StoreStatus::Unknown, false, 1},
    };
    for (const auto &it : cases) {
        const auto isUnanswered = it.mode == FaultMode::Hang || it.mode == FaultMode::Slow;
        auto bench =
                Bench(isUnanswered ? std::chrono::milliseconds(200) : std::chrono::seconds(10));
        cr_assert_eq(bench.valueOf("key"), "(none)"); // Opens the connection that will be kept.
        bench.server->setFault({it.mode, 400, 0, "txn"});
        const auto status = bench.wait(bench.store.txn(createOnce("key", "v"))).status;
        cr_assert(status == it.status, "%s gave %s", nameOf(it.mode).data(), nameOf(status).data());
        cr_assert_eq(bench.count("txn"), it.sent);
        bench.server->setFault({});
        if (it.mode == FaultMode::Slow)
            while (bench.server->state().revision() == 1)
                bench.io.run_one();
        cr_assert_eq(bench.valueOf("key"), it.isApplied ? "v" : "(none)");
    }
}

Test(StoreContract, readsAreSentAgainAndWritesInDoubtAreNot)
{
    auto bench = Bench();
    bench.server->setFault({FaultMode::LostAnswer, 0, 2, "range"});
    cr_assert(bench.wait(bench.store.range({.key = "key"})).isOk());
    cr_assert_eq(bench.count("range"), 3);
    cr_assert_eq(bench.store.counters().count(StoreCall::Range, StoreStatus::Unknown), 2);
    cr_assert_eq(bench.store.counters().count(StoreCall::Range, StoreStatus::Ok), 1);
    bench.server->setFault({FaultMode::LostAnswer, 0, 1, "put"});
    cr_assert(bench.put("key", "v") == StoreStatus::Unknown);
    cr_assert_eq(bench.count("put"), 1);
}

Test(StoreContract, tooLargeValuesAreRejected)
{
    auto bench = Bench();
    cr_assert(bench.put("key", std::string(1'000'001, 'x')) == StoreStatus::Rejected);
}

Test(StoreContract, leasesEndWithTheirKeys)
{
    auto bench = Bench();
    const auto lease = bench.wait(bench.store.grantLease(std::chrono::seconds(5)));
    cr_assert(lease.isOk() && lease.value.timeToLive == std::chrono::seconds(5));
    cr_assert(bench.wait(bench.store.put("key", "v", lease.value.lease)).isOk());
    const auto kept = bench.wait(bench.store.keepLeaseAlive(lease.value.lease));
    cr_assert(kept.isOk() && kept.value.timeToLive == std::chrono::seconds(5));
    bench.server->setFault({FaultMode::LapseLeases, 0, 0, ""});
    cr_assert_eq(bench.valueOf("key"), "(none)");
    const auto gone = bench.wait(bench.store.keepLeaseAlive(lease.value.lease));
    cr_assert(gone.isOk() && gone.value.timeToLive == Duration{0});
    cr_assert(bench.wait(bench.store.revokeLease(lease.value.lease)).status
              == StoreStatus::Rejected);
}

Test(StoreContract, aWatchTellsEveryChangeFromItsRevisionOn)
{
    auto bench = Bench();
    bench.put("key", "1");
    const auto start = bench.server->state().revision();
    auto seen = std::string();
    auto end = std::optional<StoreResult<WatchEnd>>();
    auto task = bench.store.watch(
            {.key = "key", .startRevision = start},
            [&](const WatchMessage &message) {
                for (const auto &it : message.events)
                    seen += it.pair.value;
            },
            nullptr);
    boost::asio::co_spawn(bench.io, std::move(task),
                          [&](std::exception_ptr, auto value) { end = value; });
    bench.put("other", "x");
    bench.put("key", "2");
    while (seen.size() < 2)
        bench.io.run_one();
    bench.server->setFault({FaultMode::BreakWatch, 0, 0, ""});
    while (!end)
        bench.io.run_one();
    cr_assert_eq(seen, "12");
    cr_assert_eq(end->value.nextRevision, bench.server->state().revision() + 1);
}

Test(StoreContract, aCancelledWatchEnds)
{
    auto bench = Bench();
    const auto cancellation = std::make_shared<transport::Cancellation>();
    auto handler = [&](const WatchMessage &) { cancellation->cancel(); };
    const auto end = bench.wait(bench.store.watch({.key = "key"}, handler, cancellation));
    cr_assert(end.isOk());
}

Test(StoreSettings, urlsAreChecked)
{
    const auto settings = storeSettingsFromUrl("http://192.0.2.7:2379");
    cr_assert_eq(settings.address, "192.0.2.7");
    cr_assert_eq(settings.port, 2379);
    for (const auto *it : {"", "192.0.2.7:2379", "http://192.0.2.7", "http://host:2379",
                           "http://192.0.2.7:99999", "http://192.0.2.7:2379/x"})
        cr_assert_throw(storeSettingsFromUrl(it), SettingError, "accepted '%s'", it);
}
