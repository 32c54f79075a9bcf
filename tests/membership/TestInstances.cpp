#include <criterion/criterion.h>

#include <stairspur/membership/BackendAnnouncements.h>

#include "Announcements.h"

using namespace stairspur;
using namespace stairspur::membership;

static constexpr auto Second = Duration{1'000'000};
static constexpr auto Start = TimePoint{Second * 100};

Test(Instances, aNewInstanceReplacesItsPredecessor)
{
    auto announcements = BackendAnnouncements(Second * 8);
    cr_assert(announcements.receive(makeAnnouncement("a", 5), Start));
    cr_assert(announcements.receive(makeAnnouncement("b", 1), Start),
              "the same port, another start");
    cr_assert_eq(announcements.current()->incarnation.instance, "b");
}

Test(Instances, lateAnnouncementsAreIgnored)
{
    auto announcements = BackendAnnouncements(Second * 8);
    announcements.receive(makeAnnouncement("a", 5, ServingState::Draining), Start);
    cr_assert(!announcements.receive(makeAnnouncement("a", 4), Start));
    cr_assert(announcements.current()->state == ServingState::Draining);
    announcements.receive(makeAnnouncement("b", 1), Start);
    cr_assert(!announcements.receive(makeAnnouncement("a", 6), Start));
    cr_assert_eq(announcements.current()->incarnation.instance, "b");
}

Test(Instances, anInstanceThatHasLeftDoesNotReturn)
{
    auto announcements = BackendAnnouncements(Second * 8);
    announcements.receive(makeAnnouncement("a", 5), Start);
    cr_assert(announcements.leave({"a"}, Start));
    cr_assert(!announcements.isServing());
    cr_assert(!announcements.receive(makeAnnouncement("a", 6), Start));
    cr_assert(!announcements.isServing());
    cr_assert(announcements.receive(makeAnnouncement("b", 1), Start));
    cr_assert(announcements.isServing());
}

Test(Instances, leavingOfAnotherInstanceChangesNothing)
{
    auto announcements = BackendAnnouncements(Second * 8);
    announcements.receive(makeAnnouncement("b", 1), Start);
    cr_assert(!announcements.leave({"a"}, Start));
    cr_assert(announcements.isServing());
}

Test(Instances, aSilentInstanceReturnsWithItsNextAnnouncement)
{
    auto announcements = BackendAnnouncements(Second * 8);
    announcements.receive(makeAnnouncement("a", 1), Start);
    cr_assert(announcements.tick(Start + Second * 9));
    cr_assert(announcements.receive(makeAnnouncement("a", 2), Start + Second * 10));
    cr_assert(announcements.isServing());
}

Test(Instances, aLateAnnouncementOfAnEndedInstanceIsReplacedByTheRunningOne)
{
    // The node has restarted: it receives the running instance first, then announcements of the ended one that a
    // network partition delayed.
    auto announcements = BackendAnnouncements(Second * 8);
    announcements.receive(makeAnnouncement("living", 7), Start);
    announcements.receive(makeAnnouncement("dead", 90), Start + Second);
    auto sequence = std::uint64_t{8};
    for (auto now = Start + Second; now < Start + Second * 6; now += Second * 3 / 2)
        announcements.receive(makeAnnouncement("living", sequence++), now);
    cr_assert_eq(announcements.current()->incarnation.instance, "living");
    cr_assert(!announcements.receive(makeAnnouncement("dead", 91), Start + Second * 7));
    cr_assert_eq(announcements.current()->incarnation.instance, "living");
}

Test(Instances, lateAnnouncementsThatArriveTogetherAreNoReturn)
{
    auto announcements = BackendAnnouncements(Second * 8);
    announcements.receive(makeAnnouncement("dead", 5), Start);
    announcements.receive(makeAnnouncement("living", 1), Start + Second);
    for (auto sequence = std::uint64_t{6}; sequence < 12; ++sequence)
        cr_assert(!announcements.receive(makeAnnouncement("dead", sequence), Start + Second * 2));
    announcements.receive(makeAnnouncement("living", 2), Start + Second * 3);
    cr_assert(!announcements.receive(makeAnnouncement("dead", 12), Start + Second * 6));
    cr_assert_eq(announcements.current()->incarnation.instance, "living");
}

/// Returns an announcement of backend server "a" with the given start time.
static auto announcementStartedAt(std::uint64_t startedAtMs, std::uint64_t sequence,
                                  ServingState state = ServingState::Serving) -> Announcement
{
    auto announcement = makeAnnouncement("a", sequence, state);
    announcement.incarnation.startedAtMs = startedAtMs;
    return announcement;
}

static constexpr auto FirstStart = std::uint64_t{1'700'000'000'000};
static constexpr auto SecondStart = FirstStart + 60'000;

