#include <algorithm>
#include <functional>
#include <set>
#include <vector>

#include <stairspur/core/Random.h>
#include <stairspur/distribution/ConfigurationPublisher.h>
#include <stairspur/distribution/PublishProtocol.h>

#include "FakeStore.h"

// This header is included after Boost, because its macros break Boost's headers.
#include <criterion/criterion.h>

/// Tests the apply protocol under every fault at every step, and under every order of concurrent steps. Each run returns the
/// violations that it found. There must be none with the real guards, and some with each guard disabled.
using namespace stairspur;
using namespace stairspur::distribution;

using Violations = std::vector<std::string>;

static constexpr StoreFault Faults[] = {StoreFault::Unreachable, StoreFault::LostRequest,
                                        StoreFault::LostAnswer, StoreFault::LateRequest};

static auto sectionsOf(int n, const std::string &mark) -> config::Sections
{
    auto sections = config::Sections();
    for (auto index = 0; index < n; ++index)
        sections["service/" + std::to_string(index)] = "limits " + std::to_string(index);
    sections["service/0"] = mark;
    return sections;
}

static auto requestFor(config::Sections sections, const std::string &id) -> PublishRequest
{
    return {.sections = std::move(sections), .applyId = id, .appliedBy = "operator-" + id};
}

template <typename Policy>
static auto step(PublishProtocol<Policy> &protocol, FakeStore &store,
                 StoreFault fault = StoreFault::None) -> void
{
    const auto request = protocol.next();
    if (const auto *range = std::get_if<store::RangeRequest>(&request))
        protocol.didReceiveRange(store.range(*range, fault));
    else
        protocol.didReceiveTxn(store.txn(std::get<store::Transaction>(request), fault));
}

template <typename Policy>
static auto publish(FakeStore &store, PublishRequest request) -> PublishResult
{
    auto protocol = PublishProtocol<Policy>(std::move(request));
    while (!protocol.isDone())
        step(protocol, store);
    return protocol.result();
}

/// Returns whether an outcome matches the store's content after all requests have arrived there.
static auto matchesStore(const PublishResult &result, const std::string &id,
                         const std::string &hash, const FakeStore &store) -> bool
{
    const auto head = store.head();
    const auto isApplied = head.findApply(id) != nullptr;
    switch (result.outcome) {
    case PublishOutcome::Applied:
        return isApplied && result.version == head.findApply(id)->version;
    case PublishOutcome::AlreadyInForce:
        return head.hash == hash;
    case PublishOutcome::Conflict:
        return !isApplied && result.inForce.version > 0 && result.inForce.hash != hash;
    case PublishOutcome::StoreUnavailable:
    case PublishOutcome::Rejected:
        return !isApplied;
    case PublishOutcome::Unknown:
        return true;
    }
    return false;
}

struct Start
{
    const char *name;
    int sectionsBefore; ///< Number of sections in the store; 0 for an empty store.
    int sectionsAfter;
};

static constexpr Start Starts[] = {
        {"first", 0, 3}, {"change", 3, 3}, {"many", 3, 110}, {"shrink", 110, 3}};

template <typename Policy>
static auto runWithFault(const Start &start, StoreFault fault, int from, int n, Violations &found)
        -> bool
{
    auto store = FakeStore();
    if (start.sectionsBefore > 0)
        publish<Policy>(store, requestFor(sectionsOf(start.sectionsBefore, "old"), "base"));
    const auto wanted = sectionsOf(start.sectionsAfter, "new");
    auto protocol = PublishProtocol<Policy>(requestFor(wanted, "own"));
    const auto name = std::string(start.name) + " fault " + std::to_string(static_cast<int>(fault))
                      + " at step " + std::to_string(from);
    auto count = 0;
    for (; !protocol.isDone(); ++count) {
        const auto isFaulty = count >= from && count < from + n;
        step(protocol, store, isFaulty ? fault : StoreFault::None);
        if (!store.isWhole())
            found.push_back(name + ": half applied");
    }
    store.applyLate();
    if (!matchesStore(protocol.result(), "own", config::hashOf(wanted), store))
        found.push_back(name + ": wrong outcome " + std::string(nameOf(protocol.result().outcome)));
    const auto again = publish<Policy>(store, requestFor(wanted, "again"));
    if (store.head().hash != config::hashOf(wanted) || !store.isWhole())
        found.push_back(name + ": applying the same file again does not repair it, "
                        + std::string(nameOf(again.outcome)));
    return count > from;
}

