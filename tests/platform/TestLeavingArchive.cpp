#include <memory>
#include <vector>

#include <platform/KvStore.h>
#include <stairspur/store/AnyStore.h>

#include "../../source/node/LeavingArchive.h"
#include "standins/platform/KvStandIn.h"

// After Boost, whose headers its macros break.
#include <criterion/criterion.h>

/// The records of leaving process instances in the store, through its client and the stand-in.
using namespace stairspur;
using node::LeavingArchive;
using platform::KvStore;
using standin::KvFault;
using Ids = LeavingArchive::Ids;

static constexpr auto OwnNode = "192.0.2.7:7100";
static constexpr auto Key = "/stairspur/leaving/192.0.2.7:7100";

struct LeavingArchiveBench
{
    /// The archive of one process of the node.
    struct Process
    {
        explicit Process(LeavingArchiveBench &bench)
            : archive(
                    bench.io, bench.store, OwnNode,
                    [this](const Ids &ids) { loaded.push_back(ids); }, [this] { ++saves; })
        {}

        std::vector<Ids> loaded;
        int saves = 0;
        LeavingArchive archive;
    };

    boost::asio::io_context io{1};
    standin::KvStandIn server{io};
    store::AnyStore store{std::make_unique<KvStore>(io, settings(), 1)};

    [[nodiscard]] auto settings() const -> store::StoreSettings
    {
        auto it = store::StoreSettings();
        it.port = server.port();
        it.timeout = std::chrono::milliseconds(500);
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

/// Returns whether the process has loaded its record once, with these ids.
static auto hasLoaded(const LeavingArchiveBench::Process &process, const Ids &ids) -> bool
{
    return process.loaded == std::vector<Ids>(1, ids);
}

Test(LeavingArchive, nextProcessLoadsWhatWasSaved)
{
    auto bench = LeavingArchiveBench();
    auto first = LeavingArchiveBench::Process(bench);
    first.archive.save({1, 2});
    cr_assert_not(first.archive.isSaved());
    bench.runUntil([&] { return first.archive.isSaved(); });
    cr_assert_gt(bench.server.items().at(Key).at("lease").get<std::int64_t>(), 0);
    auto next = LeavingArchiveBench::Process(bench);
    bench.runUntil([&] { return next.archive.isLoaded(); });
    cr_assert(hasLoaded(next, {1, 2}));
}

Test(LeavingArchive, idsAreWrittenAgainUntilTheStoreConfirms)
{
    for (const auto fault : {KvFault::Busy, KvFault::TooMany, KvFault::LoseAnswer}) {
        auto bench = LeavingArchiveBench();
        auto process = LeavingArchiveBench::Process(bench);
        bench.runUntil([&] { return process.archive.isLoaded(); });
        bench.server.failNext(fault, 2);
        process.archive.save({1});
        process.archive.save({1, 2});
        bench.runUntil([&] { return process.archive.isSaved(); });
        auto next = LeavingArchiveBench::Process(bench);
        bench.runUntil([&] { return next.archive.isLoaded(); });
        cr_expect(hasLoaded(next, {1, 2}), "fault %d", static_cast<int>(fault));
    }
}

// The write of a leaving shortly after the start replaced the record of the earlier process.
Test(LeavingArchive, recordIsLoadedBeforeItIsReplaced)
{
    auto bench = LeavingArchiveBench();
    auto first = LeavingArchiveBench::Process(bench);
    first.archive.save({1});
    bench.runUntil([&] { return first.archive.isSaved(); });
    bench.server.failNext(KvFault::Busy, 5);
    auto next = LeavingArchiveBench::Process(bench);
    next.archive.save({2});
    bench.runUntil([&] { return next.archive.isSaved(); });
    cr_assert(hasLoaded(next, {1}));
}

Test(LeavingArchive, unreadableRecordIsReplaced)
{
    auto bench = LeavingArchiveBench();
    bench.server.put(Key, "unreadable");
    auto process = LeavingArchiveBench::Process(bench);
    process.archive.save({1});
    bench.runUntil([&] { return process.archive.isSaved(); });
    cr_assert(hasLoaded(process, {}));
}
