#include <stairspur/quarantine/CrashDetector.h>

#include "VirtualFleet.h"

// Included after the standard headers, because its macros replace words that they use.
#include <criterion/criterion.h>

using namespace stairspur;
using namespace stairspur::quarantine;

using Requests = std::vector<RequestFingerprint>;

static auto sorted(Requests requests) -> Requests
{
    std::sort(requests.begin(), requests.end());
    return requests;
}

Test(CrashDetector, crashReturnsRunningAndBrokenCalls)
{
    auto detector = CrashDetector();
    for (auto n = CallId{1}; n <= 4; ++n)
        detector.didSend(n, requestOf(n));
    detector.didAnswer(1);
    detector.didEndOtherwise(2);
    cr_assert(detector.didLoseConnection(3));
    cr_assert_eq(detector.takeSuspects(), sorted({requestOf(3), requestOf(4)}));
    cr_assert(!detector.didLoseConnection(4), "the call was already reported as part of the crash");
    cr_assert(detector.takeSuspects().empty());
}

Test(CrashDetector, answerClearsCallsThatBrokeBeforeItWasSent)
{
    auto detector = CrashDetector();
    detector.didSend(1, requestOf(1));
    detector.didLoseConnection(1);
    detector.didSend(2, requestOf(2));
    detector.didAnswer(2);
    cr_assert(detector.didReplaceBackend(false).empty());
}

Test(CrashDetector, answerOfACallSentBeforeABreakDoesNotClearIt)
{
    auto detector = CrashDetector();
    detector.didSend(1, requestOf(1));
    detector.didSend(2, requestOf(2));
    detector.didLoseConnection(1);
    detector.didAnswer(2);
    cr_assert_eq(detector.didReplaceBackend(false), Requests{requestOf(1)},
                 "a quick restart of the server explains the broken connection");
}

Test(CrashDetector, expectedReplacementReturnsNoRequests)
{
    auto detector = CrashDetector();
    detector.didSend(1, requestOf(1));
    detector.didLoseConnection(1);
    cr_assert(detector.didReplaceBackend(true).empty());
}
