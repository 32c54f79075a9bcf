#include <memory>
#include <vector>

#include <platform/KvStore.h>
#include <stairspur/store/AnyStore.h>

#include "../../source/node/QuarantineArchive.h"
#include "standins/platform/KvStandIn.h"
#include "store/WaitFor.h"

// After Boost, whose headers its macros break.
#include <criterion/criterion.h>

/// What the store keeps of requests that are refused, through its client and the stand-in.
using namespace stairspur;
using platform::KvStore;
using standin::KvFault;

struct ArchiveBench
{
    boost::asio::io_context io{1};
    standin::KvStandIn server{io};
    store::AnyStore store{std::make_unique<KvStore>(io, settings(), 1)};
    std::vector<std::string> restored;
    node::QuarantineArchive archive{
            io, store, [this](const std::string &saved) { restored.push_back(saved); }};

    [[nodiscard]] auto settings() const -> store::StoreSettings
    {
        auto it = store::StoreSettings();
        it.port = server.port();
        it.timeout = std::chrono::seconds(10);
        it.callsPerSecond = 1000;
        it.burst = 1000;
        it.minBackoff = std::chrono::milliseconds(1);
        it.maxBackoff = std::chrono::milliseconds(2);
        return it;
    }

    auto runUntil(const std::function<bool()> &isDone) -> void
    {
        while (!isDone())
            io.run_one();
    }
};

static constexpr auto Key = "/stairspur/quarantine/menu/0123456789ab";

Test(QuarantineArchive, aVerdictIsKeptWithALeaseAndReadByWhoStarts)
{
    auto bench = ArchiveBench();
    bench.archive.setService("menu");
    bench.archive.save("0123456789ab", "crashes");
    bench.runUntil([&] { return bench.server.items().contains(Key); });
    cr_assert_gt(bench.server.items().at(Key).at("lease").get<std::int64_t>(), 0);

    auto restored = std::vector<std::string>();
    auto other = node::QuarantineArchive(
            bench.io, bench.store, [&](const std::string &saved) { restored.push_back(saved); });
    other.setService("menu");
    bench.runUntil([&] { return !restored.empty(); });
    cr_assert_eq(restored, std::vector<std::string>{"crashes"});
    cr_assert_gt(bench.server.staleReads(), 0, "a tenth of the price is enough");

    bench.archive.save("0123456789ab", "");
    bench.runUntil([&] { return !bench.server.items().contains(Key); });
}

Test(QuarantineArchive, aStoreThatFailsIsAskedAgain)
{
    auto bench = ArchiveBench();
    bench.server.put(Key, "crashes");
    bench.server.failNext(KvFault::Busy, 5);
    bench.archive.setService("menu");
    bench.runUntil([&] { return !bench.restored.empty(); });
    bench.server.failNext(KvFault::Busy, 5);
    bench.archive.save("ba9876543210", "others");
    bench.runUntil([&] {
        return bench.server.items().contains("/stairspur/quarantine/menu/ba9876543210");
    });
}

Test(QuarantineArchive, otherServicesVerdictsAreNotRead)
{
    auto bench = ArchiveBench();
    bench.server.put("/stairspur/quarantine/maps/0123456789ab", "of maps");
    bench.server.put(Key, "of menu");
    bench.archive.setService("menu");
    bench.runUntil([&] { return !bench.restored.empty(); });
    cr_assert_eq(bench.restored, std::vector<std::string>{"of menu"});
}
