#pragma once

#include <array>
#include <cstdio>
#include <cstdlib>
#include <fstream>
#include <string>

#include "VirtualClusterEntries.h"
#include "VirtualClusterNodes.h"

namespace stairspur::keyed::test {

/// A fault that a scenario injects.
enum class Fault {
    Kill,
    Pause,
    CutOneWay,
    CutBothWays,
    Slow,
    Duplicate,
    Reorder,
    LostAnswer,
    StoreDown,
    StoreSlow,
    StoreLostAnswer,
    ConfigurationChange,
    Restart,
    BothLost,
    HandOverCrossing,
};

} // namespace stairspur::keyed::test

template <>
inline constexpr auto stairspur::enumNames<stairspur::keyed::test::Fault> =
        std::array<std::string_view, 15>{
                "kill",       "pause",      "cut-one-way",       "cut-both-ways",
                "slow",       "duplicate",  "reorder",           "lost-answer",
                "store-down", "store-slow", "store-lost-answer", "configuration-change",
                "restart",    "both-lost",  "hand-over-crossing"};

namespace stairspur::keyed::test {

inline constexpr auto faultCount = enumNames<Fault>.size();
inline constexpr auto stepCount = enumNames<Step>.size();

/// Appends a row of docs/FAULT-MATRIX.md to the file in STAIRSPUR_MATRIX_FILE, if that variable is set.
inline auto printRow(const std::string &row) -> void
{
    const auto *path = std::getenv("STAIRSPUR_MATRIX_FILE");
    if (path != nullptr)
        std::ofstream(path, std::ios::app) << row + '\n';
}

/// The result of one interleaving.
struct ScenarioResult
{
    std::string violation;    ///< The first violated invariant; empty if all hold.
    bool wasInjected = false; ///< Whether the step was reached and the fault injected.
    bool didRecover = false;  ///< Whether a new key was answered after all faults had ended.
    /// False if the slot waits for a proof that this scenario doesn't provide.
    bool mayRecover = true;
    int runs = 0;
};

/// One fault at one step; a seed determines the order of all other events. Keys are retried at other entries, the step
/// gets the change of placement that it needs, the fault is injected and ended, and a new key is called at the end.
template <typename Guards>
class Scenario
{
public:
    Scenario(Fault fault, Step step, std::uint64_t seed)
        : m_fault(fault)
        , m_step(step)
        , m_cluster(seed * 977 + std::uint64_t(fault) * 31 + std::uint64_t(step))
    {}