/// Runs every fault at every step, for one call, for two, and for all that follow.
template <typename Policy>
static auto runFaults() -> Violations
{
    auto found = Violations();
    for (const auto &start : Starts) {
        for (const auto fault : Faults) {
            for (const auto n : {1, 2, 1000}) {
                for (auto from = 0; runWithFault<Policy>(start, fault, from, n, found); ++from)
                    ;
            }
        }
    }
    return found;
}

/// Runs appliers in the given order of steps, one of them with a fault at one of its steps.
template <typename Policy>
static auto runRace(const std::vector<int> &order, int appliers, int faulty, int faultyStep,
                    StoreFault fault, Violations &found) -> void
{
    auto store = FakeStore();
    publish<Policy>(store, requestFor(sectionsOf(3, "old"), "base"));
    auto protocols = std::vector<PublishProtocol<Policy>>();
    auto steps = std::vector<int>(appliers);
    for (auto index = 0; index < appliers; ++index)
        protocols.emplace_back(
                requestFor(sectionsOf(3, "mark " + std::to_string(index)), std::to_string(index)));
    const auto run = [&](int index) {
        auto &protocol = protocols[index];
        if (protocol.isDone())
            return;
        const auto isFaulty = index == faulty && steps[index] == faultyStep;
        steps[index] += 1;
        step(protocol, store, isFaulty ? fault : StoreFault::None);
        if (!store.isWhole())
            found.emplace_back("race: half applied");
    };
    for (const auto it : order)
        run(it);
    for (auto index = 0; index < appliers; ++index) {
        while (!protocols[index].isDone())
            run(index);
    }
    store.applyLate();
    auto versions = std::set<std::uint64_t>();
    for (auto index = 0; index < appliers; ++index) {
        const auto &result = protocols[index].result();
        const auto hash = config::hashOf(sectionsOf(3, "mark " + std::to_string(index)));
        if (!matchesStore(result, std::to_string(index), hash, store))
            found.push_back("race: wrong outcome " + std::string(nameOf(result.outcome)));
        if (result.outcome == PublishOutcome::Applied && !versions.insert(result.version).second)
            found.emplace_back("race: two winners");
    }
    if (fault == StoreFault::None && versions.empty())
        found.emplace_back("race: no winner");
    if (fault == StoreFault::None && store.head().version != 1 + versions.size())
        found.emplace_back("race: a version was lost");
}

/// Returns every order of `perApplier` steps of each applier.
static auto everyOrder(int appliers, int perApplier) -> std::vector<std::vector<int>>
{
    auto order = std::vector<int>();
    for (auto index = 0; index < appliers; ++index)
        order.insert(order.end(), perApplier, index);
    auto orders = std::vector<std::vector<int>>();
    do {
        orders.push_back(order);
    } while (std::ranges::next_permutation(order).found);
    return orders;
}

template <typename Policy>
static auto runRaces() -> Violations
{
    static constexpr auto StepsOfAChange = 4; // Reads of head, root and bucket, and the write.
    auto found = Violations();
    for (const auto &order : everyOrder(2, StepsOfAChange)) {
        runRace<Policy>(order, 2, -1, 0, StoreFault::None, found);
        for (const auto fault : Faults)
            runRace<Policy>(order, 2, 0, StepsOfAChange - 1, fault, found);
    }
    auto random = Random(1);
    auto orders = everyOrder(3, 3);
    std::ranges::shuffle(orders, random);
    for (auto &order : orders) {
        // Each applier's first step reads the head; its decision follows within the next three steps.
        order.insert(order.end(), {0, 1, 2});
        runRace<Policy>(order, 3, -1, 0, StoreFault::None, found);
    }
    return found;
}

