#include <criterion/criterion.h>

#include <array>
#include <optional>
#include <vector>

#include <stairspur/membership/BackendAnnouncements.h>

#include "Announcements.h"

/// A backend server starts again under its name, and the first message of the new process is that it leaves.
using namespace stairspur;
using namespace stairspur::membership;

static constexpr auto Second = Duration{1'000'000};
static constexpr auto Timeout = Second * 6;
static constexpr auto Now = TimePoint{Second * 100};
static constexpr auto CurrentStart = std::uint64_t{1'700'000'000'000};

enum class Message { Ready, Draining, Delete };

static constexpr auto CurrentStates = std::array{ServingState::Starting, ServingState::Serving,
                                                 ServingState::Draining, ServingState::Left};

static auto announcementOf(const BackendIncarnation &incarnation, ServingState state,
                           std::uint64_t sequence) -> Announcement
{
    auto announcement = makeAnnouncement(incarnation.instance, sequence, state);
    announcement.incarnation = incarnation;
    return announcement;
}

/// Returns announcements whose current process instance "a" has this state; without one if the state is empty.
static auto announcementsWith(std::optional<ServingState> state) -> BackendAnnouncements
{
    auto announcements = BackendAnnouncements(Timeout);
    if (!state)
        return announcements;
    announcements.receive(announcementOf({"a", CurrentStart}, ServingState::Serving, 80), Now);
    if (*state == ServingState::Left)
        announcements.leave({"a", CurrentStart}, Now);
    else
        announcements.receive(announcementOf({"a", CurrentStart}, *state, 90), Now);
    return announcements;
}

static auto deliver(BackendAnnouncements &announcements, Message message,
                    const BackendIncarnation &incarnation, std::uint64_t sequence, TimePoint now)
        -> AnnouncementResult
{
    if (message == Message::Delete)
        return announcements.leave(incarnation, now);
    const auto state = message == Message::Ready ? ServingState::Serving : ServingState::Draining;
    return announcements.receive(announcementOf(incarnation, state, sequence), now);
}

/// Guards against requests to a process whose leaving was acknowledged, as long as its predecessor of the same name counts as
/// serving.
Test(LeavingAfterRestart, aLeavingOfALaterProcessEndsTheEarlierOne)
{
    auto states = std::vector<std::optional<ServingState>>{std::nullopt};
    states.insert(states.end(), CurrentStates.begin(), CurrentStates.end());
    for (const auto &state : states) {
        for (const auto message : {Message::Draining, Message::Delete}) {
            auto announcements = announcementsWith(state);
            const auto later = BackendIncarnation{"a", CurrentStart + 1};
            cr_expect(deliver(announcements, message, later, 1, Now).isNewlyLeaving);
            cr_expect(!announcements.isServing());
            // Late heartbeats of either process.
            announcements.receive(announcementOf({"a", CurrentStart}, ServingState::Serving, 91),
                                  Now + Second);
            cr_expect(!announcements.isServing(), "a heartbeat of the earlier process");
            announcements.receive(announcementOf(later, ServingState::Serving, 2), Now + Second);
            cr_expect(!announcements.isServing(), "a heartbeat of the later process");
        }
    }
}

/// Guards against a backend server that is shut out by the leaving of another process.
Test(LeavingAfterRestart, aLeavingOfAnotherProcessDoesNotStopTheCurrentOne)
{
    const auto others = std::vector<BackendIncarnation>{
            {"a", CurrentStart - 1}, {"b", CurrentStart - 1}, {"b", CurrentStart + 1}};
    for (const auto &it : others) {
        for (const auto message : {Message::Draining, Message::Delete}) {
            auto announcements = announcementsWith(ServingState::Serving);
            deliver(announcements, message, it, 1, Now);
            announcements.receive(announcementOf({"a", CurrentStart}, ServingState::Serving, 91),
                                  Now + Second);
            cr_expect(announcements.isServing(), "%s, started at %llu", it.instance.c_str(),
                      static_cast<unsigned long long>(it.startedAtMs));
        }
    }
}

/// Guards against a backend server that stays out because its predecessor left.
Test(LeavingAfterRestart, theNextProcessServes)
{
    for (const auto message : {Message::Draining, Message::Delete}) {
        auto announcements = announcementsWith(ServingState::Serving);
        deliver(announcements, message, {"a", CurrentStart + 1}, 1, Now);
        announcements.receive(announcementOf({"a", CurrentStart + 2}, ServingState::Serving, 1),
                              Now + Second);
        cr_expect(announcements.isServing());
        cr_expect_eq(announcements.current()->incarnation.startedAtMs, CurrentStart + 2);
    }
}

/// Guards against a running process that stays out because a clock that was set back makes it the earlier one.
Test(LeavingAfterRestart, aProcessThatGoesOnAnnouncingItselfReturns)
{
    for (const auto message : {Message::Draining, Message::Delete}) {
        auto announcements = announcementsWith(ServingState::Serving);
        deliver(announcements, message, {"a", CurrentStart + 1}, 1, Now);
        auto sequence = std::uint64_t{91};
        for (auto now = Now + Second; now < Now + 2 * Timeout; now += Second)
            announcements.receive(
                    announcementOf({"a", CurrentStart}, ServingState::Serving, sequence++), now);
        cr_expect(announcements.isServing());
    }
}

/// Guards against late announcements of an ended process that count as its return, while the process of its name leaves.
Test(LeavingAfterRestart, singleLateAnnouncementsAreNoReturn)
{
    for (const auto message : {Message::Draining, Message::Delete}) {
        auto announcements = announcementsWith(ServingState::Serving);
        deliver(announcements, message, {"a", CurrentStart + 1}, 1, Now);
        auto sequence = std::uint64_t{91};
        for (auto now = Now + Second; now < Now + 2 * Timeout; now += Timeout / 2) {
            announcements.receive(
                    announcementOf({"a", CurrentStart}, ServingState::Serving, sequence++), now);
            cr_expect(!announcements.isServing());
        }
    }
}

/// Guards against a running process that is stopped by a late message of a process that has ended but appears to be later.
Test(LeavingAfterRestart, aProcessThatHasEndedDoesNotStopItsSuccessor)
{
    for (const auto message : {Message::Draining, Message::Delete}) {
        auto announcements = announcementsWith(ServingState::Serving);
        const auto afterClockStep = BackendIncarnation{"a", CurrentStart - 1'000};
        auto sequence = std::uint64_t{1};
        for (auto now = Now + Second; now < Now + Timeout; now += Second)
            announcements.receive(announcementOf(afterClockStep, ServingState::Serving, sequence++),
                                  now);
        deliver(announcements, message, {"a", CurrentStart}, 99, Now + Timeout);
        announcements.receive(announcementOf(afterClockStep, ServingState::Serving, sequence),
                              Now + Timeout + Second);
        cr_expect(announcements.isServing());
    }
}