    auto run() -> ScenarioResult
    {
        m_cluster.time.runUntil(TimePoint(ms(1200))); // The first placement is written by then.
        const auto shape = randomBelow(m_cluster.random, 3);
        m_key = shape == 0 ? "order-" + std::to_string(m_cluster.random() % 1000)
                           : mint(shape == 2 ? "centre/" : "");
        m_placement = m_cluster.placementOf(m_key);
        m_cluster.didReach = [this](Step step, const std::string &key, bool isAfter) {
            injectAt(step, key, isAfter);
        };
        if (randomBelow(m_cluster.random, 3) == 0)
            m_cluster.notRunPercent = 70;
        if (randomBelow(m_cluster.random, 3) == 0)
            m_cluster.maxRunTime = 500'000;
        if (randomBelow(m_cluster.random, 2) == 0)
            m_cluster.didEnd = [this](const auto &attempt) { retryImmediately(attempt); };
        m_injectsAfterStep = randomBelow(m_cluster.random, 2) == 0;
        m_skippedOccasions = static_cast<int>(randomBelow(m_cluster.random, 3));
        scheduleAttempts();
        changePlacement();
        m_cluster.time.after(ms(700), [this] { stopSkipping(); });
        m_cluster.time.runUntil(m_cluster.time.now() + ms(4200));
        endFaults();
        m_cluster.time.runUntil(m_cluster.time.now() + ms(2500));
        return evaluate();
    }

private:
    /// Schedules the attempts: at least four for the key of the fault, some of them concurrent, and some for other
    /// keys.
    auto scheduleAttempts() -> void
    {
        const auto n = 3 + randomBelow(m_cluster.random, 3);
        for (std::uint64_t attempt = 0; attempt < n; ++attempt) {
            const auto delay = attempt * 150'000 + randomBelow(m_cluster.random, 250'000);
            attemptAfter(Duration(delay), m_key, 1);
        }
        attemptAfter(ms(1700), m_key, 1);
        if (randomBelow(m_cluster.random, 3) == 0)
            attemptAfter(Duration(randomBelow(m_cluster.random, 900'000)), m_key, 2);
        if (mintTimeOf(m_key)) // Only keys with a mint time may be retried after their lifetime.
            attemptAfter(ms(4100), m_key, 1);
        for (int other = 0; other < 4; ++other)
            m_cluster.time.after(Duration(randomBelow(m_cluster.random, 2'200'000)), [this] {
                const auto key = mint("centre/");
                for (int attempt = 0; attempt < 4; ++attempt)
                    attemptAfter(Duration(randomBelow(m_cluster.random, 900'000)), key, 1);
            });
    }

    auto attemptAfter(Duration delay, const std::string &key, std::uint64_t fingerprint) -> void
    {
        m_cluster.time.after(delay, [this, key, fingerprint] {
            const auto entry = "entry-" + std::to_string(1 + randomBelow(m_cluster.random, 3));
            const auto timeout = Duration(200'000 + randomBelow(m_cluster.random, 700'000));
            const auto isQuery = randomBelow(m_cluster.random, 6) == 0;
            m_cluster.begin(key, fingerprint, entry, timeout, isQuery);
        });
    }

    /// Retries as a caller that repeats its call immediately after `not-run`.
    auto retryImmediately(const ObservedAttempt &attempt) -> void
    {
        const auto isNotRun = attempt.answer.outcome == Outcome::NotRun
                              && attempt.answer.reason != Reason::BadRequest;
        if (isNotRun && m_retries++ < maxRetries)
            attemptAfter(Duration(randomBelow(m_cluster.random, 30'000)), attempt.key,
                         attempt.fingerprint);
    }

    auto mint(const std::string &prefix) -> std::string
    {
        const auto wall = m_cluster.wallOf(m_cluster.nodes["entry-1"]);
        char text[48];
        std::snprintf(text, sizeof text, "%08llx-%04llx-7000-8000-%012llx",
                      static_cast<unsigned long long>(wall >> 16U),
                      static_cast<unsigned long long>(wall & 0xffffU),
                      static_cast<unsigned long long>(m_cluster.random() & 0xffffffffffffULL));
        return prefix + text;
    }

    /// Causes the change of placement without which the scenario's step isn't reached.
    auto changePlacement() -> void
    {
        const auto delay = Duration(randomBelow(m_cluster.random, 400'000));
        if (m_step == Step::HandOver)
            m_cluster.time.after(delay, [this] { leave(m_placement.primary.node); });
        if (m_step != Step::Takeover && m_step != Step::CompareAndSwap)
            return;
        const auto victim = anyMember();
        switch (randomBelow(m_cluster.random, 3)) {
        case 0:
            m_cluster.time.after(delay, [this, victim] { m_cluster.kill(victim); });
            break;
        case 1:
            m_cluster.time.after(delay, [this, victim] { m_cluster.pause(victim); });
            m_cluster.time.after(delay + ms(1100), [this, victim] { m_cluster.resume(victim); });
            break;
        default:
            m_cluster.time.after(delay, [this, victim] { cutOff(victim, true, true); });
            break;
        }
    }

    auto leave(const NodeId &node) -> void { m_cluster.nodes[node].isLeaving = true; }

    auto anyMember() -> NodeId
    {
        return randomBelow(m_cluster.random, 2) == 0 ? m_placement.primary.node
                                                     : m_placement.witness.node;
    }

    /// Injects the fault if `step` of `key` is the selected occasion.
    auto injectAt(Step step, const std::string &key, bool isAfter) -> void
    {
        const auto isAimedAt = step == m_step && (key.empty() || key == m_key);
        if (m_wasInjected || !isAimedAt || (isAfter != m_injectsAfterStep && step != Step::Forget)
            || (m_skippedOccasions-- > 0 && step != Step::CompareAndSwap))
            return;
        inject();
    }

    auto stopSkipping() -> void
    {
        m_skippedOccasions = 0; // The next occasion is used.
    }

    auto inject() -> void
    {
        m_wasInjected = true;
        m_placement = m_cluster.placementOf(m_key);
        if (randomBelow(m_cluster.random, 2) == 0)
            m_cluster.time.after(Duration(randomBelow(m_cluster.random, 800'000)),
                                 [this] { injectSecondFault(); });
        const auto victim = anyMember();
        const auto length = ms(150 + static_cast<long long>(randomBelow(m_cluster.random, 1200)));
        auto &network = m_cluster.network;
        switch (m_fault) {
        case Fault::Kill:
            return m_cluster.kill(victim);
        case Fault::Pause:
            m_cluster.pause(victim);
            return m_cluster.time.after(length, [this, victim] { m_cluster.resume(victim); });
        case Fault::CutOneWay:
        case Fault::CutBothWays: {
            const auto isBoth = m_fault == Fault::CutBothWays;
            const auto isOut = isBoth || randomBelow(m_cluster.random, 2) == 0;
            cutOff(victim, isOut, isBoth || !isOut);
            break;
        }
        case Fault::Slow:
            network.slow(victim);
            break;
        case Fault::Duplicate:
            network.duplicate(true);
            network.reorder(true);
            break;
        case Fault::Reorder:
            network.reorder(true);
            break;
        case Fault::LostAnswer:
            for (const auto *entry : {"entry-1", "entry-2", "entry-3"})
                network.cut(m_placement.primary.node, entry);
            break;
        case Fault::StoreDown:
            m_cluster.store.isDown = true;
            break;
        case Fault::StoreSlow:
            m_cluster.store.isSlow = true;
            break;
        case Fault::StoreLostAnswer:
            m_cluster.store.losesAnswers = true;
            break;
        case Fault::ConfigurationChange:
            return m_cluster.changeHomes();
        case Fault::Restart:
            m_cluster.kill(victim);
            return m_cluster.time.after(ms(50), [this, victim] { m_cluster.restart(victim); });
        case Fault::BothLost:
            return loseBoth();
        case Fault::HandOverCrossing:
            return leave(m_placement.primary.node);
        }
        m_cluster.time.after(length, [this] {
            m_cluster.network.heal();
            m_cluster.store.heal();
        });
    }

    /// Injects a second fault: a member of the pair is lost as well.
    auto injectSecondFault() -> void
    {
        const auto victim = anyMember();
        switch (randomBelow(m_cluster.random, 3)) {
        case 0:
            return m_cluster.kill(victim);
        case 1:
            m_cluster.kill(victim);
            return m_cluster.time.after(ms(80), [this, victim] { m_cluster.restart(victim); });
        default:
            return cutOff(victim, true, randomBelow(m_cluster.random, 2) == 0);
        }
    }

    /// Cuts `victim` off from all others, from the rest of its domain, from the store, or from all but the entries.
    auto cutOff(const NodeId &victim, bool cutsOutgoing, bool cutsIncoming) -> void
    {
        const auto kind = randomBelow(m_cluster.random, 4);
        const auto isCutFrom = [kind](const NodeId &other) {
            const auto isEntry = other.starts_with("entry");
            const auto isStore = other == "store";
            return kind == 0 || (kind == 1 && !isEntry && !isStore) || (kind == 2 && isStore)
                   || (kind == 3 && !isEntry);
        };
        m_cluster.isolate(victim, isCutFrom, cutsOutgoing, cutsIncoming);
    }

    auto loseBoth() -> void
    {
        const auto primary = m_placement.primary.node;
        const auto witness = m_placement.witness.node;
        switch (randomBelow(m_cluster.random, 3)) {
        case 0: // Partition: both continue to serve everyone who reaches them.
            for (const auto &[id, node] : m_cluster.nodes) {
                const auto isInside = id == primary || id == witness || id == "entry-1";
                if (!isInside)
                    m_cluster.isolate(
                            id,
                            [&](const auto &other) {
                                return other == primary || other == witness || other == "entry-1";
                            },
                            true, true);
            }
            m_cluster.network.cut(primary, "store");
            m_cluster.network.cut(witness, "store");
            return m_cluster.time.after(ms(1500), [this] { m_cluster.network.heal(); });
        case 1:
            m_cluster.kill(primary);
            m_cluster.kill(witness);
            return m_cluster.time.after(ms(600), [this, primary, witness] {
                m_cluster.restart(primary);
                m_cluster.restart(witness);
            });
        default:
            m_cluster.kill(primary);
            m_cluster.kill(witness);
            return m_cluster.time.after(ms(600), [this, witness] { m_cluster.restart(witness); });
        }
    }

    auto endFaults() -> void
    {
        m_cluster.network.heal();
        m_cluster.store.heal();
        for (auto &[id, node] : m_cluster.nodes) {
            if (node.isPaused)
                m_cluster.resume(id);
        }
        // This is long enough to reassign a slot. Keys that were minted right after a change of homes are uncertain.
        m_cluster.time.runUntil(m_cluster.time.now() + ms(1500));
        m_newKey = mint("centre/");
        m_firstAttempt = m_cluster.begin(m_newKey, 1, "entry-2", ms(1000));
        m_cluster.time.after(ms(1100), [this] {
            m_secondAttempt = m_cluster.begin(m_newKey, 1, "entry-2", ms(1000));
        });
    }

    auto evaluate() -> ScenarioResult
    {
        auto result = ScenarioResult();
        result.violation = m_cluster.checker.findViolation();
        result.wasInjected = m_wasInjected;
        const auto ran = [&](std::uint64_t id) {
            const auto outcome = m_cluster.outcomeOf(id);
            // A dispatch may end without an answer or without having run, so a key that has run counts as well.
            return m_cluster.hasEnded(id) && (outcome != Outcome::Unknown || hasRun(m_newKey));
        };
        result.didRecover = ran(m_firstAttempt) || ran(m_secondAttempt);
        auto alive = 0;
        for (const auto &[id, node] : m_cluster.nodes)
            alive += node.domain == homeDomain && node.isAlive && !node.isLeaving ? 1 : 0;
        const auto placement = m_cluster.placementOf(m_newKey);
        const auto isRunning = [&](const Replica &it) {
            const auto &node = m_cluster.nodes[it.node];
            return node.isAlive && node.replica == it;
        };
        const auto isBlocked = !isRunning(placement.primary) && !isRunning(placement.witness);
        result.mayRecover = alive >= 2 && !isBlocked;
        result.runs = static_cast<int>(m_cluster.checker.runs.size());
        return result;
    }

    auto hasRun(const std::string &key) const -> bool
    {
        const auto &runs = m_cluster.checker.runs;
        return std::any_of(runs.begin(), runs.end(), [&](const auto &it) { return it.key == key; });
    }

    Fault m_fault;
    Step m_step;
    VirtualCluster<Guards> m_cluster;
    std::string m_key;
    std::string m_newKey;
    std::uint64_t m_firstAttempt = 0;
    std::uint64_t m_secondAttempt = 0;
    SlotPlacement m_placement;
    bool m_wasInjected = false;
    bool m_injectsAfterStep = false;
    int m_skippedOccasions = 0;
    int m_retries = 0;
    static constexpr auto maxRetries = 12;
};

} // namespace stairspur::keyed::test
