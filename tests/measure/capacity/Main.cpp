// Prints the slopes from which docs/CAPACITY.md is worked out: what a member, a service, a link or a call holds, and what
// a decision costs, with the real classes. Ends by itself after a few seconds; opens links on loopback only.
#include "Measurements.h"

auto main() -> int
{
    stairspur::capacity::measureState();
    stairspur::capacity::measureDecisions();
    stairspur::capacity::measureLinks();
    return 0;
}
