#include <criterion/criterion.h>

#include <functional>
#include <optional>
#include <vector>

#include <stairspur/retry/AttemptProgress.h>

using namespace stairspur;
using namespace stairspur::retry;

/// The events of an attempt in the order of the columns of the table in docs/design/retries.md.
enum class Event {
    Send,
    NotArrived,
    Rejected,
    MayHaveRun,
    Answered,
    Finish,
};
static constexpr auto Events = std::array{Event::Send,       Event::NotArrived, Event::Rejected,
                                          Event::MayHaveRun, Event::Answered,   Event::Finish};

static auto apply(AttemptProgress &progress, Event event) -> void
{
    switch (event) {
    case Event::Send:
        return progress.didSend();
    case Event::NotArrived:
        return progress.didEnd(SendEnd::NotArrived);
    case Event::Rejected:
        return progress.didEnd(SendEnd::Rejected);
    case Event::MayHaveRun:
        return progress.didEnd(SendEnd::MayHaveRun);
    case Event::Answered:
        return progress.didEnd(SendEnd::Answered);
    case Event::Finish:
        progress.finish();
    }
}

/// Returns the stage after `event`; nothing if the event is not allowed.
static auto stageAfter(AttemptProgress progress, Event event) -> std::optional<AttemptStage>
{
    try {
        apply(progress, event);
        return progress.stage();
    } catch (const IllegalProgress &) {
        return std::nullopt;
    }
}

/// Calls `visit` with each order of up to `length` allowed events, and the progress after it.
static auto
forEachOrder(const AttemptProgress &progress, std::vector<Event> &events, std::size_t length,
             const std::function<void(const std::vector<Event> &, const AttemptProgress &)> &visit)
        -> void
{
    visit(events, progress);
    if (events.size() == length)
        return;
    for (const auto it : Events) {
        if (!stageAfter(progress, it))
            continue;
        auto next = progress;
        apply(next, it);
        events.push_back(it);
        forEachOrder(next, events, length, visit);
        events.pop_back();
    }
}

static auto countOf(const std::vector<Event> &events, Event event) -> std::ptrdiff_t
{
    return std::ranges::count(events, event);
}

Test(AttemptProgress, anAttemptThatMayHaveRunIsNeitherRefusedNorSentAgain)
{
    static constexpr auto MaxEvents = std::size_t{9};
    for (const auto mustRunOnce : {false, true}) {
        auto orders = 0;
        auto refusals = 0;
        auto events = std::vector<Event>();
        forEachOrder(AttemptProgress(mustRunOnce), events, MaxEvents,
                     [&](const auto &order, const auto &progress) {
                         ++orders;
                         const auto runs = countOf(order, Event::MayHaveRun)
                                           + countOf(order, Event::Answered);
                         if (mustRunOnce)
                             cr_expect_leq(runs, 1);
                         if (progress.stage() == AttemptStage::Refused) {
                             ++refusals;
                             cr_expect_eq(runs, 0);
                         }
                         cr_expect(!progress.isProvenNotRun() || runs == 0);
                         cr_expect_eq(progress.sends(), countOf(order, Event::Send));
                         cr_expect_eq(progress.hasArrived(),
                                      runs + countOf(order, Event::Rejected) > 0);
                     });
        cr_expect_gt(orders, 100);
        cr_expect_gt(refusals, 10);
    }
}

Test(AttemptProgress, nothingFollowsTheAnswerToTheCaller)
{
    auto events = std::vector<Event>();
    forEachOrder(AttemptProgress(false), events, 5, [](const auto &, const auto &progress) {
        const auto stage = progress.stage();
        const auto isFinal = stage == AttemptStage::Answered || stage == AttemptStage::Refused
                             || stage == AttemptStage::GivenUp;
        for (const auto it : Events)
            cr_expect(!isFinal || !stageAfter(progress, it));
    });
}

Test(AttemptProgress, aContradictingAnswerCountsAsARun)
{
    cr_expect(sendEndOf(Outcome::NotRun, Reason::BelowFloor, false) == SendEnd::NotArrived);
    cr_expect(sendEndOf(Outcome::NotRun, Reason::BackendShed, false) == SendEnd::Rejected);
    cr_expect(sendEndOf(Outcome::NotRun, Reason::BackendShed, true) == SendEnd::MayHaveRun);
    cr_expect(sendEndOf(Outcome::Failed, Reason::BackendFailed, false) == SendEnd::MayHaveRun);
    cr_expect(sendEndOf(Outcome::Unknown, Reason::LinkLost, false) == SendEnd::MayHaveRun);
    cr_expect(sendEndOf(Outcome::Answered, Reason::None, true) == SendEnd::Answered);
}
