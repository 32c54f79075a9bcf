#include <criterion/criterion.h>

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <utility>
#include <vector>

#include <stairspur/membership/RendezvousSlots.h>

using namespace stairspur;
using namespace stairspur::membership;

static constexpr auto Second = Duration{1'000'000};
static constexpr auto Nodes = std::size_t{40};

/// The keys of one domain, and a store that can be down or lose its answers.
struct FakeStore
{
    struct Key
    {
        std::size_t holder;
        TimePoint leaseEnd;
    };
    std::map<std::uint32_t, Key> keys;
    bool isDown = false;
    bool losesAnswers = false;
    std::size_t calls = 0;
    std::size_t claims = 0;
};

enum class StoreFault {
    None,
    DownAtStart,
    DownLater,
    LostAnswers,
    HolderPaused, ///< The holder's lease lapses and another node claims the slot.
    HolderKilled,
    HolderLeaves,
};

template <typename Policy>
class RendezvousCell
{
public:
    explicit RendezvousCell(StoreFault fault)
        : m_fault(fault)
    {
        for (std::size_t index = 0; index < Nodes; ++index)
            m_nodes.push_back(std::make_unique<BasicRendezvousSlots<Policy>>(RendezvousSettings(),
                                                                             index, m_now));
    }

    auto run() -> std::vector<std::string>
    {
        m_store.isDown = m_fault == StoreFault::DownAtStart;
        m_store.losesAnswers = m_fault == StoreFault::LostAnswers;
        runFor(600);
        // Each node has tried for ten minutes: about ten requests with backoff instead of six hundred.
        if (m_fault == StoreFault::DownAtStart && m_store.calls > Nodes * 20)
            m_violations.emplace_back("too many requests were sent to the store while it was down");
        m_store.isDown = m_fault == StoreFault::DownLater;
        m_store.losesAnswers = false;
        const auto holder = firstHolder();
        if (m_fault == StoreFault::HolderPaused || m_fault == StoreFault::HolderKilled)
            m_stopped = holder;
        if (m_fault == StoreFault::HolderLeaves)
            m_nodes[holder]->leave(m_now);
        runFor(600);
        m_store.isDown = false;
        if (m_fault == StoreFault::HolderPaused)
            m_stopped = Nodes;
        runFor(1800);
        check(holder);
        return m_violations;
    }

private:
    auto firstHolder() -> std::size_t
    {
        return m_store.keys.empty() ? 0 : m_store.keys.begin()->second.holder;
    }

    auto runFor(int seconds) -> void
    {
        for (auto count = 0; count < seconds; ++count) {
            m_now += Second;
            std::erase_if(m_store.keys,
                          [&](const auto &it) { return it.second.leaseEnd <= m_now; });
            for (std::size_t index = 0; index < Nodes; ++index) {
                if (index != m_stopped)
                    step(index);
            }
        }
    }

    auto step(std::size_t index) -> void
    {
        auto &node = *m_nodes[index];
        const auto action = node.next(m_now);
        if (node.isHolding() && !holds(index, node.slot()))
            m_violations.emplace_back("a node counts itself as the holder of a lapsed lease");
        if (action == RendezvousAction::None)
            return;
        ++m_store.calls;
        if (m_store.isDown) {
            node.didFail(m_now);
            return;
        }
        carryOut(index, action);
    }

    auto carryOut(std::size_t index, RendezvousAction action) -> void
    {
        auto &node = *m_nodes[index];
        const auto end = m_now + RendezvousSettings().leaseTime;
        const auto isHeld = holds(index, node.slot());
        auto isCreated = false;
        if (action == RendezvousAction::Claim) {
            ++m_store.claims;
            isCreated = m_store.keys.emplace(node.slot(), FakeStore::Key{index, end}).second;
        } else if (action == RendezvousAction::Renew && isHeld) {
            m_store.keys.at(node.slot()).leaseEnd = end;
        } else if (action == RendezvousAction::Release && isHeld) {
            m_store.keys.erase(node.slot());
        }
        if (m_store.losesAnswers)
            node.didFail(m_now);
        else if (action == RendezvousAction::Claim)
            node.didClaim(isCreated, m_now, m_now);
        else if (action == RendezvousAction::Renew)
            node.didRenew(isHeld, m_now, m_now);
        else if (action == RendezvousAction::Read)
            node.didRead(holders(), m_now);
    }

