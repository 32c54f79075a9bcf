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
