#pragma once

#include <algorithm>
#include <concepts>
#include <cstdint>
#include <optional>
#include <utility>
#include <vector>

#include <stairspur/core/Identifiers.h>
#include <stairspur/core/Random.h>
#include <stairspur/core/Time.h>

namespace stairspur::membership {

/// What a node does with the leased rendezvous keys of its domain in the platform's store.
struct RendezvousSettings
{
    std::uint32_t slots = 3;        ///< Keys `/stairspur/rendezvous/<domain>/<n>` of each domain.
    Duration leaseTime{30'000'000}; ///< A lapsed lease frees the slot.
    Duration renewInterval{10'000'000};
    Duration readInterval{
            600'000'000}; ///< Between two looks for a free slot; a half to one and a half of it.
    Duration claimSpread{
            30'000'000}; ///< A node waits up to this long before it claims what it saw free.
    Duration minimumBackoff{1'000'000}; ///< After the store failed; doubles up to the next.
    Duration maximumBackoff{300'000'000};
    /// The same for the few that hold a slot or have lost it meanwhile: their keys are back about two seconds after the
    /// store, as those rely on who starts then. 39 holders in 13 failure domains ask 39 times a second at most.
    Duration holderBackoff{1'000'000};
};

/// The call of the store that is due.
enum class RendezvousAction {
    None,
    Read,  ///< Read the domain's keys; answer with didRead().
    Claim, ///< Create the key of slot() with a lease, if it does not exist; answer with didClaim().
    Renew, ///< Keep the lease alive; answer with didRenew().
    Release, ///< Revoke the lease; no answer is needed.
};

/// The guards of RendezvousSlots; see MembershipPolicy.h.
struct StandardRendezvousPolicy
{
    static constexpr auto noticesLapse =
            true; ///< A holder that could not renew in time holds nothing.
    static constexpr auto readsBeforeClaim =
            true; ///< A slot is claimed only when the last look saw it free.
    static constexpr auto backsOff = true; ///< A failing store is asked less and less often.
};

/// Decides when a node reads, claims and renews a rendezvous slot. The keys are hints for nodes that join and nothing
/// else depends on them, so that a holder which was paused may safely be wrong. No I/O: the runtime asks next() and
/// reports what came of it; one call at a time.
template <typename Policy = StandardRendezvousPolicy>
class BasicRendezvousSlots
{
public:
    BasicRendezvousSlots(RendezvousSettings settings, std::uint64_t seed, TimePoint now)
        : m_settings(settings)
        , m_random(seed)
        , m_due(now)
    {}

    /// The call that is due at `now`. After anything but None it must be answered before it is asked again.
    auto next(TimePoint now) -> RendezvousAction
    {
        if (m_isHolding && Policy::noticesLapse && now >= m_leaseEnd)
            lose(now);
        if (now < m_due)
            return RendezvousAction::None;
        if (m_isStopped)
            return stop();
        if (m_isHolding)
            return RendezvousAction::Renew;
        return m_mayClaim ? RendezvousAction::Claim : RendezvousAction::Read;
    }

    /// The keys of the domain as read: the node in each slot, or nothing.
    auto didRead(const std::vector<std::optional<NodeId>> &holders, TimePoint now) -> void
    {
        m_backoff = Duration{0};
        m_hints.clear();
        auto free = std::vector<std::uint32_t>();
        for (std::uint32_t index = 0; index < m_settings.slots; ++index) {
            if (index < holders.size() && holders[index])
                m_hints.push_back(*holders[index]);
            else
                free.push_back(index);
        }
        if (free.empty()) {
            m_sawFree = false;
            m_wasHolding = false;
            m_due = now + m_settings.readInterval / 2 + jitter(m_settings.readInterval);
            return;
        }
        m_slot = free[randomBelow(m_random, free.size())];
        // A whole domain that starts sees the same slots free: each waits for a while and looks again.
        m_mayClaim = m_sawFree || !Policy::readsBeforeClaim;
        m_due = m_mayClaim ? now : now + jitter(m_settings.claimSpread);
        m_sawFree = true;
    }

    /// Whether the key could be created. `sentAt`: when the call was sent; the lease runs from then at the latest.
    auto didClaim(bool isCreated, TimePoint sentAt, TimePoint now) -> void
    {
        m_backoff = Duration{0};
        m_mayClaim = false;
        m_sawFree = false;
        if (!isCreated) {
            m_due = now + jitter(m_settings.claimSpread);
            return;
        }
        m_isHolding = true;
        m_leaseEnd = sentAt + m_settings.leaseTime;
        m_due = now + m_settings.renewInterval;
    }

    /// Whether the lease was still there.
    auto didRenew(bool isAlive, TimePoint sentAt, TimePoint now) -> void
    {
        m_backoff = Duration{0};
        if (!isAlive) {
            lose(now);
            return;
        }
        m_leaseEnd = sentAt + m_settings.leaseTime;
        m_due = now + m_settings.renewInterval;
    }

    /// The store did not answer, or with an error. Whether a claim took effect shows when the keys are read again.
    auto didFail(TimePoint now) -> void
    {
        m_mayClaim = false;
        m_sawFree = false;
        const auto isHolder = m_isHolding || m_wasHolding;
        const auto maximum = isHolder ? m_settings.holderBackoff : m_settings.maximumBackoff;
        const auto doubled = std::clamp(m_backoff * 2, m_settings.minimumBackoff, maximum);
        m_backoff = Policy::backsOff ? doubled : Duration{0};
        m_due = now + m_backoff / 2 + jitter(m_backoff);
    }

    /// The node goes: the slot is released.
    auto leave(TimePoint now) -> void
    {
        m_isStopped = true;
        m_due = now;
    }

    /// When next() has something to do; never after a release.
    [[nodiscard]] auto due() const -> TimePoint { return m_due; }

    [[nodiscard]] auto slot() const -> std::uint32_t { return m_slot; }
    [[nodiscard]] auto isHolding() const -> bool { return m_isHolding; }
    /// Nodes of the domain, as last read.
    [[nodiscard]] auto hints() const -> const std::vector<NodeId> & { return m_hints; }

private:
    auto stop() -> RendezvousAction
    {
        m_due = TimePoint::max();
        return std::exchange(m_isHolding, false) ? RendezvousAction::Release
                                                 : RendezvousAction::None;
    }

    auto lose(TimePoint now) -> void
    {
        m_isHolding = false;
        m_wasHolding = true;
        m_due = now + jitter(m_settings.claimSpread);
    }

    auto jitter(Duration span) -> Duration
    {
        return Duration(static_cast<Duration::rep>(
                randomBelow(m_random, static_cast<std::uint64_t>(span.count()) + 1)));
    }

    RendezvousSettings m_settings;
    Random m_random;
    TimePoint m_due;
    TimePoint m_leaseEnd;
    Duration m_backoff{0};
    bool m_isHolding = false;
    bool m_wasHolding = false; ///< Lost its slot, and has not seen others hold all of them since.
    bool m_isStopped = false;
    bool m_sawFree = false;
    bool m_mayClaim = false;
    std::uint32_t m_slot = 0;
    std::vector<NodeId> m_hints;
};

/// What nodes run.
using RendezvousSlots = BasicRendezvousSlots<>;

} // namespace stairspur::membership
