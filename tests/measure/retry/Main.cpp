// Compares ways to divide the retry budget of a root request under the same seeded losses: the share of requests that
// succeed, and the dispatches per call. Prints Markdown tables.

#include <cstdio>

#include <stairspur/retry/CallBudget.h>
#include <stairspur/retry/RetryLedger.h>

#include "../../retry/GraphDriver.h"

using namespace stairspur;
using namespace stairspur::retry;

/// A ledger in which each deeper call takes `Share(remaining)`.
template <std::uint32_t (*Share)(std::uint32_t)>
class VariantLedger
{
public:
    auto open(CallId call, std::uint32_t budget, bool isRepeat) -> void
    {
        m_accounts[call] = {budget, isRepeat};
    }
    auto isRepeat(CallId call) -> bool { return m_accounts[call].isRepeat; }
    auto takeShare(CallId parent) -> std::optional<std::uint32_t>
    {
        auto &account = m_accounts[parent];
        if (account.isRepeat && account.remaining == 0)
            return std::nullopt;
        account.remaining -= account.isRepeat ? 1 : 0;
        const auto share = Share(account.remaining);
        account.remaining -= share;
        return share;
    }
    auto returnUnspent(CallId parent, std::uint32_t unspent) -> void
    {
        m_accounts[parent].remaining += unspent;
    }
    auto close(CallId call) -> std::uint32_t
    {
        const auto remaining = m_accounts[call].remaining;
        m_accounts.erase(call);
        return remaining;
    }

private:
    struct Account
    {
        std::uint32_t remaining = 0;
        bool isRepeat = false;
    };
    std::unordered_map<CallId, Account> m_accounts;
};

/// A budget of an entry that sends `Sent(remaining)` with each attempt. With `SkipsLeaves`, attempts at services
/// without deeper calls carry nothing.
template <std::uint32_t (*Sent)(std::uint32_t), bool SkipsLeaves = false>
class VariantBudget
{
public:
    VariantBudget(std::uint32_t share, bool isRepeat)
        : m_remaining(share)
        , m_isRepeat(isRepeat)
    {}
    auto startAttempt(bool hasDeeperCalls) -> AttemptBudget
    {
        m_sent = SkipsLeaves && !hasDeeperCalls ? 0 : Sent(m_remaining);
        m_remaining -= m_sent;
        return {m_sent, m_isRepeat};
    }
    auto didReceiveAnswer(std::uint32_t unspent) -> void
    {
        m_remaining += unspent <= m_sent ? unspent : 0;
        m_sent = 0;
    }
    auto trySpend() -> bool
    {
        if (m_remaining == 0)
            return false;
        --m_remaining;
        m_isRepeat = true;
        return true;
    }
    [[nodiscard]] auto remaining() const -> std::uint32_t { return m_remaining; }

private:
    std::uint32_t m_remaining;
    std::uint32_t m_sent = 0;
    bool m_isRepeat;
};

static auto all(std::uint32_t remaining) -> std::uint32_t
{
    return remaining;
}

static auto none(std::uint32_t /*remaining*/) -> std::uint32_t
{
    return 0;
}

static auto halfRoundedUp(std::uint32_t remaining) -> std::uint32_t
{
    return remaining - remaining / 2;
}

static auto threeQuartersRoundedUp(std::uint32_t remaining) -> std::uint32_t
{
    return remaining - remaining / 4;
}

static auto allButOne(std::uint32_t remaining) -> std::uint32_t
{
    return remaining > 0 ? remaining - 1 : 0;
}

static auto allButOneOfTwo(std::uint32_t remaining) -> std::uint32_t
{
    return remaining > 1 ? remaining - 1 : remaining;
}

static constexpr GraphShape Shapes[] = {{10, 1}, {3, 4}, {5, 2}};
static constexpr std::uint32_t Budgets[] = {1, 3, 10};
static constexpr double Losses[] = {0.01, 0.05};
static constexpr auto Runs = 2000;

template <typename Ledger, typename Budget>
static auto printRow(const char *name, bool isParallel) -> void
{
    std::printf("| %s |", name);
    auto extra = 0.0;
    for (const auto loss : Losses) {
        for (const auto budget : Budgets) {
            auto successes = 0;
            for (const auto &shape : Shapes) {
                for (auto seed = 0; seed < Runs; ++seed) {
                    // Lost requests, lost answers and failures are a third of the losses each.
                    const auto losses = LossPattern{.lostRequest = loss / 3,
                                                    .lostAnswer = loss / 3,
                                                    .failure = loss / 3,
                                                    .isParallel = isParallel};
                    auto driver = GraphDriver<Ledger, Budget>(shape, losses, seed);
                    const auto run = driver.run(budget);
                    successes += run.isSuccess ? 1 : 0;
                    extra += static_cast<double>(run.dispatches)
                             / static_cast<double>(driver.calls());
                }
            }
            std::printf(" %.2f |", 100.0 * successes / (Runs * std::size(Shapes)));
        }
    }
    const auto runs = Runs * std::size(Shapes) * std::size(Budgets) * std::size(Losses);
    std::printf(" %.4f |\n", extra / static_cast<double>(runs));
}

/// Prints one table, for deeper calls that run one after the other or in parallel.
static auto printTable(bool isParallel) -> void
{
    std::printf("\nDeeper calls %s; %d runs of each of %zu graphs.\n\n",
                isParallel ? "in parallel" : "one after the other", Runs, std::size(Shapes));
    std::printf("| sent with an attempt; share of a deeper call | 1%%, B=1 | 1%%, B=3 | 1%%, B=10 "
                "| 5%%, B=1 | 5%%, B=3 | 5%%, B=10 | dispatches per call |\n"
                "| --- | --- | --- | --- | --- | --- | --- | --- |\n");
    printRow<RetryLedger, CallBudget>("stairspur", isParallel);
    printRow<VariantLedger<none>, VariantBudget<none>>("none; none", isParallel);
    printRow<VariantLedger<halfRoundedUp>, VariantBudget<halfRoundedUp>>(
            "half, rounded up; half, rounded up", isParallel);
    printRow<VariantLedger<halfRoundedUp>, VariantBudget<all>>("all; half, rounded up", isParallel);
    printRow<VariantLedger<all>, VariantBudget<all>>("all; all", isParallel);
    printRow<VariantLedger<all>, VariantBudget<allButOne>>("all but one; all", isParallel);
    printRow<VariantLedger<all>, VariantBudget<allButOneOfTwo>>("all, but one of two or more; all",
                                                                isParallel);
    printRow<VariantLedger<threeQuartersRoundedUp>, VariantBudget<threeQuartersRoundedUp>>(
            "three quarters, rounded up; the same", isParallel);
    printRow<VariantLedger<all>, VariantBudget<all, true>>("none to a leaf, else all; all",
                                                           isParallel);
    printRow<VariantLedger<all>, VariantBudget<allButOneOfTwo, true>>(
            "none to a leaf, else all but one of two or more; all", isParallel);
    printRow<VariantLedger<threeQuartersRoundedUp>, VariantBudget<all, true>>(
            "none to a leaf, else all; three quarters, rounded up", isParallel);
    printRow<VariantLedger<halfRoundedUp>, VariantBudget<all, true>>(
            "none to a leaf, else all; half, rounded up", isParallel);
}

auto main() -> int
{
    printTable(false);
    printTable(true);
    return 0;
}
