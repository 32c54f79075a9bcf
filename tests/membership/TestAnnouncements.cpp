#include <criterion/criterion.h>

#include <string>

#include <stairspur/membership/BackendAnnouncements.h>

using namespace stairspur;
using namespace stairspur::membership;

static constexpr auto Second = Duration{1'000'000};

static auto bodyWith(const std::string &field, const std::string &value) -> std::string
{
    const auto pick = [&](const std::string &name, const std::string &usual) {
        return "\"" + name + "\":" + (name == field ? value : usual);
    };
    return "{" + pick("service", "\"order-intake\"") + "," + pick("port", "9001") + ","
           + pick("slots", "110") + "," + pick("state", "\"serving\"") + "," + pick("inFlight", "3")
           + "}";
}

Test(Announcement, fieldsOutOfRangeAreRefusedWithTheirRemedy)
{
    struct Case
    {
        const char *field;
        const char *value;
        const char *remedy; ///< Part of the error message.
    };
    const Case cases[] = {
            {"service", "\"\"", "a-z, 0-9"},      {"service", "7", "a-z, 0-9"},
            {"service", "\"a=b\"", "a-z, 0-9"},   {"port", "0", "from 1 to 65535"},
            {"port", "65536", "from 1 to 65535"}, {"port", "\"9001\"", "from 1 to 65535"},
            {"slots", "0", "from 1 to 100000"},   {"slots", "-4", "from 1 to 100000"},
            {"state", "\"busy\"", "draining"},    {"state", "null", "draining"},
            {"inFlight", "1.5", "from 0"},
    };
    for (const auto &it : cases) {
        try {
            parseAnnouncement(bodyWith(it.field, it.value));
            cr_expect_fail("accepted %s = %s", it.field, it.value);
        } catch (const AnnouncementError &error) {
            cr_expect_neq(std::string(error.what()).find(it.remedy), std::string::npos, "%s",
                          error.what());
        }
    }
    const auto expected = Announcement{"order-intake", 9001, 110, ServingState::Serving, 3};
    cr_assert(parseAnnouncement(bodyWith("", "")) == expected);
    for (const auto *it : {"", "[]", "{", "nonsense", "{}"})
        cr_expect_throw(parseAnnouncement(it), AnnouncementError);
    cr_expect_throw(parseAnnouncement(std::string(5000, ' ')), AnnouncementError);
}

Test(BackendAnnouncements, aServerWithoutAnnouncementsHasLeftUntilItAnnouncesItselfAgain)
{
    auto backend = BackendAnnouncements(5 * Second);
    const auto start = TimePoint(100 * Second);
    const auto serving = Announcement{"order-intake", 9001, 110, ServingState::Serving, 0};
    cr_assert(!backend.tick(start));
    cr_assert(backend.receive(serving, start));
    cr_assert(!backend.receive(serving, start + Second), "a repeated announcement is no change");
    cr_assert(!backend.tick(start + 5 * Second));
    cr_assert(backend.tick(start + 6 * Second));
    cr_assert(!backend.tick(start + 7 * Second), "left once");
    cr_assert(backend.current()->state == ServingState::Left);
    cr_assert(backend.receive(serving, start + 8 * Second));
    cr_assert(backend.isServing());
}

Test(BackendAnnouncements, aSecondBackendServerIsRefusedUntilTheFirstHasLeft)
{
    auto backend = BackendAnnouncements(5 * Second);
    const auto now = TimePoint(100 * Second);
    auto first = Announcement{"order-intake", 9001, 110, ServingState::Serving, 0};
    const auto second = Announcement{"order-intake", 9002, 110, ServingState::Starting, 0};
    backend.receive(first, now);
    cr_assert_throw(backend.receive(second, now), AnnouncementError);
    first.state = ServingState::Left;
    cr_assert(backend.receive(first, now));
    cr_assert(backend.receive(second, now));
}

Test(BackendAnnouncements, aDrainingNodeShowsItsBackendServerAsDraining)
{
    auto backend = BackendAnnouncements(5 * Second);
    const auto now = TimePoint(100 * Second);
    cr_assert(!backend.drain());
    auto announcement = Announcement{"order-intake", 9001, 110, ServingState::Serving, 0};
    cr_assert(backend.receive(announcement, now));
    cr_assert(backend.current()->state == ServingState::Draining);
    announcement.state = ServingState::Left;
    cr_assert(backend.receive(announcement, now));
    cr_assert(backend.current()->state == ServingState::Left);
}
