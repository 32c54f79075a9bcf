#include <criterion/criterion.h>

#include "FaultMatrix.h"

using namespace stairspur;
using namespace stairspur::membership;

static auto runRow(Step step) -> void
{
    static constexpr auto Seeds = {11U, 12U};
    for (std::size_t index = 0; index < enumNames<Fault>.size(); ++index) {
        for (const auto seed : Seeds) {
            const auto fault = static_cast<Fault>(index);
            for (const auto &it : FaultMatrix<StandardPolicy>::run(fault, step, seed))
                cr_expect_fail("%s x %s, seed %u: %s", nameOf(fault).data(), nameOf(step).data(),
                               seed, it.c_str());
        }
    }
}

Test(FaultMatrix, announce)
{
    runRow(Step::Announce);
}
Test(FaultMatrix, join)
{
    runRow(Step::Join);
}
Test(FaultMatrix, probe)
{
    runRow(Step::Probe);
}
Test(FaultMatrix, indirectProbe)
{
    runRow(Step::IndirectProbe);
}
Test(FaultMatrix, suspect)
{
    runRow(Step::Suspect);
}
Test(FaultMatrix, foreignClaim)
{
    runRow(Step::ForeignClaim);
}
Test(FaultMatrix, refute)
{
    runRow(Step::Refute);
}
Test(FaultMatrix, relayExchange)
{
    runRow(Step::RelayExchange);
}
Test(FaultMatrix, drain)
{
    runRow(Step::Drain);
}
Test(FaultMatrix, leave)
{
    runRow(Step::Leave);
}