/// Loses an answer and then runs so many applies of others that the head no longer records the apply.
template <typename Policy>
static auto runEvictedApplies() -> Violations
{
    auto found = Violations();
    for (const auto others : {1, 15, 16, 17, 40}) {
        for (const auto fault : {StoreFault::LostAnswer, StoreFault::LostRequest}) {
            auto store = FakeStore();
            auto protocol = PublishProtocol<Policy>(requestFor(sectionsOf(3, "own"), "own"));
            step(protocol, store);
            step(protocol, store, fault);
            const auto isApplied = store.head().version > 0;
            for (auto index = 0; index < others; ++index)
                publish<Policy>(store, requestFor(sectionsOf(3, std::to_string(index)),
                                                  "other" + std::to_string(index)));
            while (!protocol.isDone())
                step(protocol, store);
            const auto outcome = protocol.result().outcome;
            const auto isWrong = isApplied ? outcome == PublishOutcome::Conflict
                                           : outcome == PublishOutcome::Applied;
            if (isWrong)
                found.push_back("evicted after " + std::to_string(others) + ": "
                                + std::string(nameOf(outcome)));
        }
    }
    return found;
}

/// A reader of a head that appliers have replaced meanwhile still finds every section that its head names.
template <typename Policy>
static auto runReaders() -> Violations
{
    auto found = Violations();
    auto store = FakeStore();
    auto heads = std::vector<Head>();
    for (auto index = 0; index < 60; ++index) {
        publish<Policy>(store,
                        requestFor(sectionsOf(5, std::to_string(index)), std::to_string(index)));
        heads.push_back(store.head());
        for (const auto &it : heads) {
            const auto isRecent = it.version + RetirementVersions > store.head().version;
            if (isRecent && !store.sectionsOf(it))
                found.emplace_back("a section of a recent head is missing");
        }
    }
    // Three values change with each version; those of older versions must not accumulate.
    if (store.pairs.size() > 5 + 40 + 3 * (RetirementVersions + 2))
        found.push_back("old values accumulate: " + std::to_string(store.pairs.size()));
    return found;
}

struct NoCompare : PublishPolicy
{
    static constexpr auto ComparesHead = false;
};

struct NoOwnApply : PublishPolicy
{
    static constexpr auto LooksForOwnApply = false;
};

struct NoRetirement : PublishPolicy
{
    static constexpr auto KeepsRetiredSections = false;
};

struct HeadFirst : PublishPolicy
{
    static constexpr auto WritesSectionsFirst = false;
};

struct IgnoresEviction : PublishPolicy
{
    static constexpr auto ReportsEvictedApplies = false;
};

Test(PublishMatrix, everyFaultAtEveryStep)
{
    const auto found = runFaults<PublishPolicy>();
    cr_assert(found.empty(), "%zu violations, first: %s", found.size(), found[0].c_str());
}

Test(PublishMatrix, everyOrderOfRacingSteps)
{
    const auto found = runRaces<PublishPolicy>();
    cr_assert(found.empty(), "%zu violations, first: %s", found.size(), found[0].c_str());
}

Test(PublishMatrix, lostAnswersAmongManyApplies)
{
    const auto found = runEvictedApplies<PublishPolicy>();
    cr_assert(found.empty(), "%zu violations, first: %s", found.size(), found[0].c_str());
}

Test(PublishMatrix, readersOfAnOlderHead)
{
    const auto found = runReaders<PublishPolicy>();
    cr_assert(found.empty(), "%zu violations, first: %s", found.size(), found[0].c_str());
}

Test(PublishMatrix, eachGuardIsNeeded)
{
    cr_assert(!runRaces<NoCompare>().empty());
    cr_assert(!runEvictedApplies<NoOwnApply>().empty());
    cr_assert(!runReaders<NoRetirement>().empty());
    cr_assert(!runFaults<HeadFirst>().empty());
    cr_assert(!runEvictedApplies<IgnoresEviction>().empty());
}

