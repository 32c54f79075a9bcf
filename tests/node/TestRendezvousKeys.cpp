#include <criterion/criterion.h>

#include "../../source/node/RendezvousKeys.h"

using namespace stairspur;
using namespace stairspur::node;

static constexpr auto Slots = 3U;

static auto read(const std::vector<store::KeyValue> &pairs) -> RendezvousKeys
{
    return readRendezvousKeys(pairs, "/keys/north/", Slots);
}

static auto pair(const std::string &key, const std::string &value) -> store::KeyValue
{
    auto result = store::KeyValue();
    result.key = key;
    result.value = value;
    return result;
}

Test(RendezvousKeys, parsesSlotsAndHints)
{
    const auto keys =
            read({pair("/keys/north/1", "10.0.0.1:7100"), pair("/keys/south/0", "10.0.1.1:7100")});
    cr_assert(!keys.holders[0] && !keys.holders[2]);
    cr_assert_eq(keys.holders[1], "10.0.0.1:7100");
    cr_assert_eq(keys.hints.size(), 2);
    cr_assert(keys.hasOtherDomains);
    cr_assert_eq(keys.ignored, 0);
}

Test(RendezvousKeys, invalidKeysYieldNoHints)
{
    const auto foreign = std::vector<store::KeyValue>{
            pair("/keys/north/3", "10.0.0.1:7100"),
            pair("/keys/north/-1", "10.0.0.1:7100"),
            pair("/keys/north/1x", "10.0.0.1:7100"),
            pair("/keys/north/", "10.0.0.1:7100"),
            pair("/keys/south/leader", "10.0.0.1:7100"),
            pair("/keys/south/0", ""),
            pair("/keys/south/0", "10.0.0.1"),
            pair("/keys/south/0", "10.0.0.1:99999"),
            pair("/keys/south/0", "\xff\xfe"),
            pair("/keys/south/0", std::string(100'000, '7')),
    };
    for (const auto &it : foreign) {
        const auto keys = read({it});
        cr_expect(keys.hints.empty(), "%s %.20s", it.key.c_str(), it.value.c_str());
        cr_expect(!keys.hasOtherDomains);
        cr_expect_eq(keys.ignored, 1);
    }
    // The slot counts as taken, since its key exists and each claim would fail.
    cr_assert(read({pair("/keys/north/2", "?")}).holders[2]);
}
