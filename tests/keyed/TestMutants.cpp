#include <criterion/criterion.h>

#include "FaultMatrix.h"

using namespace stairspur;
using namespace stairspur::keyed;
using namespace stairspur::keyed::test;

static constexpr auto maxSeeds = std::uint64_t{20};

/// Expects that the matrix finds a violation with `Guards`, which disables a single guard.
template <typename Guards>
static auto expectViolation(const char *name) -> void
{
    auto n = 0;
    for (std::uint64_t seed = 1; seed <= maxSeeds; ++seed) {
        for (std::size_t cell = 0; cell < faultCount * stepCount; ++cell) {
            const auto fault = static_cast<Fault>(cell / stepCount);
            const auto step = static_cast<Step>(cell % stepCount);
            ++n;
            const auto result = Scenario<Guards>(fault, step, seed).run();
            if (result.violation.empty())
                continue;
            printRow("| " + std::string(name) + " | " + std::string(nameOf(fault)) + " at "
                     + std::string(nameOf(step)) + ", seed " + std::to_string(seed) + " | "
                     + result.violation + " | " + std::to_string(n) + " |");
            return;
        }
    }
    cr_expect(false, "none of %d interleavings had a violation with %s disabled", n, name);
}

#define MUTANT(guard) \
    struct No##guard : StandardGuards \
    { \
        static constexpr auto guard = false; \
    }; \
    Test(Mutants, guard) \
    { \
        expectViolation<No##guard>(#guard); \
    }

MUTANT(DispatchNeedsAck)
MUTANT(WitnessChecksEpoch)
MUTANT(AckMatchesUpdate)
MUTANT(TakeoverSettlesOpenKeys)
MUTANT(UpdatesAreOrdered)
MUTANT(ForgettingRaisesMark)
MUTANT(LossIsRemembered)
MUTANT(NotRunNeedsAck)
MUTANT(StaleSubmitsAreChallenged)
MUTANT(ProposerSealsFirst)
MUTANT(RecordsGoFirst)
MUTANT(FingerprintIsChecked)
MUTANT(LossNeedsProof)
MUTANT(RestartChangesSession)