    auto holds(std::size_t index, std::uint32_t slot) const -> bool
    {
        const auto it = m_store.keys.find(slot);
        return it != m_store.keys.end() && it->second.holder == index;
    }

    auto holders() const -> std::vector<std::optional<NodeId>>
    {
        auto list = std::vector<std::optional<NodeId>>(RendezvousSettings().slots);
        for (const auto &[slot, key] : m_store.keys)
            list.at(slot) = "node-" + std::to_string(key.holder);
        return list;
    }

    auto check(std::size_t holder) -> void
    {
        if (m_store.keys.size() != RendezvousSettings().slots)
            m_violations.emplace_back("not every slot has a holder in the end");
        const auto isGone =
                m_fault == StoreFault::HolderKilled || m_fault == StoreFault::HolderLeaves;
        for (const auto &[slot, key] : m_store.keys) {
            if (isGone && key.holder == holder)
                m_violations.emplace_back("a node that was killed or left holds a slot");
        }
        static constexpr auto MaxClaims = std::size_t{15};
        if (m_fault != StoreFault::LostAnswers && m_store.claims > MaxClaims)
            m_violations.emplace_back("too many nodes wrote to the store");
    }

    StoreFault m_fault;
    TimePoint m_now{1000 * Second};
    FakeStore m_store;
    std::size_t m_stopped = Nodes;
    std::vector<std::unique_ptr<BasicRendezvousSlots<Policy>>> m_nodes;
    std::vector<std::string> m_violations;
};

Test(RendezvousSlots, everyFaultEndsWithEverySlotHeldByARunningNode)
{
    for (const auto fault :
         {StoreFault::None, StoreFault::DownAtStart, StoreFault::DownLater, StoreFault::LostAnswers,
          StoreFault::HolderPaused, StoreFault::HolderKilled, StoreFault::HolderLeaves}) {
        for (const auto &it : RendezvousCell<StandardRendezvousPolicy>(fault).run())
            cr_expect_fail("fault %d: %s", static_cast<int>(fault), it.c_str());
    }
}

// clang-format off
struct NoLapseDetection : StandardRendezvousPolicy { static constexpr auto detectsLapse = false; };
struct NoReadBeforeClaim : StandardRendezvousPolicy { static constexpr auto readsBeforeClaim = false; };
struct NoBackoff : StandardRendezvousPolicy { static constexpr auto backsOff = false; };
// clang-format on

Test(RendezvousSlots, eachDisabledRuleIsDetected)
{
    cr_expect(!RendezvousCell<NoLapseDetection>(StoreFault::HolderPaused).run().empty());
    cr_expect(!RendezvousCell<NoReadBeforeClaim>(StoreFault::None).run().empty());
    cr_expect(!RendezvousCell<NoBackoff>(StoreFault::DownAtStart).run().empty());
}

