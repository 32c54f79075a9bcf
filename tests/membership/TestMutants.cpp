#include <criterion/criterion.h>

#include "FaultMatrix.h"

using namespace stairspur;
using namespace stairspur::membership;

// Each policy switches one guard off; the cell named with it has to notice, and holds with the guard on.
// clang-format off
struct NoIncarnations : StandardPolicy { static constexpr auto comparesIncarnations = false; };
struct NoRefutation : StandardPolicy { static constexpr auto refutes = false; };
struct NoSuspicion : StandardPolicy { static constexpr auto suspectsBeforeDeath = false; };
struct NoIndirectProbes : StandardPolicy { static constexpr auto probesIndirectly = false; };
struct NoSequences : StandardPolicy { static constexpr auto matchesSequences = false; };
struct NoWordToSuspects : StandardPolicy { static constexpr auto notifiesSuspects = false; };
struct NoProbesOfDead : StandardPolicy { static constexpr auto probesDead = false; };
struct NoDigests : StandardPolicy { static constexpr auto exchangesDigests = false; };
struct NoDoubt : StandardPolicy { static constexpr auto verifiesDeathClaims = false; };
struct NoPauseNoticed : StandardPolicy { static constexpr auto detectsPauses = false; };
struct NoUrgency : StandardPolicy { static constexpr auto sendsUrgentUpdates = false; };
struct NoRetransmissionBound : StandardPolicy { static constexpr auto boundsRetransmission = false; };
struct NoPatienceWithDomains : StandardPolicy { static constexpr auto keepsUnreachableDomains = false; };
struct NoDomainCheck : StandardPolicy { static constexpr auto checksRecordDomains = false; };
// clang-format on

static constexpr auto Seeds = {11U, 12U, 13U};

template <typename Policy>
static auto isCaught(Fault fault, Step step) -> bool
{
    for (const auto seed : Seeds) {
        cr_assert(FaultMatrix<StandardPolicy>::run(fault, step, seed).empty(),
                  "the cell fails with every guard on");
        if (!FaultMatrix<Policy>::run(fault, step, seed).empty())
            return true;
    }
    return false;
}

Test(Mutants, eachGuardThatIsSwitchedOffIsNoticed)
{
    struct Case
    {
        const char *name;
        bool isCaught;
    };
    const Case cases[] = {
            {"comparesIncarnations",
             isCaught<NoIncarnations>(Fault::KillWithLateDuplicates, Step::Announce)},
            {"refutes", isCaught<NoRefutation>(Fault::None, Step::Suspect)},
            {"suspectsBeforeDeath", isCaught<NoSuspicion>(Fault::Loss20, Step::Probe)},
            {"probesIndirectly", isCaught<NoIndirectProbes>(Fault::CutPairBothWays, Step::Probe)},
            {"matchesSequences", isCaught<NoSequences>(Fault::KillWithLateDuplicates, Step::Probe)},
            {"notifiesSuspects", isCaught<NoWordToSuspects>(Fault::Split, Step::Probe)},
            {"probesDead", isCaught<NoProbesOfDead>(Fault::Split, Step::Probe)},
            {"exchangesDigests", isCaught<NoDigests>(Fault::None, Step::Join)},
            {"verifiesDeathClaims", isCaught<NoDoubt>(Fault::CutOneWay, Step::Probe)},
            {"detectsPauses", isCaught<NoPauseNoticed>(Fault::PauseLong, Step::Suspect)},
            {"sendsUrgentUpdates", isCaught<NoUrgency>(Fault::None, Step::Drain)},
            {"boundsRetransmission", isCaught<NoRetransmissionBound>(Fault::None, Step::Announce)},
            {"keepsUnreachableDomains",
             isCaught<NoPatienceWithDomains>(Fault::SplitDomains, Step::Probe)},
            {"checksRecordDomains", isCaught<NoDomainCheck>(Fault::None, Step::ForeignClaim)},
    };
    for (const auto &it : cases)
        cr_expect(it.isCaught, "the matrix does not notice that %s is off", it.name);
}
