#include <criterion/criterion.h>

#include <stairspur/keyed/RecordTable.h>

using namespace stairspur;
using namespace stairspur::keyed;

static constexpr auto lifetime = WallMilliseconds{600'000};
static constexpr auto margin = WallMilliseconds{30'000};
static constexpr auto start = WallMilliseconds{1'700'000'000'000};

static auto mintedAt(WallMilliseconds when) -> std::string
{
    char text[40];
    std::snprintf(text, sizeof text, "%08llx-%04llx-7000-8000-000000000001",
                  static_cast<unsigned long long>(when >> 16U),
                  static_cast<unsigned long long>(when & 0xffffU));
    return text;
}

static auto recordOf(const std::string &key, UpdateId update, WallMilliseconds recordedAt)
        -> KeyRecord
{
    auto record = KeyRecord{key, 1};
    record.update = update;
    record.recordedAt = recordedAt;
    return record;
}

Test(RecordTable, onlyNewerUpdatesAreStored)
{
    auto table = RecordTable({lifetime, margin, 10, 100});
    cr_assert(table.apply(recordOf("k", {1, 2}, start)));
    cr_assert_not(table.apply(recordOf("k", {1, 2}, start)));
    cr_assert_not(table.apply(recordOf("k", {1, 1}, start)));
    cr_assert(table.apply(recordOf("k", {2, 1}, start)));
}

Test(RecordTable, droppedKeysWithMintTimeAreBelowLowWaterMark)
{
    auto table = RecordTable({lifetime, margin, 10, 100});
    const auto key = mintedAt(start);
    table.put(recordOf(key, {1, 1}, start + 5));
    cr_assert_eq(table.dropExpired(start + lifetime + margin, true), 0);
    cr_assert_not_null(table.find(key));
    cr_assert_eq(table.dropExpired(start + lifetime + margin + 6, true), 1);
    cr_assert(table.mayHaveRun(key, true, start + lifetime + margin + 6));
    const auto later = start + lifetime;
    cr_assert_not(table.mayHaveRun(mintedAt(later), true, later));
}

Test(RecordTable, keyMintedAheadIsKeptUntilMarkPassesItsMintTime)
{
    auto table = RecordTable({lifetime, margin, 10, 100});
    const auto key = mintedAt(start + 20'000);
    table.put(recordOf(key, {1, 1}, start));
    cr_assert_eq(table.dropExpired(start + lifetime + margin + 10'000, true), 0);
    cr_assert_eq(table.dropExpired(start + lifetime + margin + 20'001, true), 1);
}

Test(RecordTable, olderKeysMayHaveRunAfterLossOrHomeChange)
{
    struct Case
    {
        const char *name;
        std::string key;
        bool isExplicit;
        WallMilliseconds now;
        bool afterLoss;
        bool afterHomeChange;
    };
    const auto soon = start + 3 * margin;
    const auto late = start + lifetime + 2 * margin + 1;
    const Case cases[] = {
            {"opaque, soon", "order-1", false, soon, true, true},
            {"opaque with an explicit home, soon", "centre/order-1", true, soon, true, false},
            {"opaque, after its lifetime", "order-1", false, late, false, false},
            {"minted before", mintedAt(start - 1), false, late, true, true},
            {"minted within the margin", mintedAt(start + margin), false, soon, true, true},
            {"minted after", mintedAt(start + 2 * margin + 1), false, soon, false, false},
    };
    for (const auto &it : cases) {
        auto lost = RecordTable({lifetime, margin, 10, 100});
        lost.recordLoss(start);
        cr_assert_eq(lost.mayHaveRun(it.key, it.isExplicit, it.now), it.afterLoss, "%s", it.name);
        auto moved = RecordTable({lifetime, margin, 10, 100});
        moved.recordHomeChange(start);
        cr_assert_eq(moved.mayHaveRun(it.key, it.isExplicit, it.now), it.afterHomeChange, "%s",
                     it.name);
    }
}
