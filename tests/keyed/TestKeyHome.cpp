#include <criterion/criterion.h>

#include <map>

#include <stairspur/core/Error.h>
#include <stairspur/keyed/KeyHome.h>

using namespace stairspur;
using namespace stairspur::keyed;

static const auto domains = std::vector<std::string>{"bezigrad", "centre", "domzale"};

Test(KeyHome, prefixPrecedesCallerHomeAndCallerHomePrecedesHash)
{
    struct Case
    {
        const char *key;
        const char *callerHome;
        const char *expected;
    };
    const Case cases[] = {
            {"domzale/order-1", "centre", "domzale"},
            {"order-1", "centre", "centre"},
            {"elsewhere/order-1", "centre", "centre"},
            {"domzale", "bezigrad", "bezigrad"},
    };
    for (const auto &it : cases)
        cr_assert_eq(homeOf(it.key, it.callerHome, domains), it.expected, "key %s", it.key);
}

Test(KeyHome, hashSpreadsKeysAndANewDomainTakesOnlyItsShare)
{
    auto counts = std::map<std::string, int>();
    auto moved = 0;
    auto more = domains;
    more.emplace_back("kranj");
    for (int n = 0; n < 4000; ++n) {
        const auto key = "order-" + std::to_string(n);
        const auto home = homeOf(key, "", domains);
        const auto later = homeOf(key, "gone", more);
        ++counts[home];
        cr_assert(later == home || later == "kranj");
        moved += later != home ? 1 : 0;
    }
    for (const auto &it : domains)
        cr_assert(counts[it] > 1100 && counts[it] < 1570, "%s has %d", it.c_str(), counts[it]);
    cr_assert(moved > 800 && moved < 1200, "%d moved", moved);
}

Test(KeyHome, emptyDomainsAreAnError)
{
    cr_assert_throw(homeOf("order-1", "", {}), InputError);
}

Test(KeyHome, slotsOfAServiceAreUsedEvenly)
{
    auto counts = std::vector<int>(8);
    for (int n = 0; n < 8000; ++n)
        ++counts[slotOf("order-intake", scopedKey("kitchen", std::to_string(n)), 8)];
    for (const auto it : counts)
        cr_assert(it > 850 && it < 1150, "%d in one slot", it);
    cr_assert_neq(scopedKey("a", "b"), scopedKey("", "ab"));
}

Test(KeyHome, mintTimeComesFromVersion7Only)
{
    struct Case
    {
        const char *key;
        WallMilliseconds expected; ///< 0 when the key has no mint time.
    };
    const Case cases[] = {
            {"017f22e2-79b0-7cc3-98c4-dc0c0c07398f", 0x017f22e279b0},
            {"centre/017F22E2-79B0-7CC3-98C4-DC0C0C07398F", 0x017f22e279b0},
            {"017f22e2-79b0-4cc3-98c4-dc0c0c07398f", 0},
            {"017f22e2+79b0-7cc3-98c4-dc0c0c07398f", 0},
            {"017f22e2-79b0-7cc3-98c4-dc0c0c07398g", 0},
            {"order-1", 0},
            {"", 0},
    };
    for (const auto &it : cases)
        cr_assert_eq(mintTimeOf(it.key).value_or(0), it.expected, "key %s", it.key);
}
