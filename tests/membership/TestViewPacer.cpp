#include <criterion/criterion.h>

#include <string>
#include <vector>

#include <stairspur/membership/ViewPacer.h>

using namespace stairspur;
using namespace stairspur::membership;

static constexpr auto Tick = Duration(100'000);
static constexpr auto Pause = Duration(1'000'000);

Test(ViewPacer, changesArePublishedAtOnceAfterAQuietTimeAndTogetherOtherwise)
{
    struct Case
    {
        const char *name;
        /// One character for each tick: `.` no change, `c` a change, `u` an urgent change.
        std::string changes;
        /// One character for each tick: `.` no view, `V` a view.
        std::string views;
    };
    const Case cases[] = {
            {"nothing", "............", "............"},
            {"the first change at once", ".c..........", ".V.........."},
            {"a change each tick", "cccccccccccccccccccccc", "V.........V.........V."},
            {"a last change is published", "cc....................", "V.........V..........."},
            {"quiet, then at once again", "c............c........", "V............V........"},
            {"one urgent change at once", "c..u..................", "V..V.................."},
            {"a second one waits", "c..u.u................", "V..V.........V........"},
            {"urgent ones each tick", "uuuuuuuuuuuuuuuuuuuuuu", "VV.........VV........."},
            {"an urgent change publishes pending ones", "cc.u..................",
             "V..V.................."},
            {"a change after an urgent one waits", "c.uc..................",
             "V.V.........V........."},
    };
    for (const auto &it : cases) {
        auto pacer = ViewPacer(Pause);
        auto views = std::string();
        auto now = TimePoint(Duration(5'000'000));
        for (const auto change : it.changes) {
            if (change == 'c')
                pacer.didChange();
            if (change == 'u')
                pacer.didChangeUrgently();
            views += pacer.takeDue(now) ? 'V' : '.';
            now += Tick;
        }
        cr_expect(views == it.views, "%s: %s", it.name, views.c_str());
    }
}
