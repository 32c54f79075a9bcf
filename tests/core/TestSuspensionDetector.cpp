#include <criterion/criterion.h>

#include <stairspur/core/SuspensionDetector.h>

using namespace stairspur;
using namespace std::chrono_literals;

Test(SuspensionDetector, longPauseIsReportedOnce)
{
    const auto start = TimePoint(10s);
    auto detector = SuspensionDetector(1s, start);
    cr_assert_not(detector.didRun(start + 1s));
    cr_assert(detector.didRun(start + 2s + 1us));
    cr_assert_not(detector.didRun(start + 2s + 2us));
}
