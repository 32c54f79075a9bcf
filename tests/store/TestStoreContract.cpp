#include <functional>
#include <memory>
#include <optional>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/io_context.hpp>

#include <stairspur/core/Error.h>
#include <stairspur/store/EtcdStore.h>

#include "WaitFor.h"
#include "standins/store/StoreServer.h"

// Included after Boost, because Criterion's macros break Boost's headers.
#include <criterion/criterion.h>

/// Tests the client against the stand-in store. Both run on one io_context and connect over loopback.
using namespace stairspur;
using namespace stairspur::store;
using standin::FaultMode;
using transport::Task;

static_assert(PlatformStore<EtcdStore>);

struct StoreFixture
{
    boost::asio::io_context io{1};
    std::shared_ptr<standin::StoreServer> server =
            std::make_shared<standin::StoreServer>(io, std::uint16_t{0}, std::uint16_t{0});
    EtcdStore store;

    explicit StoreFixture(Duration timeout = std::chrono::seconds(10))
        : store(io, settings(timeout), 1)
    {
        server->start();
    }
    StoreFixture(const StoreFixture &) = delete;
    auto operator=(const StoreFixture &) -> StoreFixture & = delete;
    ~StoreFixture() { server->stop(); }

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

Test(StoreContract, valuesOfArbitraryBytesAreStoredUnchanged)
{
    auto fixture = StoreFixture();
    const auto cases = {std::string(),
                        std::string("a"),
                        std::string("ab"),
                        std::string("abc"),
                        std::string("\0\xff\n\"", 4),
                        std::string(100'000, 'x')};
    for (const auto &it : cases) {
        cr_assert(fixture.put("key", it) == StoreStatus::Ok);
        cr_assert(fixture.valueOf("key") == it, "a value of %zu bytes was changed", it.size());
    }
}

Test(StoreContract, revisionsCountAsInEtcd)
{
    auto fixture = StoreFixture();
    fixture.put("/a", "1");
    fixture.put("/b", "1");
    fixture.put("/a", "2");
    const auto answer =
            fixture.wait(fixture.store.range({.key = "/", .rangeEnd = endOfPrefix("/")}));
    cr_assert_eq(answer.value.pairs.size(), 2);
    const auto &a = answer.value.pairs[0];
    cr_assert_eq(a.version, 2);
    cr_assert_eq(a.modRevision, a.createRevision + 2);
    cr_assert_eq(answer.value.revision, a.modRevision);
    const auto page = fixture.wait(
            fixture.store.range({.key = "/", .rangeEnd = endOfPrefix("/"), .limit = 1}));
    cr_assert(page.value.hasMore && page.value.pairs.size() == 1);
}

Test(StoreContract, transactionsApplyOnlyIfTheirComparisonsHold)
{
    struct Case
    {
        CompareTarget target;
        CompareOrder order;
        std::int64_t number;
        const char *value;
        bool holds;
    };
    auto fixture = StoreFixture();
    fixture.put("key", "b");
    const auto pair = fixture.wait(fixture.store.range({.key = "key"})).value.pairs.at(0);
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
        const auto status = fixture.wait(fixture.store.txn(transaction)).status;
        cr_assert(status == (it.holds ? StoreStatus::Ok : StoreStatus::CasFailed));
    }
}

Test(StoreContract, eachFaultGivesItsStatus)
{
    struct Case
    {
        FaultMode mode;
        StoreStatus status;
        bool isApplied;
        std::uint64_t sent; ///< Number of times that the write reaches the store.
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
        auto fixture = StoreFixture(isUnanswered ? std::chrono::milliseconds(200)
                                                 : std::chrono::seconds(10));
        cr_assert_eq(fixture.valueOf("key"),
                     "(none)"); // Opens the connection that the client keeps.
        fixture.server->setFault({it.mode, 400, 0, "txn"});
        const auto status = fixture.wait(fixture.store.txn(createOnce("key", "v"))).status;
        cr_assert(status == it.status, "%s gave %s", nameOf(it.mode).data(), nameOf(status).data());
        cr_assert_eq(fixture.count("txn"), it.sent);
        fixture.server->setFault({});
        if (it.mode == FaultMode::Slow)
            while (fixture.server->state().revision() == 1)
                fixture.io.run_one();
        cr_assert_eq(fixture.valueOf("key"), it.isApplied ? "v" : "(none)");
    }
}

Test(StoreContract, readsAreRetriedAndUnansweredWritesAreNot)
{
    auto fixture = StoreFixture();
    fixture.server->setFault({FaultMode::LostAnswer, 0, 2, "range"});
    cr_assert(fixture.wait(fixture.store.range({.key = "key"})).isOk());
    cr_assert_eq(fixture.count("range"), 3);
    cr_assert_eq(fixture.store.counters().count(StoreCall::Range, StoreStatus::Unknown), 2);
    cr_assert_eq(fixture.store.counters().count(StoreCall::Range, StoreStatus::Ok), 1);
    fixture.server->setFault({FaultMode::LostAnswer, 0, 1, "put"});
    cr_assert(fixture.put("key", "v") == StoreStatus::Unknown);
    cr_assert_eq(fixture.count("put"), 1);
}

Test(StoreContract, tooLargeValuesAreRejected)
{
    auto fixture = StoreFixture();
    cr_assert(fixture.put("key", std::string(1'000'001, 'x')) == StoreStatus::Rejected);
}

Test(StoreContract, keysAreDeletedWhenTheirLeaseEnds)
{
    auto fixture = StoreFixture();
    const auto lease = fixture.wait(fixture.store.grantLease(std::chrono::seconds(5)));
    cr_assert(lease.isOk() && lease.value.timeToLive == std::chrono::seconds(5));
    cr_assert(fixture.wait(fixture.store.put("key", "v", lease.value.lease)).isOk());
    const auto kept = fixture.wait(fixture.store.keepLeaseAlive(lease.value.lease));
    cr_assert(kept.isOk() && kept.value.timeToLive == std::chrono::seconds(5));
    fixture.server->setFault({FaultMode::LapseLeases, 0, 0, ""});
    cr_assert_eq(fixture.valueOf("key"), "(none)");
    const auto gone = fixture.wait(fixture.store.keepLeaseAlive(lease.value.lease));
    cr_assert(gone.isOk() && gone.value.timeToLive == Duration{0});
    cr_assert(fixture.wait(fixture.store.revokeLease(lease.value.lease)).status
              == StoreStatus::Rejected);
}

Test(StoreContract, aWatchReportsEveryChangeFromItsStartRevision)
{
    auto fixture = StoreFixture();
    fixture.put("key", "1");
    const auto start = fixture.server->state().revision();
    auto seen = std::string();
    auto end = std::optional<StoreResult<WatchEnd>>();
    auto task = fixture.store.watch(
            {.key = "key", .startRevision = start},
            [&](const WatchMessage &message) {
                for (const auto &it : message.events)
                    seen += it.pair.value;
            },
            nullptr);
    boost::asio::co_spawn(fixture.io, std::move(task),
                          [&](std::exception_ptr, auto value) { end = value; });
    fixture.put("other", "x");
    fixture.put("key", "2");
    while (seen.size() < 2)
        fixture.io.run_one();
    fixture.server->setFault({FaultMode::BreakWatch, 0, 0, ""});
    while (!end)
        fixture.io.run_one();
    cr_assert_eq(seen, "12");
    cr_assert_eq(end->value.nextRevision, fixture.server->state().revision() + 1);
}

Test(StoreContract, aCancelledWatchEnds)
{
    auto fixture = StoreFixture();
    const auto cancellation = std::make_shared<transport::Cancellation>();
    auto handler = [&](const WatchMessage &) { cancellation->cancel(); };
    const auto end = fixture.wait(fixture.store.watch({.key = "key"}, handler, cancellation));
    cr_assert(end.isOk());
}

Test(StoreSettings, malformedUrlsAreRejected)
{
    const auto settings = storeSettingsFromUrl("http://192.0.2.7:2379");
    cr_assert_eq(settings.address, "192.0.2.7");
    cr_assert_eq(settings.port, 2379);
    for (const auto *it : {"", "192.0.2.7:2379", "http://192.0.2.7", "http://host:2379",
                           "http://192.0.2.7:99999", "http://192.0.2.7:2379/x"})
        cr_assert_throw(storeSettingsFromUrl(it), SettingError, "accepted '%s'", it);
}