/// One node and its domain's key in a store with an outage. Each step takes a tenth of a second.
struct HolderAndStore
{
    static constexpr auto Step = Duration{100'000};

    RendezvousSettings settings{.slots = 1, .claimSpread = Duration{500'000}};
    RendezvousSlots slots{settings, 1, TimePoint{}};
    TimePoint now{};
    TimePoint leaseEnd{};
    bool isDown = false;
    int calls = 0;

    [[nodiscard]] auto hasKey() const -> bool { return now < leaseEnd; }

    auto runFor(Duration time) -> void
    {
        for (const auto end = now + time; now < end; now += Step)
            answer(slots.next(now));
    }

    auto answer(RendezvousAction action) -> void
    {
        if (action == RendezvousAction::None)
            return;
        ++calls;
        if (isDown)
            return slots.didFail(now);
        if (action == RendezvousAction::Read)
            return slots.didRead({hasKey() ? std::optional<NodeId>("self") : std::nullopt}, now);
        const auto isDone = action == RendezvousAction::Claim || hasKey();
        if (isDone)
            leaseEnd = now + settings.leaseTime;
        if (action == RendezvousAction::Claim)
            slots.didClaim(isDone, now, now);
        else
            slots.didRenew(isDone, now, now);
    }
};

/// Guards against keys that stay away long after an outage of the store. A node that starts finds its peers by these
/// keys alone. With a backoff that doubled to five minutes, a domain had no keys for as long as the outage had
/// lasted.
Test(RendezvousSlots, aLapsedKeyIsBackSoonAfterTheStore)
{
    for (const auto outage : {20, 60, 600}) {
        auto it = HolderAndStore();
        it.runFor(60 * Second);
        cr_assert(it.hasKey());
        it.isDown = true;
        it.calls = 0;
        it.runFor(outage * Second);
        cr_expect(it.calls <= 2 * outage, "%d requests while the store was down", it.calls);
        it.isDown = false;
        it.runFor(3 * Second);
        cr_expect(it.hasKey(), "after an outage of %d s", outage);
    }
}

/// One failure domain whose nodes start simultaneously, with a store that answers within `AnswerTime`.
class DomainStart
{
public:
    explicit DomainStart(std::uint64_t seed)
    {
        auto settings = RendezvousSettings();
        settings.claimSpread = Second / 2;
        for (std::size_t index = 0; index < Nodes; ++index)
            m_nodes.push_back({RendezvousSlots(settings, seed * Nodes + index, Begin), {}, {}});
    }

    /// Runs the start. Each node requests its next action at any time, or only on a grid.
    auto run(Duration grid) -> std::size_t
    {
        for (auto now = Begin; now < Begin + Second * 5; now += Millisecond) {
            for (auto &it : m_nodes)
                step(it, now, grid);
        }
        return m_claims;
    }

    [[nodiscard]] auto keys() const -> std::size_t { return m_keys.size(); }

private:
    static constexpr auto Begin = TimePoint{Second * 100};
    static constexpr auto Millisecond = Duration{1'000};
    static constexpr auto AnswerTime = Duration{5'000};

    struct Node
    {
        RendezvousSlots slots;
        TimePoint busyUntil;
        std::function<void(TimePoint)> answer;
    };

    auto step(Node &node, TimePoint now, Duration grid) -> void
    {
        if (now < node.busyUntil)
            return;
        if (node.answer)
            std::exchange(node.answer, nullptr)(now);
        if ((now - Begin) % grid != Duration{0})
            return;
        const auto action = node.slots.next(now);
        if (action == RendezvousAction::None)
            return;
        // A claim takes two requests: the grant of a lease, then the key.
        node.busyUntil = now + AnswerTime * (action == RendezvousAction::Claim ? 2 : 1);
        node.answer = [this, &node, action, now](TimePoint then) {
            finish(node, action, now, then);
        };
    }

    auto finish(Node &node, RendezvousAction action, TimePoint sentAt, TimePoint now) -> void
    {
        if (action == RendezvousAction::Read) {
            auto holders = std::vector<std::optional<NodeId>>(RendezvousSettings().slots);
            for (const auto it : m_keys)
                holders[it] = "holder";
            node.slots.didRead(holders, now);
        } else if (action == RendezvousAction::Claim) {
            ++m_claims;
            node.slots.didClaim(m_keys.insert(node.slots.slot()).second, sentAt, now);
        } else if (action == RendezvousAction::Renew) {
            node.slots.didRenew(true, sentAt, now);
        }
    }

    std::vector<Node> m_nodes;
    std::set<std::uint32_t> m_keys;
    std::size_t m_claims = 0;
};

Test(RendezvousSlots, aDomainThatStartsSimultaneouslySendsFewSurplusClaims)
{
    static constexpr auto Seeds = 20U;
    auto claims = std::size_t{0};
    auto onGrid = std::size_t{0};
    for (auto seed = 1U; seed <= Seeds; ++seed) {
        auto start = DomainStart(seed);
        claims += start.run(Duration{1'000});
        cr_assert_eq(start.keys(), RendezvousSettings().slots);
        onGrid += DomainStart(seed).run(Duration{200'000});
    }
    // With requests on a grid of 200 ms, the claims coincide.
    cr_assert_leq(claims, std::size_t{8} * Seeds, "%zu claims", claims);
    cr_assert_geq(onGrid, 2 * claims, "%zu claims on a grid, %zu without", onGrid, claims);
}
