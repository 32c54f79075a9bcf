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
struct NoWordToSuspects : StandardPolicy { static constexpr auto tellsSuspects = false; };
struct NoProbesOfDead : StandardPolicy { static constexpr auto probesDead = false; };
struct NoDigests : StandardPolicy { static constexpr auto exchangesDigests = false; };
struct NoDoubt : StandardPolicy { static constexpr auto doubtsVerdicts = false; };
struct NoPauseNoticed : StandardPolicy { static constexpr auto noticesPauses = false; };
struct NoUrgency : StandardPolicy { static constexpr auto spreadsUrgently = false; };
struct NoRetransmissionBound : StandardPolicy { static constexpr auto boundsRetransmission = false; };
struct NoPatienceWithDomains : StandardPolicy { static constexpr auto keepsUnreachableDomains = false; };
struct NoDomainCheck : StandardPolicy { static constexpr auto checksStatedDomains = false; };
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
            {"tellsSuspects", isCaught<NoWordToSuspects>(Fault::Split, Step::Probe)},
            {"probesDead", isCaught<NoProbesOfDead>(Fault::Split, Step::Probe)},
            {"exchangesDigests", isCaught<NoDigests>(Fault::None, Step::Join)},
            {"doubtsVerdicts", isCaught<NoDoubt>(Fault::CutOneWay, Step::Probe)},
            {"noticesPauses", isCaught<NoPauseNoticed>(Fault::PauseLong, Step::Suspect)},
            {"spreadsUrgently", isCaught<NoUrgency>(Fault::None, Step::Drain)},
            {"boundsRetransmission", isCaught<NoRetransmissionBound>(Fault::None, Step::Announce)},
            {"keepsUnreachableDomains",
             isCaught<NoPatienceWithDomains>(Fault::SplitDomains, Step::Probe)},
            {"checksStatedDomains", isCaught<NoDomainCheck>(Fault::None, Step::ForeignClaim)},
    };
    for (const auto &it : cases)
        cr_expect(it.isCaught, "the matrix does not notice that %s is off", it.name);
}
