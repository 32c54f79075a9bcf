#pragma once

#include <array>
#include <cstdio>
#include <cstdlib>
#include <fstream>
#include <string>

#include "WorldEntries.h"
#include "WorldNodes.h"

namespace stairspur::keyed::test {

/// What strikes.
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

/// Appends a row to the file that STAIRSPUR_MATRIX_FILE names, if it is set; for docs/FAULT-MATRIX.md.
inline auto printRow(const std::string &row) -> void
{
    const auto *path = std::getenv("STAIRSPUR_MATRIX_FILE");
    if (path != nullptr)
        std::ofstream(path, std::ios::app) << row + '\n';
}

/// What one interleaving showed.
struct Verdict
{
    std::string violation;   ///< Empty: the invariants hold.
    bool didStrike = false;  ///< The step was reached and the fault struck.
    bool didRecover = false; ///< A fresh key was answered after all faults had ended.
    bool mayRecover =
            true; ///< False: the slot waits for a proof that nobody gives in this scenario.
    int runs = 0;
};

/// One fault at one step, with the order of everything else drawn from a seed: keys that are retried at other entries, a
/// second disturbance where the step needs one, the fault, its end, and a fresh key at last.
template <typename Guards>
class Scenario
{
public:
    Scenario(Fault fault, Step step, std::uint64_t seed)
        : m_fault(fault)
        , m_step(step)
        , m_world(seed * 977 + std::uint64_t(fault) * 31 + std::uint64_t(step))
    {}

