#include <criterion/criterion.h>

#include "KeyedFixture.h"

using namespace stairspur;
using namespace stairspur::keyed;
using namespace stairspur::keyed::test;

static auto answered(const std::string &body) -> transport::CallAnswer
{
    auto answer = transport::CallAnswer();
    answer.outcome = Outcome::Answered;
    answer.status = 201;
    answer.headers.add("Location", "/orders/1");
    answer.body = body;
    answer.wasDispatched = true;
    return answer;
}

static auto refused() -> transport::CallAnswer
{
    auto answer = transport::CallAnswer();
    answer.outcome = Outcome::NotRun;
    answer.reason = Reason::QueueFull;
    return answer;
}

Test(KeyedService, secondCallWithSameKeyReplaysFirstAnswer)
{
    auto fixture = KeyedFixture();
    fixture.nextAnswer = answered("order 1");
    const auto first = fixture.route("key-1", "two soups");
    fixture.nextAnswer = answered("order 2");
    const auto second = fixture.route("key-1", "two soups");
    for (const auto &it : {first, second}) {
        cr_assert_eq(it.outcome, Outcome::Answered);
        cr_assert_eq(it.status, 201);
        cr_assert_eq(it.body, "order 1");
        cr_assert_eq(it.headers.find("Location"), "/orders/1");
        cr_assert_not(it.headers.contains(KeyedHeader));
    }
    cr_assert_eq(fixture.dispatches, 1);
    cr_assert_not(fixture.router->resolve("order-intake", "key-1", "kitchen").empty());
}

Test(KeyedService, differentRequestWithRecordedKeyIsRefused)
{
    auto fixture = KeyedFixture();
    fixture.nextAnswer = answered("order 1");
    fixture.route("key-1", "two soups");
    const auto other = fixture.route("key-1", "three soups");
    cr_assert_eq(other.outcome, Outcome::NotRun);
    cr_assert_eq(other.status, 422);
    cr_assert_eq(fixture.dispatches, 1);
}

Test(KeyedService, callMayBeRetriedAfterProvenNotRun)
{
    auto fixture = KeyedFixture();
    fixture.nextAnswer = refused();
    const auto first = fixture.route("key-1");
    cr_assert_eq(first.outcome, Outcome::NotRun);
    cr_assert_eq(first.reason, Reason::QueueFull);
    cr_assert_not(first.wasDispatched);
    fixture.nextAnswer = answered("order 1");
    cr_assert_eq(fixture.route("key-1").body, "order 1");
    cr_assert_eq(fixture.dispatches, 2);
}

Test(KeyedService, lostAnswerStaysUnknown)
{
    auto fixture = KeyedFixture();
    fixture.nextAnswer = transport::CallAnswer();
    cr_assert_eq(fixture.route("key-1").outcome, Outcome::Unknown);
    fixture.nextAnswer = answered("order 1");
    cr_assert_eq(fixture.route("key-1").outcome, Outcome::Unknown);
    cr_assert_eq(fixture.dispatches, 1);
}

Test(KeyedService, largeAnswerIsReturnedOnceAndReplayedAsTooLarge)
{
    auto fixture = KeyedFixture();
    const auto body = std::string(100'000, 'x');
    fixture.nextAnswer = answered(body);
    cr_assert_eq(fixture.route("key-1").body, body);
    const auto second = fixture.route("key-1");
    cr_assert_eq(second.outcome, Outcome::Unknown);
    cr_assert_eq(second.reason, Reason::TooLarge);
    cr_assert_eq(second.headers.find(RecordedStatusHeader), "201");
    cr_assert_eq(fixture.dispatches, 1);
}

Test(KeyedService, callsAreAnsweredWhileStoreIsDown)
{
    auto fixture = KeyedFixture();
    fixture.nextAnswer = answered("order");
    fixture.route("key-1");
    fixture.store.isDown = true;
    for (int n = 2; n < 10; ++n)
        cr_assert_eq(fixture.route("key-" + std::to_string(n)).outcome, Outcome::Answered);
    cr_assert_eq(fixture.dispatches, 9);
}

Test(KeyedService, queryRunsNothing)
{
    auto fixture = KeyedFixture();
    fixture.nextAnswer = answered("order 1");
    cr_assert_eq(fixture.route("key-1", "soup", true).outcome, Outcome::NotRun);
    cr_assert_eq(fixture.dispatches, 0);
    cr_assert_eq(fixture.route("key-1", "soup").body, "order 1");
    cr_assert_eq(fixture.route("key-1", "soup", true).body, "order 1");
    cr_assert_eq(fixture.dispatches, 1);
}

Test(KeyedService, callWithoutValidHeaderRunsNothing)
{
    auto fixture = KeyedFixture();
    auto &service = *fixture.services.begin()->second;
    for (const auto *header : {"", "zz", "80", "a"}) {
        auto request = transport::CallRequest();
        request.headers.set(std::string(KeyedHeader), header);
        const auto answer = fixture.run(service.handle(request, nullptr));
        cr_assert_eq(answer.outcome, Outcome::Unknown);
        cr_assert_eq(answer.reason, Reason::WrongPlacement);
    }
    cr_assert_eq(fixture.dispatches, 0);
}

Test(KeyedService, witnessTakesOverFromUnreachablePrimaryThatIsAliveInMembership)
{
    auto fixture = KeyedFixture();
    fixture.nextAnswer = answered("order 1");
    fixture.route("key-1", "two soups"); // The entry caches the placements.
    const auto primary = fixture.router->resolve("order-intake", "key-2", "kitchen");
    fixture.handlers.erase(primary);
    cr_assert_eq(fixture.route("key-2", "one soup").outcome, Outcome::Answered);
    cr_assert_neq(fixture.router->resolve("order-intake", "key-2", "kitchen"), primary);
    cr_assert_eq(fixture.dispatches, 2);
}
