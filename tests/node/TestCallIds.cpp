#include <criterion/criterion.h>

#include <set>

#include "CallPathHarness.h"

using namespace stairspur;
using namespace stairspur::node;

Test(CallIds, backendServersReceiveOnlyIdsOfTheSource)
{
    auto seen = std::vector<std::string>();
    auto path = CallPathHarness();
    path.addHost("menu", [&](auto request, auto) -> transport::Task<transport::HttpResponse> {
        seen.emplace_back(request.headers.find("Stairspur-Call"));
        co_return backendAnswer(200, "soup");
    });
    for (const auto *it : {"a", "b"}) {
        path.start(path.request("menu", it));
        cr_assert(path.finish());
    }
    // Ids don't come from the decisions' generator, because its state can be computed from its numbers.
    cr_assert_eq(seen.size(), 2);
    cr_assert_eq(seen[0], "00000000ca110001");
    cr_assert_eq(seen[1], "00000000ca110002");
}

Test(CallIds, secureIdsDifferBetweenAndWithinSources)
{
    static constexpr auto Count = 1000; // Needs several batches.
    auto sources = std::array<SecureCallIds, 2>();
    auto ids = std::set<CallId>();
    for (auto i = 0; i < Count; ++i) {
        for (auto &it : sources)
            ids.insert(it.next());
    }
    // The probability that two of 2000 ids of 64 bits are equal is about 10^-13.
    cr_assert_eq(ids.size(), Count * sources.size());
    cr_assert_not(ids.contains(0));
}
