#include <criterion/criterion.h>

#include "../../source/node/ObservedCalls.h"

using namespace stairspur;
using namespace stairspur::node;
using namespace std::chrono_literals;

static constexpr auto Start = TimePoint{1h};

Test(ObservedCalls, servicesAreLearntByClass)
{
    auto calls = ObservedCalls();
    calls.didCall(0, "maps", Start);
    calls.didCall(2, "kitchen", Start);
    calls.didCall(2, "maps", Start);
    cr_assert(calls.servicesFor(0, Start) == std::vector<std::string>{"maps"});
    cr_assert(calls.servicesFor(1, Start).empty());
    cr_assert(calls.servicesFor(2, Start) == (std::vector<std::string>{"kitchen", "maps"}));
}

Test(ObservedCalls, whatIsNotCalledForAWhileIsForgotten)
{
    auto calls = ObservedCalls();
    calls.didCall(1, "maps", Start);
    calls.didCall(1, "kitchen", Start + 30s);
    cr_assert(calls.servicesFor(1, Start + 59s).size() == 2);
    cr_assert(calls.servicesFor(1, Start + 61s) == std::vector<std::string>{"kitchen"});
}