Test(BackendIncarnations, aLaterStartIsAcceptedWhateverItsSequence)
{
    struct
    {
        const char *name;
        void (*endFirstIncarnation)(BackendAnnouncements &);
    } const cases[] = {
            {"crashed", [](auto &) {}},
            {"silent", [](auto &it) { it.tick(Start + Second * 9); }},
            {"draining",
             [](auto &it) {
                 it.receive(announcementStartedAt(FirstStart, 91, ServingState::Draining), Start);
             }},
            {"left",
             [](auto &it) {
                 it.leave({"a", FirstStart}, Start);
             }},
            {"left without a start", [](auto &it) { it.leave({"a"}, Start); }},
    };
    for (const auto &it : cases) {
        auto announcements = BackendAnnouncements(Second * 8);
        announcements.receive(announcementStartedAt(FirstStart, 90), Start);
        it.endFirstIncarnation(announcements);
        cr_assert(announcements.receive(announcementStartedAt(SecondStart, 1), Start + Second * 10),
                  "%s", it.name);
        cr_assert(announcements.isServing(), "%s", it.name);
        cr_assert_eq(announcements.current()->incarnation.startedAtMs, SecondStart, "%s", it.name);
    }
}

Test(BackendIncarnations, anEarlierStartIsOutdatedWhateverItsSequence)
{
    auto announcements = BackendAnnouncements(Second * 8);
    announcements.receive(announcementStartedAt(SecondStart, 1), Start);
    cr_assert(!announcements.receive(announcementStartedAt(FirstStart, 90, ServingState::Draining),
                                     Start));
    cr_assert(!announcements.receive(makeAnnouncement("a", 91), Start), "no start at all");
    cr_assert(announcements.isServing());
    cr_assert_eq(announcements.current()->incarnation.startedAtMs, SecondStart);
    cr_assert_eq(announcements.current()->sequence, 1);
}

Test(BackendIncarnations, theLateLeaveOfAnEarlierIncarnationChangesNothing)
{
    auto announcements = BackendAnnouncements(Second * 8);
    announcements.receive(announcementStartedAt(FirstStart, 90), Start);
    announcements.receive(announcementStartedAt(SecondStart, 1), Start + Second);
    cr_assert(!announcements.leave({"a", FirstStart}, Start + Second * 2));
    cr_assert(announcements.isServing());
}

Test(BackendIncarnations, anIncarnationThatHasLeftDoesNotReturn)
{
    auto announcements = BackendAnnouncements(Second * 8);
    announcements.receive(announcementStartedAt(SecondStart, 1), Start);
    cr_assert(announcements.leave({"a"}, Start));
    for (auto n = 2; n < 20; ++n)
        announcements.receive(announcementStartedAt(SecondStart, static_cast<std::uint64_t>(n)),
                              Start + Second * n);
    cr_assert(!announcements.isServing());
}

Test(BackendIncarnations, afterTheClockWasSetBackTheRunningInstanceIsAcceptedOnceTheOtherIsSilent)
{
    auto announcements = BackendAnnouncements(Second * 8);
    announcements.receive(announcementStartedAt(SecondStart, 90), Start);
    auto sequence = std::uint64_t{1};
    for (auto now = Start + Second; now < Start + Second * 6; now += Second * 3 / 2)
        announcements.receive(announcementStartedAt(FirstStart, sequence++), now);
    cr_assert_eq(announcements.current()->incarnation.startedAtMs, FirstStart);
    // Announcements of the ended instance arrive late, and a third instance starts while the clock is still behind.
    cr_assert(!announcements.receive(announcementStartedAt(SecondStart, 91), Start + Second * 7));
    cr_assert(announcements.receive(announcementStartedAt(FirstStart + 1, 1), Start + Second * 8));
    cr_assert_eq(announcements.current()->incarnation.startedAtMs, FirstStart + 1);
}

Test(BackendIncarnations, anInstanceWithoutAStartDoesNotReplaceOneWithAStart)
{
    auto announcements = BackendAnnouncements(Second * 8);
    announcements.receive(announcementStartedAt(FirstStart, 1), Start);
    cr_assert_throw(announcements.receive(makeAnnouncement("stranger", 1), Start),
                    AnnouncementError);
    cr_assert_eq(announcements.current()->incarnation.instance, "a");
    announcements.tick(Start + Second * 9);
    cr_assert(announcements.receive(makeAnnouncement("stranger", 2), Start + Second * 10));
}

Test(Instances, oneThatStatesItsLeavingDrainsWhateverItAnnounces)
{
    auto announcements = BackendAnnouncements(std::chrono::seconds(3));
    auto announcement = Announcement();
    announcement.service = "menu";
    announcement.port = 1;
    announcement.slots = 8;
    announcement.state = ServingState::Serving;
    announcement.incarnation = {"a", 1};
    announcement.sequence = 1;
    const auto now = TimePoint{std::chrono::seconds(1)};
    announcements.receive(announcement, now);
    cr_assert(!announcements.didStateLeaving({"b", 1}), "another process instance");
    cr_assert(announcements.didStateLeaving({"a", 1}));
    cr_assert(announcements.current()->state == ServingState::Draining);
    ++announcement.sequence;
    cr_assert(!announcements.receive(announcement, now));
    cr_assert(announcements.current()->state == ServingState::Draining);
    announcement.incarnation = {"b", 2};
    cr_assert(announcements.receive(announcement, now));
    cr_assert(announcements.isServing());
}
