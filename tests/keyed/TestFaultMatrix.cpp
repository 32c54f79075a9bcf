#include <criterion/criterion.h>

#include <cstdlib>

#include "FaultMatrix.h"

using namespace stairspur;
using namespace stairspur::keyed::test;

/// Enough for every mutant to be caught; STAIRSPUR_MATRIX_SEEDS asks for more.
static auto seedsPerCell() -> std::uint64_t
{
    const auto *more = std::getenv("STAIRSPUR_MATRIX_SEEDS");
    return more ? std::strtoull(more, nullptr, 10) : 20;
}

/// One row of cells. Prints, for docs/FAULT-MATRIX.md, in how many interleavings the fault struck at the step.
static auto checkFault(Fault fault) -> void
{
    auto row = std::string(nameOf(fault));
    for (std::size_t index = 0; index < stepCount; ++index) {
        const auto step = static_cast<Step>(index);
        auto struck = 0;
        for (std::uint64_t seed = 1; seed <= seedsPerCell(); ++seed) {
            const auto verdict = Scenario<keyed::StandardGuards>(fault, step, seed).run();
            struck += verdict.didStrike ? 1 : 0;
            const auto where = row.substr(0, row.find(' ')) + " at " + std::string(nameOf(step))
                               + ", seed " + std::to_string(seed);
            cr_expect(verdict.violation.empty(), "%s: %s", where.c_str(),
                      verdict.violation.c_str());
            cr_expect(verdict.didRecover || !verdict.mayRecover, "%s: no recovery", where.c_str());
        }
        row += " | " + std::to_string(struck);
        cr_expect(struck > 0, "%s never struck", row.c_str());
    }
    printRow("| " + row + " |");
}

// A test for each row, so that Criterion runs rows side by side.
#define FAULT_ROW(name) \
    Test(FaultMatrix, name) \
    { \
        checkFault(Fault::name); \
    }

FAULT_ROW(Kill)
FAULT_ROW(Pause)
FAULT_ROW(CutOneWay)
FAULT_ROW(CutBothWays)
FAULT_ROW(Slow)
FAULT_ROW(Duplicate)
FAULT_ROW(Reorder)
FAULT_ROW(LostAnswer)
FAULT_ROW(StoreDown)
FAULT_ROW(StoreSlow)
FAULT_ROW(StoreLostAnswer)
FAULT_ROW(ConfigurationChange)
FAULT_ROW(Restart)
FAULT_ROW(BothLost)
FAULT_ROW(HandOverCrossing)
