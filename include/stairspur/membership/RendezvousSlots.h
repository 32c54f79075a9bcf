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

/// Settings for the leased rendezvous keys of a node's domain in the platform's store.
struct RendezvousSettings
{
    /// Number of keys `/stairspur/rendezvous/<domain>/<n>` of each domain.
    std::uint32_t slots = 3;
    /// Time after which an unrenewed lease lapses and frees its slot.
    Duration leaseTime{30'000'000};
    Duration renewInterval{10'000'000};
    /// Mean time between two reads that look for a free slot; the actual time is between a half and one and a half of it.
    Duration readInterval{600'000'000};
    /// Maximum random delay before a node claims a slot that it read as free.
    Duration claimSpread{30'000'000};
    /// Backoff after the first failure of the store. It doubles up to `maximumBackoff`.
    Duration minimumBackoff{1'000'000};
    Duration maximumBackoff{300'000'000};
    /// Maximum backoff of the few nodes that hold a slot or lost it during the outage. Their keys are back about two
    /// seconds after the store, since nodes that start then depend on them. 39 holders in 13 failure domains send at
    /// most 39 requests a second.
    Duration holderBackoff{1'000'000};
};

/// The request to the store that is due.
enum class RendezvousAction {
    None,
    Read, ///< Read the keys of the domain; the result is passed to didRead().
    /// Create the key of slot() with a lease if it does not exist; the result is passed to didClaim().
    Claim,
    Renew,   ///< Renew the lease; the result is passed to didRenew().
    Release, ///< Revoke the lease; no result is needed.
};

/// The safety rules of RendezvousSlots; see MembershipPolicy.h.
struct StandardRendezvousPolicy
{
    /// A holder that could not renew its lease in time no longer holds the slot.
    static constexpr auto detectsLapse = true;
    /// A slot is claimed only if the latest read showed it as free.
    static constexpr auto readsBeforeClaim = true;
    /// The rate of requests to a failing store decreases.
    static constexpr auto backsOff = true;
};

/// Decides when a node reads, claims and renews a rendezvous slot. The keys are only hints for nodes that join, so a
/// holder that was paused may hold a wrong state without harm. The class does no I/O: the runtime calls next(), sends
/// one request at a time, and reports the result.
template <typename Policy = StandardRendezvousPolicy>
class BasicRendezvousSlots
{
public:
    BasicRendezvousSlots(RendezvousSettings settings, std::uint64_t seed, TimePoint now)
        : m_settings(settings)
        , m_random(seed)
        , m_due(now)
    {}

    /// Returns the request that is due at `now`. The result of any action but None and Release must be reported
    /// before the next call.
    auto next(TimePoint now) -> RendezvousAction
    {
        if (m_isHolding && Policy::detectsLapse && now >= m_leaseEnd)
            didLoseSlot(now);
        if (now < m_due)
            return RendezvousAction::None;
        if (m_isStopped)
            return stop();
        if (m_isHolding)
            return RendezvousAction::Renew;
        return m_canClaim ? RendezvousAction::Claim : RendezvousAction::Read;
    }

    /// Records the keys of the domain: the node in each slot, or nothing if the slot is free.
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
            m_hasSeenFreeSlot = false;
            m_wasHolding = false;
            m_due = now + m_settings.readInterval / 2 + jitter(m_settings.readInterval);
            return;
        }
        m_slot = free[randomBelow(m_random, free.size())];
        // All nodes of a domain that starts see the same free slots, so each waits for a random time and reads again.
        m_canClaim = m_hasSeenFreeSlot || !Policy::readsBeforeClaim;
        m_due = m_canClaim ? now : now + jitter(m_settings.claimSpread);
        m_hasSeenFreeSlot = true;
    }

    /// Records whether the key was created. `sentAt` is the time at which the request was sent; the lease counts
    /// from then.
    auto didClaim(bool isCreated, TimePoint sentAt, TimePoint now) -> void
    {
        m_backoff = Duration{0};
        m_canClaim = false;
        m_hasSeenFreeSlot = false;
        if (!isCreated) {
            m_due = now + jitter(m_settings.claimSpread);
            return;
        }
        m_isHolding = true;
        m_leaseEnd = sentAt + m_settings.leaseTime;
        m_due = now + m_settings.renewInterval;
    }

    /// Records whether the lease still existed.
    auto didRenew(bool isAlive, TimePoint sentAt, TimePoint now) -> void
    {
        m_backoff = Duration{0};
        if (!isAlive) {
            didLoseSlot(now);
            return;
        }
        m_leaseEnd = sentAt + m_settings.leaseTime;
        m_due = now + m_settings.renewInterval;
    }

    /// Records that the store did not answer, or answered with an error. The next read shows whether a claim took
    /// effect.
    auto didFail(TimePoint now) -> void
    {
        m_canClaim = false;
        m_hasSeenFreeSlot = false;
        const auto isHolder = m_isHolding || m_wasHolding;
        const auto maximum = isHolder ? m_settings.holderBackoff : m_settings.maximumBackoff;
        const auto doubled = std::clamp(m_backoff * 2, m_settings.minimumBackoff, maximum);
        m_backoff = Policy::backsOff ? doubled : Duration{0};
        m_due = now + m_backoff / 2 + jitter(m_backoff);
    }

    /// Releases the slot, since the node leaves.
    auto leave(TimePoint now) -> void
    {
        m_isStopped = true;
        m_due = now;
    }

    /// Returns when next() has an action; TimePoint::max() after a release.
    [[nodiscard]] auto due() const -> TimePoint { return m_due; }

    [[nodiscard]] auto slot() const -> std::uint32_t { return m_slot; }
    [[nodiscard]] auto isHolding() const -> bool { return m_isHolding; }
    /// Returns the nodes of the domain, as last read.
    [[nodiscard]] auto hints() const -> const std::vector<NodeId> & { return m_hints; }

private:
    auto stop() -> RendezvousAction
    {
        m_due = TimePoint::max();
        return std::exchange(m_isHolding, false) ? RendezvousAction::Release
                                                 : RendezvousAction::None;
    }

    auto didLoseSlot(TimePoint now) -> void
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
    /// Whether the node lost its slot and has not read since that other nodes hold all slots.
    bool m_wasHolding = false;
    bool m_isStopped = false;
    bool m_hasSeenFreeSlot = false;
    bool m_canClaim = false;
    std::uint32_t m_slot = 0;
    std::vector<NodeId> m_hints;
};

/// The slots as production nodes use them.
using RendezvousSlots = BasicRendezvousSlots<>;

} // namespace stairspur::membership
