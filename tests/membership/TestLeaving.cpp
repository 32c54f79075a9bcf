#include <vector>

#include <criterion/criterion.h>

#include <stairspur/membership/BackendAnnouncements.h>

#include "Announcements.h"

using namespace stairspur;
using namespace stairspur::membership;

static constexpr auto Second = Duration{1'000'000};
static constexpr auto Start = TimePoint{Second * 100};
static constexpr auto Timeout = Second * 6;

/// Sends `ready` announcements of "a" for twice the timeout and expects that it serves after none of them.
static auto expectNoReturn(BackendAnnouncements &announcements, std::uint64_t sequence) -> void
{
    for (auto now = Start; now < Start + Timeout * 2; now += Second) {
        announcements.tick(now);
        announcements.receive(makeAnnouncement("a", sequence++), now);
        cr_assert(!announcements.isServing()
                  || announcements.current()->incarnation.instance != "a");
    }
}

Test(Leaving, laterAnnouncementsDoNotRevokeIt)
{
    auto announcements = BackendAnnouncements(Timeout);
    announcements.receive(makeAnnouncement("a", 5), Start);
    announcements.receive(makeAnnouncement("a", 6, ServingState::Draining), Start);
    announcements.receive(makeAnnouncement("a", 6), Start);
    cr_assert(announcements.current()->state == ServingState::Draining, "the same sequence");
    expectNoReturn(announcements, 7);
}

Test(Leaving, isRecordedWhateverItsSequence)
{
    auto announcements = BackendAnnouncements(Timeout);
    announcements.receive(makeAnnouncement("a", 6), Start);
    cr_assert(announcements.receive(makeAnnouncement("a", 5, ServingState::Draining), Start));
    expectNoReturn(announcements, 7);
}

Test(Leaving, ofAReplacedInstanceIsRecorded)
{
    auto announcements = BackendAnnouncements(Timeout);
    announcements.receive(makeAnnouncement("a", 5), Start);
    announcements.receive(makeAnnouncement("b", 1), Start);
    announcements.receive(makeAnnouncement("a", 6, ServingState::Draining), Start);
    cr_assert(announcements.isServing(), "the successor serves");
    expectNoReturn(announcements, 7);
}

Test(Leaving, outlastsASuccessorThatFallsSilent)
{
    auto announcements = BackendAnnouncements(Timeout);
    announcements.receive(makeAnnouncement("a", 5, ServingState::Draining), Start);
    announcements.receive(makeAnnouncement("b", 1), Start);
    expectNoReturn(announcements, 6);
}

Test(Leaving, ofAServerWithoutANameHoldsUntilANewProcessStarts)
{
    auto announcements = BackendAnnouncements(Timeout);
    announcements.receive(makeAnnouncement("", 0), Start);
    announcements.receive(makeAnnouncement("", 0, ServingState::Draining), Start);
    announcements.receive(makeAnnouncement("", 0), Start);
    cr_assert(!announcements.isServing(), "its own heartbeat loop goes on");
    announcements.receive(makeAnnouncement("", 0, ServingState::Starting), Start);
    announcements.receive(makeAnnouncement("", 0), Start);
    cr_assert(announcements.isServing());
}

Test(Leaving, itDoesNotDisplaceASuccessorThatIsSilentForAWhile)
{
    auto announcements = BackendAnnouncements(Timeout);
    announcements.receive(makeAnnouncement("a", 5, ServingState::Draining), Start);
    announcements.receive(makeAnnouncement("b", 1), Start);
    auto sequence = std::uint64_t{6};
    for (auto now = Start + Second; now < Start + Timeout; now += Second)
        announcements.receive(makeAnnouncement("a", sequence++), now);
    announcements.receive(makeAnnouncement("b", 2), Start + Timeout - Second);
    cr_assert_eq(announcements.current()->incarnation.instance, "b");
    cr_assert(announcements.isServing());
}

Test(Leaving, aServerServesOnlyOnceTheRecordsOfOtherNodesAreThere)
{
    for (const auto isRecorded : {false, true}) {
        auto announcements = BackendAnnouncements(Timeout);
        announcements.awaitRecords();
        announcements.receive(makeAnnouncement("a", 5), Start);
        cr_assert(announcements.current()->state == ServingState::Starting);
        if (isRecorded)
            announcements.adoptLeaving(std::vector{instanceIdOf({"a", 0})}, 0);
        announcements.didReceiveRecords();
        cr_assert_eq(announcements.isServing(), !isRecorded);
    }
}

Test(Leaving, ofAnInstanceThatTheClockMadeTheEarlierOneStopsTheOther)
{
    auto announcements = BackendAnnouncements(Timeout);
    const auto announcementOf = [](std::uint64_t startedAtMs, std::uint64_t sequence,
                                   ServingState state = ServingState::Serving) {
        auto announcement = makeAnnouncement("a", sequence, state);
        announcement.incarnation.startedAtMs = startedAtMs;
        return announcement;
    };
    announcements.receive(announcementOf(2'000, 90), Start);
    announcements.receive(announcementOf(1'000, 1), Start + Second);
    announcements.receive(announcementOf(1'000, 2, ServingState::Draining), Start + 2 * Second);
    cr_assert(!announcements.isServing(), "both have the same name and address");
    announcements.receive(announcementOf(2'000, 91), Start + 3 * Second);
    cr_assert(announcements.isServing(), "the other one runs");
}

Test(Leaving, ofAnUnknownInstanceDoesNotDisplaceOneThatServes)
{
    auto announcements = BackendAnnouncements(Timeout);
    announcements.receive(makeAnnouncement("b", 1), Start);
    const auto result =
            announcements.receive(makeAnnouncement("a", 9, ServingState::Draining), Start);
    cr_assert(result.isNewlyLeaving);
    cr_assert_eq(announcements.current()->incarnation.instance, "b");
    cr_assert(announcements.isServing());
}
