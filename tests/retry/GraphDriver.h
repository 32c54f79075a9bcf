#pragma once

#include <algorithm>
#include <cstdint>
#include <unordered_set>
#include <vector>

#include <stairspur/core/Random.h>
#include <stairspur/retry/RetryPolicy.h>

/// Runs call graphs in memory with the ledger, the budget and the retry decision that a node uses, under seeded faults.
namespace stairspur::retry {

struct GraphShape
{
    std::uint32_t depth = 1;    ///< Levels of services, including the root's.
    std::uint32_t fanOut = 1;   ///< Deeper calls of each call.
    std::size_t maxCalls = 300; ///< Maximum number of calls in the graph.
};

/// Probabilities of the faults of each attempt.
struct LossPattern
{
    double lostRequest = 0;  ///< The gate does not receive it, and the entry cannot detect that.
    double lostAnswer = 0;   ///< The call ran, but the entry receives no answer.
    double refusal = 0;      ///< The call has provably not run.
    double failure = 0;      ///< The backend server answers with a failure.
    double duplicate = 0;    ///< The request and the answer both arrive twice.
    double falseClaim = 0;   ///< The answer claims more unspent budget than was ever taken.
    bool isParallel = false; ///< All deeper calls start before the first one ends.
};

struct GraphRun
{
    bool isSuccess = false;
    std::uint64_t dispatches = 0;
};

/// Returns the children of each call. One chain of calls reaches the full depth. The rest is filled breadth first.
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
        const auto isSuccess = sendUntilFinal(0, root);
        return {isSuccess, m_dispatches};
    }

    /// Returns the number of calls that are still open at the gates. It must be 0 after a run.
    [[nodiscard]] auto openCalls() const -> std::size_t { return m_ledger.size(); }

private:
    auto happens(double probability) -> bool { return randomUnit(m_random) < probability; }

    /// Acts as the entry: sends the call until it is answered or the decision is to give up.
    auto sendUntilFinal(std::size_t call, Budget &budget) -> bool
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

    auto attempt(std::size_t call, Budget &budget) -> EndedAttempt
    {
        const auto sent = budget.startAttempt(!m_children[call].empty());
        auto end = EndedAttempt{Outcome::Unknown,    Reason::LinkLost, true, true, 0, true,
                                Duration{1'000'000}, Duration{1'000}};
        if (happens(m_losses.refusal)) {
            end.outcome = Outcome::NotRun;
            end.wasDispatched = false;
            budget.didReceiveAnswer(sent.retryBudget);
        } else if (!happens(m_losses.lostRequest)) {
            deliver(call, sent, budget, end);
        }
        end.budget = budget.remaining();
        return end;
    }

    template <typename Sent>
    auto deliver(std::size_t call, const Sent &sent, Budget &budget, EndedAttempt &end) -> void
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
        if (happens(m_losses.falseClaim))
            unspent += 1000;
        budget.didReceiveAnswer(unspent);
        if (isDuplicate)
            budget.didReceiveAnswer(unspent);
    }

    /// Acts as the gate: drops a request whose id was received before, else runs it.
    template <typename Sent>
    auto dispatch(std::size_t call, CallId id, const Sent &sent, std::uint32_t &unspent) -> bool
    {
        if (!m_receivedIds.insert(id).second)
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
                return returnShares(parent, budgets);
            budgets.emplace_back(*share, m_ledger.isRepeat(parent));
            if (!m_losses.isParallel) {
                isSuccess = sendUntilFinal(children[n], budgets.back());
                m_ledger.returnUnspent(parent, budgets.back().remaining());
                budgets.clear();
            }
        }
        for (std::size_t n = 0; n < budgets.size(); ++n) {
            isSuccess = sendUntilFinal(children[n], budgets[n]) && isSuccess;
            m_ledger.returnUnspent(parent, budgets[n].remaining());
        }
        return isSuccess;
    }

    /// Fails a repeat that has no extra attempt left for its next deeper call, and returns the shares of the deeper
    /// calls that were not sent to the ledger.
    auto returnShares(CallId parent, const std::vector<Budget> &budgets) -> bool
    {
        for (const auto &it : budgets)
            m_ledger.returnUnspent(parent, it.remaining());
        return false;
    }

    std::vector<std::vector<std::size_t>> m_children;
    LossPattern m_losses;
    Random m_random;
    Ledger m_ledger;
    std::unordered_set<CallId> m_receivedIds;
    CallId m_lastId = 0;
    std::uint64_t m_dispatches = 0;
};

} // namespace stairspur::retry
