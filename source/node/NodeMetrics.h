#pragma once

#include <array>
#include <atomic>
#include <cstdint>
#include <string>

#include <stairspur/core/Outcome.h>
#include <stairspur/core/Time.h>
#include <stairspur/routing/UpstreamPool.h>

namespace stairspur::node {

/// Counters of one enumeration's values, written by any thread.
template <NamedEnum Enum>
class EnumCounters
{
public:
    auto increment(Enum value) -> void
    {
        m_counts[static_cast<std::size_t>(value)].fetch_add(1, std::memory_order_relaxed);
    }

    [[nodiscard]] auto count(Enum value) const -> std::uint64_t
    {
        return m_counts[static_cast<std::size_t>(value)].load(std::memory_order_relaxed);
    }

private:
    std::array<std::atomic<std::uint64_t>, enumNames<Enum>.size()> m_counts{};
};

/// What the traffic threads count.
class NodeMetrics
{
public:
    auto didRefuseAtEntry(Reason reason) -> void { m_entryRefusals.increment(reason); }
    auto didRefuseAtGate(Reason reason) -> void { m_gateRefusals.increment(reason); }
    auto didRoute(routing::RouteReason reason) -> void { m_routes.increment(reason); }
    auto didAnswerAtEntry(Outcome outcome, Duration) -> void { m_answers.increment(outcome); }
    auto didWaitAtGate(Duration) -> void {}
    auto didRunAtBackend(Outcome outcome, Duration) -> void { m_runs.increment(outcome); }

    [[nodiscard]] auto render() const -> std::string;

private:
    EnumCounters<Reason> m_entryRefusals;
    EnumCounters<Reason> m_gateRefusals;
    EnumCounters<routing::RouteReason> m_routes;
    EnumCounters<Outcome> m_answers;
    EnumCounters<Outcome> m_runs;
};

} // namespace stairspur::node
