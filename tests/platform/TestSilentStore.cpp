#include <memory>
#include <optional>

#include <boost/asio/co_spawn.hpp>

#include <platform/KvStore.h>
#include <stairspur/store/HedgeDelay.h>

#include "standins/platform/KvStandIn.h"
#include "store/WaitFor.h"
#include "transport/SilencingRelay.h"

// After Boost, whose headers its macros break.
#include <criterion/criterion.h>

/// Connections to the platform's store that fall silent while new ones work.
using namespace stairspur;
using namespace stairspur::store;
using platform::KvStore;
using transport::Task;
using transport::test::SilencingRelay;

/// No attempt ends by itself within a test.
static constexpr auto NoTimeout = std::chrono::seconds(600);

struct SilentBench
{
    boost::asio::io_context io{1};
    standin::KvStandIn server{io};
    SilencingRelay relay{io, server.port()};
    KvStore store{io, settings(), 1};

    [[nodiscard]] auto settings() const -> StoreSettings
    {
        auto it = StoreSettings();
        it.port = relay.port();
        it.timeout = NoTimeout;
        it.callsPerSecond = 1000;
        it.burst = 1000;
        return it;
    }

    template <typename Value>
    auto wait(Task<Value> task) -> Value
    {
        return waitFor(io, std::move(task));
    }

    template <typename Value>
    auto begin(Task<Value> task, std::optional<Value> &result) -> void
    {
        boost::asio::co_spawn(io, std::move(task), [&result](const std::exception_ptr &, Value it) {
            result = std::move(it);
        });
    }

    /// Opens and keeps so many connections.
    auto keepConnections(std::size_t n) -> void
    {
        auto reads = std::vector<std::optional<StoreResult<RangeAnswer>>>(n);
        for (auto &it : reads)
            begin(store.range({.key = "/k"}), it);
        for (auto &it : reads) {
            while (!it)
                io.run_one();
        }
        cr_assert_eq(relay.accepted(), n);
    }
};

Test(SilentStore, aReadOnASilentConnectionIsAnsweredOverAFreshOne)
{
    auto bench = SilentBench();
    bench.server.put("/k", "v");
    bench.keepConnections(3);
    bench.relay.silenceOpen();
    const auto found = bench.wait(bench.store.range({.key = "/k"}));
    cr_assert(found.isOk(), "%s", found.detail.c_str());
    cr_assert_eq(found.value.pairs.size(), 1);
    cr_assert(found.hasFoundSilentConnection);
    cr_assert_eq(bench.relay.accepted(), 4);
}

Test(SilentStore, oneSilentConnectionMakesTheOthersOfItsAgeSuspect)
{
    auto bench = SilentBench();
    bench.server.put("/k", "v");
    bench.keepConnections(3);
    bench.relay.silenceOpen();
    cr_assert(bench.wait(bench.store.range({.key = "/k"})).hasFoundSilentConnection);
    for (auto n = 0; n < 3; ++n) {
        const auto found = bench.wait(bench.store.range({.key = "/k"}));
        cr_assert(found.isOk());
        cr_assert_not(found.hasFoundSilentConnection);
    }
    cr_assert_eq(bench.relay.accepted(), 4);
}

Test(SilentStore, aLeaseIsKeptOverAFreshConnection)
{
    auto bench = SilentBench();
    const auto lease = bench.wait(bench.store.grantLease(std::chrono::seconds(5)));
    bench.relay.silenceOpen();
    cr_assert(bench.wait(bench.store.keepLeaseAlive(lease.value.lease)).isOk());
}

Test(SilentStore, aReadThatIsAnsweredInTimeIsSentOnce)
{
    auto bench = SilentBench();
    bench.server.put("/k", "v");
    bench.keepConnections(1);
    const auto before = bench.server.calls();
    const auto found = bench.wait(bench.store.range({.key = "/k"}));
    cr_assert(found.isOk());
    cr_assert_not(found.hasFoundSilentConnection);
    cr_assert_eq(bench.server.calls(), before + 1);
}

Test(HedgeDelay, followsTheLatestAnswerWithinItsBounds)
{
    auto delay = HedgeDelay();
    cr_expect(delay.value() == HedgeDelay::MinDelay);
    delay.didReceiveAnswer(std::chrono::milliseconds(4));
    cr_expect(delay.value() == HedgeDelay::MinDelay);
    delay.didReceiveAnswer(std::chrono::milliseconds(240));
    cr_expect(delay.value() == std::chrono::milliseconds(480));
    delay.didReceiveAnswer(std::chrono::seconds(30));
    cr_expect(delay.value() == HedgeDelay::MaxDelay);
    delay.didReceiveAnswer(std::chrono::milliseconds(4));
    cr_expect(delay.value() == HedgeDelay::MinDelay);
}
