#include <criterion/criterion.h>

#include "FaultMatrix.h"

using namespace stairspur;
using namespace stairspur::membership;

// Each policy disables one rule. The cell given with it must fail with this policy and pass with every rule enabled.
// clang-format off
struct NoIncarnations : StandardPolicy { static constexpr auto comparesIncarnations = false; };
struct NoRefutation : StandardPolicy { static constexpr auto refutes = false; };
struct NoSuspicion : StandardPolicy { static constexpr auto suspectsBeforeDeath = false; };
struct NoIndirectProbes : StandardPolicy { static constexpr auto probesIndirectly = false; };
struct NoSequences : StandardPolicy { static constexpr auto matchesSequences = false; };
struct NoNotificationOfSuspects : StandardPolicy { static constexpr auto notifiesSuspects = false; };
struct NoProbesOfDead : StandardPolicy { static constexpr auto probesDead = false; };
struct NoDigests : StandardPolicy { static constexpr auto exchangesDigests = false; };
struct NoVerificationOfDeaths : StandardPolicy { static constexpr auto verifiesDeathClaims = false; };
struct NoPauseDetection : StandardPolicy { static constexpr auto detectsPauses = false; };
struct NoUrgentUpdates : StandardPolicy { static constexpr auto sendsUrgentUpdates = false; };
struct NoRetransmissionBound : StandardPolicy { static constexpr auto boundsRetransmission = false; };
struct NoRetentionOfDomains : StandardPolicy { static constexpr auto keepsUnreachableDomains = false; };
struct NoDomainCheck : StandardPolicy { static constexpr auto checksRecordDomains = false; };
// clang-format on

static constexpr auto Seeds = {11U, 12U, 13U};

template <typename Policy>
static auto isDetected(Fault fault, Step step) -> bool
{
    for (const auto seed : Seeds) {
        cr_assert(FaultMatrix<StandardPolicy>::run(fault, step, seed).empty(),
                  "the cell fails with every rule enabled");
        if (!FaultMatrix<Policy>::run(fault, step, seed).empty())
            return true;
    }
    return false;
}

Test(Mutants, eachDisabledRuleIsDetected)
{
    struct Case
    {
        const char *name;
        bool isDetected;
    };
    const Case cases[] = {
            {"comparesIncarnations",
             isDetected<NoIncarnations>(Fault::KillWithLateDuplicates, Step::Announce)},
            {"refutes", isDetected<NoRefutation>(Fault::None, Step::Suspect)},
            {"suspectsBeforeDeath", isDetected<NoSuspicion>(Fault::Loss20, Step::Probe)},
            {"probesIndirectly", isDetected<NoIndirectProbes>(Fault::CutPairBothWays, Step::Probe)},
            {"matchesSequences",
             isDetected<NoSequences>(Fault::KillWithLateDuplicates, Step::Probe)},
            {"notifiesSuspects", isDetected<NoNotificationOfSuspects>(Fault::Split, Step::Probe)},
            {"probesDead", isDetected<NoProbesOfDead>(Fault::Split, Step::Probe)},
            {"exchangesDigests", isDetected<NoDigests>(Fault::None, Step::Join)},
            {"verifiesDeathClaims",
             isDetected<NoVerificationOfDeaths>(Fault::CutOneWay, Step::Probe)},
            {"detectsPauses", isDetected<NoPauseDetection>(Fault::PauseLong, Step::Suspect)},
            {"sendsUrgentUpdates", isDetected<NoUrgentUpdates>(Fault::None, Step::Drain)},
            {"boundsRetransmission",
             isDetected<NoRetransmissionBound>(Fault::None, Step::Announce)},
            {"keepsUnreachableDomains",
             isDetected<NoRetentionOfDomains>(Fault::SplitDomains, Step::Probe)},
            {"checksRecordDomains", isDetected<NoDomainCheck>(Fault::None, Step::ForeignClaim)},
    };
    for (const auto &it : cases)
        cr_expect(it.isDetected, "the matrix does not detect that %s is off", it.name);
}
