#include <map>
#include <memory>
#include <optional>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include <platform/KvCodec.h>
#include <platform/KvStore.h>
#include <stairspur/store/AnyStore.h>

#include "standins/platform/KvStandIn.h"
#include "store/WaitFor.h"

// After Boost, whose headers its macros break.
#include <criterion/criterion.h>

/// The client of the platform's store and the stand-in against each other, on one io_context and loopback.
using namespace stairspur;
using namespace stairspur::store;
using platform::KvStore;
using standin::KvFault;
using transport::Task;

static_assert(PlatformStore<KvStore>);

struct Bench
{
    boost::asio::io_context io{1};
    standin::KvStandIn server{io};
    KvStore store;

    explicit Bench(Duration timeout = std::chrono::seconds(10))
        : store(io, settings(timeout), 1)
    {}

    [[nodiscard]] auto settings(Duration timeout) const -> StoreSettings
    {
        auto it = StoreSettings();
        it.port = server.port();
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

    auto runUntil(const std::function<bool()> &isDone) -> void
    {
        while (!isDone())
            io.run_one();
    }
};

static auto createOnce(const std::string &key, const std::string &value, LeaseId lease)
        -> Transaction
{
    auto transaction = Transaction();
    transaction.compares.push_back({.key = key, .target = CompareTarget::Version, .number = 0});
    transaction.operations.push_back({false, key, value, lease});
    return transaction;
}

Test(KvStore, aKeyIsReadWithItsBytesAndOneThatIsMissingIsNone)
{
    auto bench = Bench();
    const auto bytes = std::string("\0\xff\n\"", 4);
    cr_assert(bench.wait(bench.store.put("/a b", bytes, 0)).isOk());
    const auto found = bench.wait(bench.store.range({.key = "/a b"}));
    cr_assert(found.isOk(), "%s", found.detail.c_str());
    cr_assert_eq(found.value.pairs.size(), 1);
    cr_assert(found.value.pairs[0].value == bytes);
    const auto missing = bench.wait(bench.store.range({.key = "/none"}));
    cr_assert(missing.isOk() && missing.value.pairs.empty());
}

Test(KvStore, aPrefixIsReadPageByPage)
{
    auto bench = Bench();
    for (auto n = 0; n < 8; ++n)
        bench.server.put("/p/" + std::to_string(n), "v");
    bench.server.put("/q", "v");
    const auto all = bench.wait(bench.store.range({.key = "/p/", .rangeEnd = endOfPrefix("/p/")}));
    cr_assert(all.isOk());
    cr_assert_eq(all.value.pairs.size(), 8);
    cr_assert_eq(bench.server.staleReads(), 0);
    const auto hints = bench.wait(
            bench.store.range({.key = "/p/", .rangeEnd = endOfPrefix("/p/"), .mayBeStale = true}));
    cr_assert_eq(hints.value.pairs.size(), 8);
    cr_assert_gt(bench.server.staleReads(), 1, "each of its pages");
    const auto other = bench.wait(bench.store.range({.key = "/a", .rangeEnd = "/k"}));
    cr_assert(other.status == StoreStatus::Rejected, "the store has no such range");
}

Test(KvStore, aKeyIsCreatedOnceAndItsLeaseTakesItAway)
{
    auto bench = Bench();
    const auto lease = bench.wait(bench.store.grantLease(std::chrono::milliseconds(1500)));
    cr_assert(lease.isOk());
    cr_assert(lease.value.timeToLive == std::chrono::milliseconds(1500));
    const auto id = lease.value.lease;
    cr_assert(bench.wait(bench.store.txn(createOnce("/k", "1", id))).isOk());
    cr_assert(bench.wait(bench.store.txn(createOnce("/k", "2", 0))).status
              == StoreStatus::CasFailed);
    cr_assert(bench.wait(bench.store.keepLeaseAlive(id)).isOk());
    cr_assert(bench.wait(bench.store.revokeLease(id)).isOk());
    cr_assert(bench.server.items().empty());
    cr_assert(bench.wait(bench.store.keepLeaseAlive(id)).status == StoreStatus::Rejected);
    cr_assert(bench.wait(bench.store.txn(createOnce("/k", "3", id))).status
              == StoreStatus::Rejected);
}

Test(KvStore, conditionsThatTheStoreDoesNotHaveAreRejectedUnsent)
{
    auto bench = Bench();
    auto transaction = Transaction();
    transaction.compares.push_back({.key = "/k", .order = CompareOrder::Greater, .number = 3});
    const auto calls = bench.server.calls();
    cr_assert(bench.wait(bench.store.txn(transaction)).status == StoreStatus::Rejected);
    cr_assert_eq(bench.server.calls(), calls);
}

Test(KvStore, eachFaultHasItsStatus)
{
    struct
    {
        const char *name;
        KvFault fault;
        std::uint32_t times;
        StoreStatus read;
        StoreStatus write;
    } const cases[] = {
            {"busy once", KvFault::Busy, 1, StoreStatus::Ok, StoreStatus::Ok},
            {"busy for long", KvFault::Busy, 99, StoreStatus::Unreachable,
             StoreStatus::Unreachable},
            {"over the rate", KvFault::TooMany, 99, StoreStatus::Unreachable,
             StoreStatus::Unreachable},
            {"answer lost once", KvFault::LoseAnswer, 1, StoreStatus::Ok, StoreStatus::Unknown},
            {"no JSON", KvFault::Garbage, 99, StoreStatus::Unknown, StoreStatus::Unknown},
    };
    for (const auto &it : cases) {
        auto bench = Bench(std::chrono::seconds(1));
        bench.server.put("/k", "v");
        bench.server.failNext(it.fault, it.times);
        const auto read = bench.wait(bench.store.range({.key = "/k"}));
        cr_expect(read.status == it.read, "%s: read", it.name);
        bench.server.failNext(it.fault, it.times);
        const auto written = bench.wait(bench.store.put("/w", "v", 0));
        cr_expect(written.status == it.write, "%s: write", it.name);
    }
}

Test(KvStore, aWatchTellsWhatIsThereAndThenWhatChanges)
{
    auto bench = Bench();
    bench.server.put("op/config", "one");
    auto seen = std::vector<std::string>();
    auto handler = [&](const WatchMessage &message) {
        for (const auto &it : message.events)
            seen.push_back(it.isDelete ? "(deleted)" : it.pair.value);
    };
    const auto cancellation = std::make_shared<transport::Cancellation>();
    auto end = std::optional<StoreResult<WatchEnd>>();
    boost::asio::co_spawn(
            bench.io, bench.store.watch({.key = "op/config"}, handler, cancellation),
            [&](std::exception_ptr, StoreResult<WatchEnd> it) { end = std::move(it); });
    bench.runUntil([&] { return seen.size() == 1; });
    bench.server.put("other", "x");
    bench.server.put("op/config", "two");
    bench.runUntil([&] { return seen.size() == 2; });
    bench.server.remove("op/config");
    bench.runUntil([&] { return seen.size() == 3; });
    cancellation->cancel();
    bench.runUntil([&] { return end.has_value(); });
    cr_assert(seen == (std::vector<std::string>{"one", "two", "(deleted)"}));
}

Test(KvStore, aWatchWhoseHistoryIsGoneStartsAnew)
{
    auto bench = Bench();
    bench.server.put("op/config", "one");
    const auto start = bench.server.revision();
    bench.server.put("op/config", "two");
    bench.server.compact();
    auto handler = [](const WatchMessage &) {};
    const auto end = bench.wait(
            bench.store.watch({.key = "op/config", .startRevision = start}, handler, nullptr));
    cr_assert(end.status == StoreStatus::Rejected);
    cr_assert_eq(end.value.nextRevision, 0);
}

Test(KvStore, aWatchThatFailsGoesOnFromWhereItWas)
{
    auto bench = Bench();
    bench.server.put("op/config", "one");
    const auto next = bench.server.revision() + 1;
    bench.server.failNext(KvFault::Busy, 9);
    auto handler = [](const WatchMessage &) {};
    const auto end = bench.wait(
            bench.store.watch({.key = "op/config", .startRevision = next}, handler, nullptr));
    cr_assert(end.status == StoreStatus::Unreachable);
    cr_assert_eq(end.value.nextRevision, next);
}

/// Returns items that no reader understands, by what is wrong with them. Each has a key that begins with `prefix`, except where
/// the key itself is wrong.
static auto unreadableItems(const std::string &prefix) -> std::map<std::string, nlohmann::json>
{
    using Json = nlohmann::json;
    static constexpr auto Depth = 10'000;
    const auto good = [&](const std::string &name) {
        return Json{{"key", prefix + name}, {"value", "dg=="}, {"revision", 101}, {"lease", 0}};
    };
    const auto with = [&](const std::string &name, const std::string &field, const Json &value) {
        auto item = good(name);
        item[field] = value;
        return std::pair(name, item);
    };
    auto nested = Json::array();
    for (auto n = 0; n < Depth; ++n) {
        auto outer = Json::array();
        outer.push_back(std::move(nested));
        nested = std::move(outer);
    }
    return {
            with("1-value-no-base64", "value", "*"),
            with("2-value-number", "value", 7),
            with("3-revision-too-large", "revision", UINT64_MAX),
            with("4-revision-fraction", "revision", 1e30),
            with("5-revision-negative", "revision", -1),
            with("6-revision-text", "revision", "101"),
            with("7-lease-too-large", "lease", UINT64_MAX),
            with("8-lease-list", "lease", Json::array({1})),
            with("9-created-fraction", "created", 1.5),
            {"a-nested", {{"key", prefix + "a-nested"}, {"value", std::move(nested)}}},
            {"b-empty", Json::object()},
            {"c-no-object", 3},
            with("d-key-number", "key", 5),
    };
}

static auto keysOf(const RangeAnswer &range) -> std::vector<std::string>
{
    auto keys = std::vector<std::string>();
    for (const auto &it : range.pairs)
        keys.push_back(it.key);
    return keys;
}

Test(KvStore, unreadableItemsOfARangeArePassedOver)
{
    for (const auto &[name, item] : unreadableItems("/p/")) {
        auto bench = Bench();
        for (auto n = 0; n < 9; ++n)
            bench.server.put("/p/" + std::to_string(n) + "x", "v");
        bench.server.putItem("/p/" + name, item);
        const auto all =
                bench.wait(bench.store.range({.key = "/p/", .rangeEnd = endOfPrefix("/p/")}));
        cr_expect(all.isOk(), "%s: %s", name.c_str(), all.detail.c_str());
        cr_expect_eq(all.value.pairs.size(), 9, "%s: %zu items", name.c_str(),
                     all.value.pairs.size());
    }
}

Test(KvStore, pagesOfUnreadableItemsAloneArePassedOver)
{
    auto bench = Bench();
    bench.server.put("/p/first", "v");
    for (auto n = 0; n < 12; ++n) {
        const auto key = "/p/m" + std::string(1, static_cast<char>('a' + n));
        bench.server.putItem(key, {{"key", key}, {"value", "*"}, {"revision", 101}});
    }
    bench.server.put("/p/z", "v");
    const auto all = bench.wait(bench.store.range({.key = "/p/", .rangeEnd = endOfPrefix("/p/")}));
    cr_assert(all.isOk(), "%s", all.detail.c_str());
    cr_assert(keysOf(all.value) == (std::vector<std::string>{"/p/first", "/p/z"}));
}

Test(KvStore, pagesThatDoNotAdvanceEndTheRead, .timeout = 60)
{
    auto bench = Bench();
    for (auto n = 0; n < 8; ++n)
        bench.server.put("/p/" + std::to_string(n), "v");
    bench.server.failNext(KvFault::RepeatPage, UINT32_MAX);
    const auto all = bench.wait(bench.store.range({.key = "/p/", .rangeEnd = endOfPrefix("/p/")}));
    cr_assert(all.status == StoreStatus::Unknown);
}

/// A watch of the operators' item, and what it was told.
struct ConfigurationWatch
{
    Bench &bench;
    std::vector<std::string> seen{};
    std::optional<StoreResult<WatchEnd>> end{};
    transport::CancellationPtr cancellation = std::make_shared<transport::Cancellation>();

