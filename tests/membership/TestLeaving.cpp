#include <criterion/criterion.h>

#include <stairspur/membership/BackendAnnouncements.h>

using namespace stairspur;
using namespace stairspur::membership;

static constexpr auto Second = Duration{1'000'000};
static constexpr auto Start = TimePoint{Second * 100};
static constexpr auto Timeout = Second * 6;

static auto makeAnnouncement(const std::string &instance, std::uint64_t sequence,
                             ServingState state = ServingState::Serving) -> Announcement
{
    auto announcement = Announcement();
    announcement.service = "maps";
    announcement.port = 9001;
    announcement.slots = 20;
    announcement.state = state;
    announcement.incarnation.instance = instance;
    announcement.sequence = sequence;
    return announcement;
}

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
