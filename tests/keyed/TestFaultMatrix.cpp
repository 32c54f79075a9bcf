#include <criterion/criterion.h>

#include <cstdlib>

#include "FaultMatrix.h"

using namespace stairspur;
using namespace stairspur::keyed::test;

/// Returns the number of seeds of each cell. 20 suffice to find a violation with every guard disabled;
/// STAIRSPUR_MATRIX_SEEDS overrides the number.
static auto seedsPerCell() -> std::uint64_t
{
    const auto *more = std::getenv("STAIRSPUR_MATRIX_SEEDS");
    return more ? std::strtoull(more, nullptr, 10) : 20;
}

/// Checks one row of cells. Prints for docs/FAULT-MATRIX.md in how many interleavings the fault was injected at each
/// step.
static auto checkFault(Fault fault) -> void
{
    auto row = std::string(nameOf(fault));
    for (std::size_t index = 0; index < stepCount; ++index) {
        const auto step = static_cast<Step>(index);
        auto injected = 0;
        for (std::uint64_t seed = 1; seed <= seedsPerCell(); ++seed) {
            const auto result = Scenario<keyed::StandardGuards>(fault, step, seed).run();
            injected += result.wasInjected ? 1 : 0;
            const auto where = row.substr(0, row.find(' ')) + " at " + std::string(nameOf(step))
                               + ", seed " + std::to_string(seed);
            cr_expect(result.violation.empty(), "%s: %s", where.c_str(), result.violation.c_str());
            cr_expect(result.didRecover || !result.mayRecover, "%s: no recovery", where.c_str());
        }
        row += " | " + std::to_string(injected);
        cr_expect(injected > 0, "%s was never injected", row.c_str());
    }
    printRow("| " + row + " |");
}

// Each row is a test of its own, so that Criterion runs the rows in parallel.
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
