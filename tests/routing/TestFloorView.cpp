#include <criterion/criterion.h>

#include "../../source/routing/FloorView.h"

#include "PoolFixture.h"

using namespace stairspur;
using namespace stairspur::routing;

static constexpr auto HalfLife = Duration{500'000};

Test(FloorView, unrefreshedFloorsDecayAndExpire)
{
    struct
    {
        Duration age;
        int floor;
    } cases[] = {
            {HalfLife * 0, ClosedLevel.value},
            {HalfLife, ClosedLevel.value},
            {HalfLife * 2, ClosedLevel.value - 128},
            {HalfLife * 4, ClosedLevel.value - 3 * 128},
            {HalfLife * 8, ClosedLevel.value - 7 * 128},
            {HalfLife * 8 + Duration{1}, 0},
            {HalfLife * 100, 0},
            {-HalfLife, ClosedLevel.value},
    };
    for (const auto &it : cases) {
        auto view = FloorView();
        view.update(std::vector{ClosedLevel}, Start);
        cr_assert_eq(view.floorFor(0, Start + it.age, HalfLife).value, it.floor, "age %ld us",
                     it.age.count());
    }
}

Test(FloorView, implausibleFloorsAreBounded)
{
    auto view = FloorView();
    view.update(std::vector<Level>(1000, Level{65535}), Start);
    cr_assert_eq(view.floorFor(200, Start, HalfLife), ClosedLevel);
    view.didRefuse(Level{65535}, Start);
    view.didRefuse(ClosedLevel, Start);
    cr_assert_eq(view.floorFor(0, Start, HalfLife), ClosedLevel);
}

Test(FloorView, aRefusalRaisesTheFloorOfItsClassOnly)
{
    for (const auto &floors : {std::vector<Level>{}, std::vector{Level{7}, Level{7}, Level{7}}}) {
        auto view = FloorView();
        view.update(floors, Start);
        const auto before = view.floorFor(3, Start, HalfLife);
        view.didRefuse(levelOf(2), Start);
        cr_assert_eq(view.floorFor(2, Start, HalfLife).value, levelOf(2).value + 1);
        cr_assert_eq(view.floorFor(1, Start, HalfLife), before);
        cr_assert_eq(view.floorFor(3, Start, HalfLife), before);
    }
}

Test(FloorView, anAnswerOverridesTheFloorRecordedWhenItsCallWasSent)
{
    auto view = FloorView();
    view.update(std::vector{ClosedLevel}, Start);
    const auto sentAt = Start + Millisecond;
    view.didAdmit(levelOf(1), sentAt, Start + Millisecond * 2);
    view.update(std::vector{ClosedLevel}, Start + Millisecond * 2);
    cr_assert_leq(view.floorFor(1, Start + Millisecond * 3, HalfLife), levelOf(1));
    view.didRefuse(levelOf(1), Start + Millisecond * 4);
    cr_assert_gt(view.floorFor(1, Start + Millisecond * 5, HalfLife), levelOf(1));
}

Test(FloorView, anAnswerToACallSentBeforeTheFloorRoseProvesNothing)
{
    auto view = FloorView();
    view.update(std::vector{LowestLevel}, Start);
    view.update(std::vector{ClosedLevel}, Start + Millisecond * 2);
    view.didAdmit(levelOf(1), Start + Millisecond, Start + Millisecond * 3);
    cr_assert_eq(view.floorFor(1, Start + Millisecond * 3, HalfLife), ClosedLevel);
}

Test(FloorView, anAnswerOnOnePathProvesNothingOfTheOthers)
{
    static constexpr auto Menu = PathKey{1};
    static constexpr auto Maps = PathKey{2};
    auto view = FloorView();
    view.update({}, {{Menu, ClosedLevel}, {Maps, ClosedLevel}}, Start);
    const auto now = Start + Millisecond * 2;
    view.didAdmit(levelOf(1), Start + Millisecond, now, Menu);
    cr_assert_leq(view.floorFor({1, Menu}, now, HalfLife), levelOf(1));
    cr_assert_eq(view.floorFor({1, Maps}, now, HalfLife), ClosedLevel);
    view.didAdmit(levelOf(2), Start + Millisecond, now, Maps);
    cr_assert_eq(view.floorFor({2, Maps}, now, HalfLife), levelOf(2));
}

Test(FloorView, aRefusalOfOneClassDoesNotRefreshAnother)
{
    auto view = FloorView();
    view.update(std::vector{ClosedLevel}, Start);
    view.didRefuse(levelOf(3), Start + HalfLife);
    cr_assert_eq(view.age(3, Start + HalfLife), Duration::zero());
    cr_assert_eq(view.age(1, Start + HalfLife), HalfLife);
}
