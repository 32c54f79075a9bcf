#include <criterion/criterion.h>

#include "../../source/node/AnnouncementRefusals.h"

using namespace stairspur;
using namespace stairspur::node;

Test(AnnouncementRefusals, allAreCountedAndOneASecondIsLogged)
{
    auto refusals = AnnouncementRefusals();
    const auto start = TimePoint{Duration{1'000'000'000}};
    for (auto n = 0; n < 3000; ++n)
        refusals.didRefuse("stranger", "not a number", start + Duration{1'000} * n);
    cr_assert_eq(refusals.count(), 3000);
    cr_assert_eq(refusals.lines(), 3);
}
