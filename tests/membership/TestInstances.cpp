#include <criterion/criterion.h>

#include <stairspur/membership/BackendAnnouncements.h>

using namespace stairspur;
using namespace stairspur::membership;

static constexpr auto Second = Duration{1'000'000};
static constexpr auto Start = TimePoint{Second * 100};

static auto makeAnnouncement(const std::string &instance, std::uint64_t sequence,
                             ServingState state = ServingState::Serving) -> Announcement
{
    auto announcement = Announcement();
    announcement.service = "maps";
    announcement.port = 9001;
    announcement.slots = 20;
    announcement.state = state;
    announcement.instance = instance;
    announcement.sequence = sequence;
    return announcement;
}

Test(Instances, aNewInstanceTakesThePlaceOfTheOneBefore)
{
    auto announcements = BackendAnnouncements(Second * 8);
    cr_assert(announcements.take(makeAnnouncement("a", 5), Start));
    cr_assert(announcements.take(makeAnnouncement("b", 1), Start), "the same port, another start");
    cr_assert_eq(announcements.current()->instance, "b");
}

Test(Instances, lateAnnouncementsArePassedOver)
{
    auto announcements = BackendAnnouncements(Second * 8);
    announcements.take(makeAnnouncement("a", 5, ServingState::Draining), Start);
    cr_assert(!announcements.take(makeAnnouncement("a", 4), Start));
    cr_assert(announcements.current()->state == ServingState::Draining);
    announcements.take(makeAnnouncement("b", 1), Start);
    cr_assert(!announcements.take(makeAnnouncement("a", 6), Start));
    cr_assert_eq(announcements.current()->instance, "b");
}

Test(Instances, whoHasLeftDoesNotComeBack)
{
    auto announcements = BackendAnnouncements(Second * 8);
    announcements.take(makeAnnouncement("a", 5), Start);
    cr_assert(announcements.leave("a", Start));
    cr_assert(!announcements.isServing());
    cr_assert(!announcements.take(makeAnnouncement("a", 6), Start));
    cr_assert(!announcements.isServing());
    cr_assert(announcements.take(makeAnnouncement("b", 1), Start));
    cr_assert(announcements.isServing());
}

Test(Instances, leavingOfAnotherInstanceChangesNothing)
{
    auto announcements = BackendAnnouncements(Second * 8);
    announcements.take(makeAnnouncement("b", 1), Start);
    cr_assert(!announcements.leave("a", Start));
    cr_assert(announcements.isServing());
}

Test(Instances, silenceIsTakenBackByTheNextAnnouncement)
{
    auto announcements = BackendAnnouncements(Second * 8);
    announcements.take(makeAnnouncement("a", 1), Start);
    cr_assert(announcements.tick(Start + Second * 9));
    cr_assert(announcements.take(makeAnnouncement("a", 2), Start + Second * 10));
    cr_assert(announcements.isServing());
}

Test(Instances, aLateAnnouncementOfADeadOneIsTakenBackByTheLiving)
{
    // The node has started anew: it hears the living one first, then what a cut has held back of the one before it.
    auto announcements = BackendAnnouncements(Second * 8);
    announcements.take(makeAnnouncement("living", 7), Start);
    announcements.take(makeAnnouncement("dead", 90), Start + Second);
    auto sequence = std::uint64_t{8};
    for (auto now = Start + Second; now < Start + Second * 6; now += Second * 3 / 2)
        announcements.take(makeAnnouncement("living", sequence++), now);
    cr_assert_eq(announcements.current()->instance, "living");
    cr_assert(!announcements.take(makeAnnouncement("dead", 91), Start + Second * 7));
    cr_assert_eq(announcements.current()->instance, "living");
}

Test(Instances, lateAnnouncementsThatComeAtOnceAreNoReturn)
{
    auto announcements = BackendAnnouncements(Second * 8);
    announcements.take(makeAnnouncement("dead", 5), Start);
    announcements.take(makeAnnouncement("living", 1), Start + Second);
    for (auto sequence = std::uint64_t{6}; sequence < 12; ++sequence)
        cr_assert(!announcements.take(makeAnnouncement("dead", sequence), Start + Second * 2));
    announcements.take(makeAnnouncement("living", 2), Start + Second * 3);
    cr_assert(!announcements.take(makeAnnouncement("dead", 12), Start + Second * 6));
    cr_assert_eq(announcements.current()->instance, "living");
}