Test(PublishProtocol, theSameFileAgainIsAlreadyInForce)
{
    auto store = FakeStore();
    publish<PublishPolicy>(store, requestFor(sectionsOf(3, "a"), "1"));
    const auto again = publish<PublishPolicy>(store, requestFor(sectionsOf(3, "a"), "2"));
    cr_assert(again.outcome == PublishOutcome::AlreadyInForce);
    cr_assert_eq(store.head().version, 1);
}

Test(PublishProtocol, anotherVersionThanExpectedIsAConflict)
{
    auto store = FakeStore();
    publish<PublishPolicy>(store, requestFor(sectionsOf(3, "a"), "1"));
    auto request = requestFor(sectionsOf(3, "b"), "2");
    request.expectedVersion = 0;
    cr_assert(publish<PublishPolicy>(store, request).outcome == PublishOutcome::Conflict);
    request.expectedVersion = 1;
    cr_assert(publish<PublishPolicy>(store, request).outcome == PublishOutcome::Applied);
}

Test(PublishProtocol, anEmptiedStoreContinuesAboveTheVersionInForce)
{
    auto store = FakeStore();
    auto request = requestFor(sectionsOf(3, "a"), "1");
    request.minimumVersion = 71;
    cr_assert_eq(publish<PublishPolicy>(store, request).version, 71);
}

Test(PublishProtocol, valuesStaySmallWith651Sections)
{
    auto store = FakeStore();
    for (auto index = 0; index < 20; ++index)
        publish<PublishPolicy>(store, requestFor(sectionsOf(651, "mark " + std::to_string(index)),
                                                 "apply-" + std::to_string(index)));
    for (const auto &[key, pair] : store.pairs)
        cr_assert(pair.value.size() < 8192, "%s has %zu bytes", key.c_str(), pair.value.size());
    const auto head = store.pairs.at(std::string(HeadKey)).value.size();
    cr_assert(head < 1500, "the head has %zu bytes", head);
    cr_assert(store.isWhole());
}

Test(PublishProtocol, errorsNameWhatIsInForceAndTheRemedy)
{
    auto result = PublishResult();
    result.outcome = PublishOutcome::Conflict;
    result.inForce.version = 7;
    result.inForce.hash = "abcd";
    result.inForce.appliedBy = "ana";
    try {
        ensureInForce(result);
        cr_assert_fail("nothing was thrown");
    } catch (const ConflictError &error) {
        const auto text = std::string(error.what());
        for (const auto *it : {"version 7", "abcd", "ana", "apply again"})
            cr_assert(text.find(it) != std::string::npos, "no '%s' in: %s", it, error.what());
    }
    result.outcome = PublishOutcome::StoreUnavailable;
    cr_assert_throw(ensureInForce(result), StoreUnavailableError);
    result.outcome = PublishOutcome::Unknown;
    cr_assert_throw(ensureInForce(result), ApplyUnknownError);
}

Test(PublishProtocol, aLostAnswerOfAnyWriteDoesNotEndTheApply)
{
    // Three kinds of lost answers at each of four writes, the last of which is that of the head.
    for (auto run = 0; run < 12; ++run) {
        auto store = FakeStore();
        auto protocol = PublishProtocol<>(requestFor(sectionsOf(160, "new"), "own"));
        auto writes = 0;
        while (!protocol.isDone()) {
            const auto isWrite = std::holds_alternative<store::Transaction>(protocol.next());
            const auto isLost = isWrite && writes++ == run / 3;
            step(protocol, store, isLost ? Faults[1 + run % 3] : StoreFault::None);
        }
        const auto isApplied = protocol.result().outcome == PublishOutcome::Applied
                               && store.isWhole() && store.head().version == 1;
        cr_expect(isApplied && writes >= 4, "run %d", run);
    }
}
