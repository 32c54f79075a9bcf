#include "../../source/node/StatementTracker.h"

#include <criterion/criterion.h>

using namespace stairspur;
using namespace stairspur::node;
using namespace std::chrono_literals;

static constexpr auto Fields = StatementFields{"Rate", "Leaving"};
static constexpr auto Start = TimePoint{1'000s};

static auto readRate(const std::string &value) -> ResponseStatement
{
    auto headers = transport::HeaderList();
    headers.add("rate", value);
    return readStatement(headers, Fields);
}

static auto stating(std::optional<double> rate) -> ResponseStatement
{
    return {{.rateLimit = rate}, {}};
}

static auto trackerOf(const std::string &instance) -> StatementTracker
{
    auto tracker = StatementTracker();
    tracker.didReplaceBackend({instance, 0});
    return tracker;
}

Test(Statements, onlyADecimalNumberIsARate)
{
    const std::pair<const char *, double> rates[] = {
            {"12.3", 12.3}, {"0", 0.0},  {"0.05", 0.05},           {"5000", 5000.0},
            {".5", 0.5},    {"7.", 7.0}, {"9999999999999999", 1e9}};
    for (const auto &[text, rate] : rates) {
        const auto read = readRate(text);
        cr_expect(read.statement.rateLimit == rate, "%s", text);
        cr_expect(read.unreadableRate.empty(), "%s", text);
    }
    const char *unreadable[] = {"",
                                "nan",
                                "inf",
                                "-1",
                                "+1",
                                "1e400",
                                "1e3",
                                "0x10",
                                "12,3",
                                "1 2",
                                "1.2.3",
                                ".",
                                "12.3 a second",
                                "1111111111111111111111111111111111111111"};
    for (const auto *text : unreadable) {
        const auto read = readRate(text);
        cr_expect(!read.statement.rateLimit, "%s", text);
        cr_expect(!read.unreadableRate.empty(), "%s", text);
    }
}

Test(Statements, twoFieldsAreUnreadable)
{
    auto headers = transport::HeaderList();
    headers.add("Rate", "1");
    headers.add("rate", "2");
    const auto read = readStatement(headers, Fields);
    cr_assert(!read.statement.rateLimit);
    cr_assert(!read.unreadableRate.empty());
}

Test(Statements, anUnreadableRateChangesNothing)
{
    auto tracker = trackerOf("a");
    tracker.didRespond(stating(5.0), Outcome::Answered, Start, Start + 10ms);
    cr_assert(!tracker.didRespond(readRate("nan"), Outcome::Answered, Start + 1s, Start + 2s));
    cr_assert(tracker.current().rateLimit == 5.0);
}

Test(Statements, aRateEndsOnlyWithALaterRequestsAnswer)
{
    auto tracker = trackerOf("a");
    cr_assert(tracker.didRespond(stating(5.0), Outcome::Answered, Start, Start + 10ms));
    cr_assert(!tracker.didRespond(stating(std::nullopt), Outcome::Answered, Start + 5ms,
                                  Start + 20ms),
              "the answer may be older than the statement");
    cr_assert(
            !tracker.didRespond(stating(std::nullopt), Outcome::NotRun, Start + 30ms, Start + 40ms),
            "a refusal says nothing");
    cr_assert(
            !tracker.didRespond(stating(std::nullopt), Outcome::Failed, Start + 30ms, Start + 40ms),
            "an error may come from a proxy");
    cr_assert(tracker.current().rateLimit == 5.0);
    cr_assert(tracker.didRespond(stating(std::nullopt), Outcome::Answered, Start + 30ms,
                                 Start + 40ms));
    cr_assert(tracker.current().isEmpty());
}

Test(Statements, leavingHoldsForGood)
{
    auto tracker = trackerOf("a");
    auto leaving = stating(5.0);
    leaving.statement.isLeaving = true;
    cr_assert(tracker.didRespond(leaving, Outcome::NotRun, Start, Start + 10ms));
    tracker.didRespond(stating(std::nullopt), Outcome::Answered, Start + 1s, Start + 2s);
    cr_assert(tracker.current().isLeaving);
    cr_assert(!tracker.current().rateLimit);
    tracker.didReplaceBackend({"b", 0});
    cr_assert(!tracker.current().isLeaving);
}

Test(Statements, onlyOneMeansLeaving)
{
    for (const auto *text : {"", "0", "true", "11"}) {
        auto headers = transport::HeaderList();
        headers.add("Leaving", text);
        cr_expect(!readStatement(headers, Fields).statement.isLeaving, "%s", text);
    }
    auto headers = transport::HeaderList();
    headers.add("leaving", "1");
    cr_assert(readStatement(headers, Fields).statement.isLeaving);
}

Test(Statements, leavingIsAdoptedAfterAnAnswerToo)
{
    auto former = trackerOf("a");
    auto leaving = stating(std::nullopt);
    leaving.statement.isLeaving = true;
    former.didRespond(leaving, Outcome::Answered, Start, Start);
    auto restarted = trackerOf("a");
    restarted.didRespond(stating(std::nullopt), Outcome::Answered, Start, Start + 1s);
    cr_assert(restarted.adopt(*former.known(), Start + 2s));
    cr_assert(restarted.current().isLeaving);
}

Test(Statements, aNewProcessInstanceHasStatedNothing)
{
    auto tracker = trackerOf("a");
    tracker.didRespond(stating(5.0), Outcome::Answered, Start, Start);
    tracker.didReplaceBackend({"b", 0});
    cr_assert(tracker.current().isEmpty());
    cr_assert(!tracker.known());
}

Test(Statements, aRestartedGateAdoptsWhatEntriesKnowOfTheSameInstance)
{
    auto former = trackerOf("a");
    former.didRespond(stating(5.0), Outcome::Answered, Start, Start);
    const auto known = *former.known();
    cr_assert(!trackerOf("b").adopt(known, Start), "another process instance");

    auto restarted = trackerOf("a");
    cr_assert(restarted.adopt(known, Start));
    cr_assert(restarted.current().rateLimit == 5.0);
    cr_assert(restarted.known() == known);
    restarted.didRespond(stating(std::nullopt), Outcome::Answered, Start + 1s, Start + 2s);
    cr_assert(!restarted.adopt(known, Start + 3s), "the server's own answer is newer");
    cr_assert(restarted.current().isEmpty());
}

Test(Statements, anInstanceWithoutANameIsNotRecognized)
{
    auto tracker = trackerOf("");
    tracker.didRespond(stating(5.0), Outcome::Answered, Start, Start);
    const auto known = *tracker.known();
    cr_assert(!trackerOf("").adopt(known, Start));
}