    auto run() -> Verdict
    {
        m_world.time.runUntil(TimePoint(ms(1200))); // The first placement is written.
        const auto shape = randomBelow(m_world.random, 3);
        m_key = shape == 0 ? "order-" + std::to_string(m_world.random() % 1000)
                           : mint(shape == 2 ? "centre/" : "");
        m_placement = m_world.placementOf(m_key);
        m_world.didReach = [this](Step step, const std::string &key, bool isAfter) {
            strikeAt(step, key, isAfter);
        };
        if (randomBelow(m_world.random, 3) == 0)
            m_world.notRunPercent = 70;
        if (randomBelow(m_world.random, 3) == 0)
            m_world.longestRun = 500'000;
        if (randomBelow(m_world.random, 2) == 0)
            m_world.didEnd = [this](const auto &attempt) { retryAtOnce(attempt); };
        m_strikesAfter = randomBelow(m_world.random, 2) == 0;
        m_skippedOccasions = static_cast<int>(randomBelow(m_world.random, 3));
        scheduleAttempts();
        disturb();
        m_world.time.after(ms(700), [this] { strikeAnyway(); });
        m_world.time.runUntil(m_world.time.now() + ms(4200));
        endFaults();
        m_world.time.runUntil(m_world.time.now() + ms(2500));
        return judge();
    }

private:
    /// The keys' attempts: three or four of the one that the fault aims at, some of them side by side, and a few others.
    auto scheduleAttempts() -> void
    {
        const auto n = 3 + randomBelow(m_world.random, 3);
        for (std::uint64_t attempt = 0; attempt < n; ++attempt) {
            const auto delay = attempt * 150'000 + randomBelow(m_world.random, 250'000);
            attemptAfter(Duration(delay), m_key, 1);
        }
        attemptAfter(ms(1700), m_key, 1);
        if (randomBelow(m_world.random, 3) == 0)
            attemptAfter(Duration(randomBelow(m_world.random, 900'000)), m_key, 2);
        if (mintTimeOf(m_key)) // Only keys with a mint time may be retried after their lifetime.
            attemptAfter(ms(4100), m_key, 1);
        for (int other = 0; other < 4; ++other)
            m_world.time.after(Duration(randomBelow(m_world.random, 2'200'000)), [this] {
                const auto key = mint("centre/");
                for (int attempt = 0; attempt < 4; ++attempt)
                    attemptAfter(Duration(randomBelow(m_world.random, 900'000)), key, 1);
            });
    }

    auto attemptAfter(Duration delay, const std::string &key, std::uint64_t fingerprint) -> void
    {
        m_world.time.after(delay, [this, key, fingerprint] {
            const auto entry = "entry-" + std::to_string(1 + randomBelow(m_world.random, 3));
            const auto patience = Duration(200'000 + randomBelow(m_world.random, 700'000));
            const auto isQuery = randomBelow(m_world.random, 6) == 0;
            m_world.begin(key, fingerprint, entry, patience, isQuery);
        });
    }

    /// Some callers come back as soon as they are told `not-run`.
    auto retryAtOnce(const SeenAttempt &attempt) -> void
    {
        const auto isTold = attempt.answer.outcome == Outcome::NotRun
                            && attempt.answer.reason != Reason::BadRequest;
        if (isTold && m_retries++ < maxRetries)
            attemptAfter(Duration(randomBelow(m_world.random, 30'000)), attempt.key,
                         attempt.fingerprint);
    }

    auto mint(const std::string &prefix) -> std::string
    {
        const auto wall = m_world.wallOf(m_world.nodes["entry-1"]);
        char text[48];
        std::snprintf(text, sizeof text, "%08llx-%04llx-7000-8000-%012llx",
                      static_cast<unsigned long long>(wall >> 16U),
                      static_cast<unsigned long long>(wall & 0xffffU),
                      static_cast<unsigned long long>(m_world.random() & 0xffffffffffffULL));
        return prefix + text;
    }

    /// What it takes for the steps of a change of placement to come about.
    auto disturb() -> void
    {
        const auto delay = Duration(randomBelow(m_world.random, 400'000));
        if (m_step == Step::HandOver)
            m_world.time.after(delay, [this] { leave(m_placement.primary.node); });
        if (m_step != Step::Takeover && m_step != Step::CompareAndSwap)
            return;
        const auto victim = anyMember();
        switch (randomBelow(m_world.random, 3)) {
        case 0:
            m_world.time.after(delay, [this, victim] { m_world.kill(victim); });
            break;
        case 1:
            m_world.time.after(delay, [this, victim] { m_world.pause(victim); });
            m_world.time.after(delay + ms(1100), [this, victim] { m_world.resume(victim); });
            break;
        default:
            m_world.time.after(delay, [this, victim] { cutAway(victim, true, true); });
            break;
        }
    }

    auto leave(const NodeId &node) -> void { m_world.nodes[node].isLeaving = true; }

    auto anyMember() -> NodeId
    {
        return randomBelow(m_world.random, 2) == 0 ? m_placement.primary.node
                                                   : m_placement.witness.node;
    }

    auto strikeAt(Step step, const std::string &key, bool isAfter) -> void
    {
        const auto isAimedAt = step == m_step && (key.empty() || key == m_key);
        if (m_didStrike || !isAimedAt || (isAfter != m_strikesAfter && step != Step::Forget)
            || (m_skippedOccasions-- > 0 && step != Step::CompareAndSwap))
            return;
        strike();
    }

    auto strikeAnyway() -> void
    {
        m_skippedOccasions = 0; // From now on the first occasion is taken.
    }

    auto strike() -> void
    {
        m_didStrike = true;
        m_placement = m_world.placementOf(m_key);
        if (randomBelow(m_world.random, 2) == 0)
            m_world.time.after(Duration(randomBelow(m_world.random, 800'000)),
                               [this] { strikeAgain(); });
        const auto victim = anyMember();
        const auto length = ms(150 + static_cast<long long>(randomBelow(m_world.random, 1200)));
        auto &network = m_world.network;
        switch (m_fault) {
        case Fault::Kill:
            return m_world.kill(victim);
        case Fault::Pause:
            m_world.pause(victim);
            return m_world.time.after(length, [this, victim] { m_world.resume(victim); });
        case Fault::CutOneWay:
        case Fault::CutBothWays: {
            const auto isBoth = m_fault == Fault::CutBothWays;
            const auto isOut = isBoth || randomBelow(m_world.random, 2) == 0;
            cutAway(victim, isOut, isBoth || !isOut);
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
            m_world.store.isDown = true;
            break;
        case Fault::StoreSlow:
            m_world.store.isSlow = true;
            break;
        case Fault::StoreLostAnswer:
            m_world.store.losesAnswers = true;
            break;
        case Fault::ConfigurationChange:
            return m_world.changeHomes();
        case Fault::Restart:
            m_world.kill(victim);
            return m_world.time.after(ms(50), [this, victim] { m_world.restart(victim); });
        case Fault::BothLost:
            return loseBoth();
        case Fault::HandOverCrossing:
            return leave(m_placement.primary.node);
        }
        m_world.time.after(length, [this] {
            m_world.network.heal();
            m_world.store.heal();
        });
    }

    /// Troubles come together: a member of the pair is lost as well.
    auto strikeAgain() -> void
    {
        const auto victim = anyMember();
        switch (randomBelow(m_world.random, 3)) {
        case 0:
            return m_world.kill(victim);
        case 1:
            m_world.kill(victim);
            return m_world.time.after(ms(80), [this, victim] { m_world.restart(victim); });
        default:
            return cutAway(victim, true, randomBelow(m_world.random, 2) == 0);
        }
    }

    /// Cuts `victim` off from everybody, from the rest of the domain, from the store, or from the entries.
    auto cutAway(const NodeId &victim, bool cutsOutgoing, bool cutsIncoming) -> void
    {
        const auto kind = randomBelow(m_world.random, 4);
        const auto isCutFrom = [kind](const NodeId &other) {
            const auto isEntry = other.starts_with("entry");
            const auto isStore = other == "store";
            return kind == 0 || (kind == 1 && !isEntry && !isStore) || (kind == 2 && isStore)
                   || (kind == 3 && !isEntry);
        };
        m_world.isolate(victim, isCutFrom, cutsOutgoing, cutsIncoming);
    }

    auto loseBoth() -> void
    {
        const auto primary = m_placement.primary.node;
        const auto witness = m_placement.witness.node;
        switch (randomBelow(m_world.random, 3)) {
        case 0: // A split: both go on serving whoever reaches them.
            for (const auto &[id, node] : m_world.nodes) {
                const auto isInside = id == primary || id == witness || id == "entry-1";
                if (!isInside)
                    m_world.isolate(
                            id,
                            [&](const auto &other) {
                                return other == primary || other == witness || other == "entry-1";
                            },
                            true, true);
            }
            m_world.network.cut(primary, "store");
            m_world.network.cut(witness, "store");
            return m_world.time.after(ms(1500), [this] { m_world.network.heal(); });
        case 1:
            m_world.kill(primary);
            m_world.kill(witness);
            return m_world.time.after(ms(600), [this, primary, witness] {
                m_world.restart(primary);
                m_world.restart(witness);
            });
        default:
            m_world.kill(primary);
            m_world.kill(witness);
            return m_world.time.after(ms(600), [this, witness] { m_world.restart(witness); });
        }
    }

    auto endFaults() -> void
    {
        m_world.network.heal();
        m_world.store.heal();
        for (auto &[id, node] : m_world.nodes) {
            if (node.isPaused)
                m_world.resume(id);
        }
        // Long enough for a slot to be placed anew. After a change of homes keys that were minted just then are uncertain.
        m_world.time.runUntil(m_world.time.now() + ms(1500));
        m_freshKey = mint("centre/");
        m_freshAttempt = m_world.begin(m_freshKey, 1, "entry-2", ms(1000));
        m_world.time.after(ms(1100), [this] {
            m_secondAttempt = m_world.begin(m_freshKey, 1, "entry-2", ms(1000));
        });
    }

    auto judge() -> Verdict
    {
        auto verdict = Verdict();
        verdict.violation = m_world.ledger.judge();
        verdict.didStrike = m_didStrike;
        const auto ran = [&](std::uint64_t id) {
            const auto outcome = m_world.outcomeOf(id);
            // A dispatch may end without an answer, or without having run: then the order is the backend server's.
            return m_world.hasEnded(id) && (outcome != Outcome::Unknown || hasRun(m_freshKey));
        };
        verdict.didRecover = ran(m_freshAttempt) || ran(m_secondAttempt);
        auto alive = 0;
        for (const auto &[id, node] : m_world.nodes)
            alive += node.domain == homeDomain && node.isAlive && !node.isLeaving ? 1 : 0;
        const auto placement = m_world.placementOf(m_freshKey);
        const auto isHere = [&](const Replica &it) {
            const auto &node = m_world.nodes[it.node];
            return node.isAlive && node.replica == it;
        };
        const auto isBlocked = !isHere(placement.primary) && !isHere(placement.witness);
        verdict.mayRecover = alive >= 2 && !isBlocked;
        verdict.runs = static_cast<int>(m_world.ledger.runs.size());
        return verdict;
    }

    auto hasRun(const std::string &key) const -> bool
    {
        const auto &runs = m_world.ledger.runs;
        return std::any_of(runs.begin(), runs.end(), [&](const auto &it) { return it.key == key; });
    }

    Fault m_fault;
    Step m_step;
    World<Guards> m_world;
    std::string m_key;
    std::string m_freshKey;
    std::uint64_t m_freshAttempt = 0;
    std::uint64_t m_secondAttempt = 0;
    SlotPlacement m_placement;
    bool m_didStrike = false;
    bool m_strikesAfter = false;
    int m_skippedOccasions = 0;
    int m_retries = 0;
    static constexpr auto maxRetries = 12;
};

} // namespace stairspur::keyed::test
