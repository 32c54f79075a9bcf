#include <criterion/criterion.h>

#include <stairspur/admission/AdmissionController.h>

using namespace stairspur;
using namespace stairspur::admission;
using namespace std::chrono_literals;

static constexpr auto Now = TimePoint{1h};
static constexpr auto ToMaps = PathKey{11};
static constexpr auto Elsewhere = PathKey{22};

static auto isRefused(AdmissionController &controller, CallId id, PathKey path) -> bool
{
    auto random = Random(id);
    const auto offer = CallOffer{id, makeLevel(2, 50), Now + 5s, path};
    return !controller.offer(offer, Now, random).refuse.empty();
}

Test(PathFloors, floorOfAPathRefusesOnlyThatPath)
{
    auto controller = AdmissionController({});
    controller.setDeeperFloors({}, {{ToMaps, makeLevel(2, 100)}});
    cr_assert(isRefused(controller, 1, ToMaps));
    cr_assert(!isRefused(controller, 2, Elsewhere));
    cr_assert(!isRefused(controller, 3, NoPath));
}

Test(PathFloors, reportsContainPathAndClassFloors)
{
    auto controller = AdmissionController({});
    controller.setDeeperFloors({}, {{ToMaps, makeLevel(2, 100)}});
    const auto report = controller.report(Now);
    cr_assert(report.floorFor({2, ToMaps}) == makeLevel(2, 100));
    cr_assert(report.floorFor({2, Elsewhere}) == LowestLevel);
    cr_assert(report.floorFor(2) == LowestLevel);
}

Test(PathFloors, expireUnlessTheyAreSetAgain)
{
    auto controller = AdmissionController({});
    controller.setDeeperFloors({}, {{ToMaps, makeLevel(2, 100)}});
    controller.report(Now);
    cr_assert(controller.report(Now + 1500ms).floorFor({2, ToMaps}) == LowestLevel);
}

Test(FixedLimit, followsTheReportedSlotsFromTheStart)
{
    auto settings = AdmissionSettings();
    settings.reportedSlots = 9;
    settings.followsReportedSlots = true;
    auto controller = AdmissionController(settings);
    cr_assert_eq(controller.report(Now).limit, 9);
    auto random = Random(1);
    controller.offer({1, makeLevel(0, 1), Now + 5s}, Now, random);
    controller.didComplete(1, Completion::Shed, 10ms, Now, random);
    cr_assert_eq(controller.report(Now).limit, 9, "a shed call does not change the limit");
    controller.setReportedSlots(12);
    cr_assert_eq(controller.report(Now).limit, 11);
    controller.didReplaceBackend();
    cr_assert_eq(controller.report(Now).limit, 11);
}

Test(FixedLimit, aTwentiethOfTheSlotsStaysFreeFromTenSlotsOn)
{
    struct Case
    {
        std::uint32_t slots;
        std::uint32_t limit;
    };
    for (const auto &it : {Case{0, 1}, Case{1, 1}, Case{2, 2}, Case{9, 9}, Case{10, 9},
                           Case{20, 19}, Case{21, 19}, Case{63, 59}, Case{394, 374}}) {
        auto settings = AdmissionSettings();
        settings.followsReportedSlots = true;
        settings.reportedSlots = it.slots;
        cr_assert_eq(AdmissionController(settings).report(Now).limit, it.limit, "%u slots",
                     it.slots);
    }
}