    auto start(Revision from = 0) -> void
    {
        end.reset();
        auto handler = [this](const WatchMessage &message) {
            for (const auto &it : message.events)
                seen.push_back(it.pair.value);
        };
        boost::asio::co_spawn(
                bench.io,
                bench.store.watch({.key = "op/config", .startRevision = from}, handler,
                                  cancellation),
                [this](std::exception_ptr, StoreResult<WatchEnd> it) { end = std::move(it); });
    }
};

/// The watch starts anew, so that an item that was corrupted on its way is read once more, and one that is corrupted in the store
/// is not read again and again.
Test(KvStore, aWatchThatMeetsAnUnreadableItemStartsAnewAndGoesOn)
{
    for (const auto &[name, item] : unreadableItems("op/config")) {
        auto bench = Bench();
        bench.server.put("op/config", "one");
        auto watch = ConfigurationWatch{bench};
        watch.start();
        bench.runUntil([&] { return watch.seen.size() == 1; });
        auto corrupted = item;
        if (corrupted.is_object() && corrupted.contains("key") && corrupted["key"].is_string())
            corrupted["key"] = "op/config";
        bench.server.putItem("op/config", corrupted);
        bench.runUntil([&] { return watch.end.has_value(); });
        cr_expect_eq(watch.end->value.nextRevision, 0, "%s", name.c_str());
        const auto calls = bench.server.calls();
        watch.start(watch.end->value.nextRevision);
        bench.runUntil([&] { return bench.server.calls() == calls + 2 || watch.end; });
        cr_expect(!watch.end, "%s: the watch ends again: %s", name.c_str(),
                  watch.end ? watch.end->detail.c_str() : "");
        bench.server.put("op/config", "two");
        bench.runUntil([&] { return watch.seen.size() == 2 || watch.end; });
        cr_expect(watch.seen.back() == "two", "%s", name.c_str());
        watch.cancellation->cancel();
        bench.runUntil([&] { return watch.end.has_value(); });
    }
}

Test(KvStore, aWatchOfOneKeyLeavesOutOthersThatBeginWithIt)
{
    auto bench = Bench();
    bench.server.put("op/config", "one");
    bench.server.put("op/config-draft", "draft");
    auto watch = ConfigurationWatch{bench};
    watch.start();
    bench.runUntil([&] { return !watch.seen.empty(); });
    bench.server.put("op/config-draft", "draft");
    bench.server.putItem("op/config-other", {{"key", "op/config-other"}, {"value", "*"}});
    bench.server.put("op/config", "two");
    bench.runUntil(
            [&] { return watch.end || (!watch.seen.empty() && watch.seen.back() == "two"); });
    cr_expect(!watch.end, "an invalid item of another key does not end the watch");
    cr_expect(watch.seen == (std::vector<std::string>{"one", "two"}));
    watch.cancellation->cancel();
    bench.runUntil([&] { return watch.end.has_value(); });
}

Test(KvStore, aLeaseWithAnImpossibleTimeIsNotTaken)
{
    for (const auto *time : {"-1", "1e300", "\"5\"", "[]"}) {
        const auto answer =
                nlohmann::json::parse(std::string(R"({"lease": 3, "ttl_s_time": )") + time + "}");
        cr_expect_throw(platform::kv::decodeLease(answer, 0), std::exception, "%s", time);
    }
}
