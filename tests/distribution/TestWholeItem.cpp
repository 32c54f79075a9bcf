#include <stairspur/config/Sections.h>
#include <stairspur/distribution/DistributionState.h>

#include "../../source/distribution/WholeItemSplitter.h"

#include <criterion/criterion.h>

using namespace stairspur;
using namespace stairspur::distribution;
using namespace std::chrono_literals;

static constexpr auto Start = TimePoint{1h};

static auto makeItem(std::uint64_t version, std::uint32_t maxAttempts) -> WholeItem
{
    auto item = WholeItem();
    item.version = version;
    item.configuration.classes = {{"orders", 0}};
    item.configuration.services = {{.name = "menu"}};
    item.configuration.routes = {{.name = "views",
                                  .host = "a",
                                  .pathPrefix = "/v/",
                                  .targets = {{"menu", 1}},
                                  .className = "orders",
                                  .maxAttempts = maxAttempts}};
    item.configuration.ingress = config::IngressLimits{.maxBodyBytes = 7};
    return item;
}

/// Passes an item to a node as its watch does, and executes the node's reads of sections.
static auto watchItem(DistributionState<> &state, const WholeItem &item) -> void
{
    const auto split = splitWholeItem(item);
    state.didWatchHead(split.head, Start);
    for (const auto &action : state.takeActions()) {
        if (std::holds_alternative<ReadSections>(action))
            state.didReadSections(split.blobs, Start);
    }
}

Test(WholeItem, aNodeTakesItIntoForceWithItsRoutes)
{
    auto state = DistributionState<>("n", "north", {}, true, 1);
    watchItem(state, makeItem(7, 2));
    cr_assert_eq(state.current().version(), 7);
    const auto configuration = config::joinSections(state.current().sections());
    cr_assert_eq(configuration.routes.size(), 1);
    cr_assert_eq(configuration.routes[0].pathPrefix, "/v/");
    cr_assert_eq(configuration.routes[0].maxAttempts, 2);
    cr_assert_eq(configuration.ingress->maxBodyBytes, 7);
}

Test(WholeItem, versionsGoForwardOnlyWhateverTheirGaps)
{
    auto state = DistributionState<>("n", "north", {}, true, 1);
    watchItem(state, makeItem(7, 2));
    watchItem(state, makeItem(12, 3));
    watchItem(state, makeItem(9, 4));
    cr_assert_eq(state.current().version(), 12);
    cr_assert_eq(config::joinSections(state.current().sections()).routes[0].maxAttempts, 3);
}

Test(WholeItem, allHostsComputeTheSameHashOfAnItem)
{
    cr_assert_eq(splitWholeItem(makeItem(7, 2)).head.hash,
                 splitWholeItem(makeItem(7, 2)).head.hash);
    cr_assert_neq(splitWholeItem(makeItem(7, 2)).head.hash,
                  splitWholeItem(makeItem(7, 3)).head.hash);
}
