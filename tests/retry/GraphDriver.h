#pragma once

#include <algorithm>
#include <cstdint>
#include <unordered_set>
#include <vector>

#include <stairspur/core/Random.h>
#include <stairspur/retry/RetryPolicy.h>

/// A call graph run in memory over the ledger, the budget and the decision that a node uses, with seeded losses.
namespace stairspur::retry {

struct GraphShape
{
    std::uint32_t depth = 1;  ///< Services one below the other, the root's included.
    std::uint32_t fanOut = 1; ///< Deeper calls of each call.
    std::size_t maxCalls = 300;
};

/// Probabilities for each attempt.
struct LossPattern
{
    double lostRequest = 0;  ///< The gate never sees it; the entry cannot know.
    double lostAnswer = 0;   ///< It ran, but the entry hears nothing.
    double refusal = 0;      ///< Proven not run.
    double failure = 0;      ///< The backend server answers that it failed.
    double duplicate = 0;    ///< Request and answer both arrive twice.
    double lie = 0;          ///< The answer claims more unspent budget than there ever was.
    bool isParallel = false; ///< Deeper calls all start before the first one ends.
};

struct GraphRun
{
    bool isSuccess = false;
    std::uint64_t dispatches = 0;
};

/// Children of each call. One line of calls reaches the full depth; the rest is filled breadth first.
inline auto makeGraph(const GraphShape &shape) -> std::vector<std::vector<std::size_t>>
{
    auto children = std::vector<std::vector<std::size_t>>(1);
    auto depths = std::vector<std::uint32_t>{1};
    const auto add = [&](std::size_t parent) {
        children[parent].push_back(children.size());
        depths.push_back(depths[parent] + 1);
        children.emplace_back();
    };
    while (depths.back() < shape.depth)
        add(children.size() - 1);
    for (std::size_t call = 0; call < children.size(); ++call) {
        while (depths[call] < shape.depth && children[call].size() < shape.fanOut
               && children.size() < shape.maxCalls)
            add(call);
    }
    return children;
}

template <typename Ledger, typename Budget>
class GraphDriver
{
public:
    GraphDriver(const GraphShape &shape, const LossPattern &losses, std::uint64_t seed)
        : m_children(makeGraph(shape))
        , m_losses(losses)
        , m_random(seed)
    {}

    [[nodiscard]] auto calls() const -> std::uint64_t { return m_children.size(); }

    /// Runs the root request with `budget` extra attempts.
    auto run(std::uint32_t budget) -> GraphRun
    {
        m_dispatches = 0;
        auto root = Budget(budget, false);
        const auto isSuccess = place(0, root);
        return {isSuccess, m_dispatches};
    }

    /// Calls that the gates still hold open. None after a run.
    [[nodiscard]] auto openCalls() const -> std::size_t { return m_ledger.size(); }

private:
    auto happens(double probability) -> bool { return randomUnit(m_random) < probability; }

    /// The entry: sends until the call is answered or the decision is to give up.
    auto place(std::size_t call, Budget &budget) -> bool
    {
        auto elsewhereTries = 0U;
        for (;;) {
            const auto end = attempt(call, budget);
            if (end.outcome == Outcome::Answered)
                return true;
            const auto decision = decideRetry(end);
            if (decision == RetryDecision::GiveUp)
                return false;
            if (decision == RetryDecision::Elsewhere && elsewhereTries++ >= MaxElsewhereTries)
                return false;
            if (decision == RetryDecision::Retry && !budget.trySpend())
                return false;
        }
    }

    auto attempt(std::size_t call, Budget &budget) -> AttemptEnd
    {
        const auto sent = budget.startAttempt(!m_children[call].empty());
        auto end = AttemptEnd{Outcome::Unknown,    Reason::LinkLost, true, true, 0, true,
                              Duration{1'000'000}, Duration{1'000}};
        if (happens(m_losses.refusal)) {
            end.outcome = Outcome::NotRun;
            end.wasDispatched = false;
            budget.didAnswer(sent.retryBudget);
        } else if (!happens(m_losses.lostRequest)) {
            deliver(call, sent, budget, end);
        }
        end.budget = budget.left();
        return end;
    }

    template <typename Sent>
    auto deliver(std::size_t call, const Sent &sent, Budget &budget, AttemptEnd &end) -> void
    {
        const auto id = ++m_lastId;
        const auto isDuplicate = happens(m_losses.duplicate);
        auto unspent = std::uint32_t{0};
        const auto isSuccess = dispatch(call, id, sent, unspent);
        if (isDuplicate)
            dispatch(call, id, sent, unspent);
        if (happens(m_losses.lostAnswer))
            return;
        end.outcome = isSuccess ? Outcome::Answered : Outcome::Failed;
        end.reason = Reason::None;
        if (happens(m_losses.lie))
            unspent += 1000;
        budget.didAnswer(unspent);
        if (isDuplicate)
            budget.didAnswer(unspent);
    }

    /// The gate: a request whose id the link has carried before is dropped.
    template <typename Sent>
    auto dispatch(std::size_t call, CallId id, const Sent &sent, std::uint32_t &unspent) -> bool
    {
        if (!m_seen.insert(id).second)
            return false;
        ++m_dispatches;
        m_ledger.open(id, sent.retryBudget, sent.isRepeat);
        const auto isSuccess = runDeeperCalls(call, id) && !happens(m_losses.failure);
        unspent = m_ledger.close(id);
        return isSuccess;
    }

    auto runDeeperCalls(std::size_t call, CallId parent) -> bool
    {
        const auto &children = m_children[call];
        auto budgets = std::vector<Budget>();
        auto isSuccess = true;
        for (std::size_t n = 0; n < children.size() && isSuccess; ++n) {
            const auto share = m_ledger.takeShare(parent);
            if (!share)
                return settle(parent, budgets);
            budgets.emplace_back(*share, m_ledger.isRepeat(parent));
            if (!m_losses.isParallel) {
                isSuccess = place(children[n], budgets.back());
                m_ledger.giveBack(parent, budgets.back().left());
                budgets.clear();
            }
        }
        for (std::size_t n = 0; n < budgets.size(); ++n) {
            isSuccess = place(children[n], budgets[n]) && isSuccess;
            m_ledger.giveBack(parent, budgets[n].left());
        }
        return isSuccess;
    }

    /// A repeat that cannot pay for its next deeper call fails; the shares of those not yet sent come back.
    auto settle(CallId parent, const std::vector<Budget> &budgets) -> bool
    {
        for (const auto &it : budgets)
            m_ledger.giveBack(parent, it.left());
        return false;
    }

    std::vector<std::vector<std::size_t>> m_children;
    LossPattern m_losses;
    Random m_random;
    Ledger m_ledger;
    std::unordered_set<CallId> m_seen;
    CallId m_lastId = 0;
    std::uint64_t m_dispatches = 0;
};

} // namespace stairspur::retry
