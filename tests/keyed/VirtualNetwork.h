#pragma once

#include <set>
#include <string>
#include <utility>

#include <stairspur/core/Random.h>

#include "VirtualTime.h"

namespace stairspur::keyed::test {

/// Simulates cut, slow, duplicating and reordering links.
class VirtualNetwork
{
public:
    explicit VirtualNetwork(Random &random)
        : m_random(random)
    {}

    auto cut(const std::string &from, const std::string &to) -> void { m_cuts.emplace(from, to); }
    auto slow(const std::string &node) -> void { m_slow.insert(node); }
    auto duplicate(bool value) -> void { m_isDuplicating = value; }
    auto reorder(bool value) -> void { m_isReordering = value; }
    auto heal() -> void
    {
        m_cuts.clear();
        m_slow.clear();
        m_isDuplicating = false;
        m_isReordering = false;
    }

    /// Returns whether messages pass in this direction.
    [[nodiscard]] auto passes(const std::string &from, const std::string &to) const -> bool
    {
        return !m_cuts.contains({from, to});
    }
    /// Returns whether messages pass in both directions.
    [[nodiscard]] auto reaches(const std::string &a, const std::string &b) const -> bool
    {
        return passes(a, b) && passes(b, a);
    }

    /// Returns how often a message arrives: once, or randomly once or twice while messages are duplicated.
    auto copies() -> int { return m_isDuplicating && randomBelow(m_random, 2) == 0 ? 2 : 1; }

    /// Returns the delay of a message.
    auto delay(const std::string &from, const std::string &to) -> Duration
    {
        // Most messages are fast, so that several of them overtake a delayed one.
        auto micros = 500 + randomBelow(m_random, 2500);
        if (m_isReordering && randomBelow(m_random, 3) == 0)
            micros += randomBelow(m_random, 250'000);
        if (m_slow.contains(from) || m_slow.contains(to))
            micros += 100'000 + randomBelow(m_random, 400'000);
        return Duration(micros);
    }

private:
    Random &m_random;
    std::set<std::pair<std::string, std::string>> m_cuts;
    std::set<std::string> m_slow;
    bool m_isDuplicating = false;
    bool m_isReordering = false;
};

} // namespace stairspur::keyed::test
