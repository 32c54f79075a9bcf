#pragma once

#include <atomic>
#include <cstdint>

namespace stairspur::metrics {

/// Value that can increase and decrease. Any thread may write it, without locks.
class Gauge
{
public:
    auto set(std::int64_t value) -> void { m_value.store(value, std::memory_order_relaxed); }
    auto add(std::int64_t by) -> void { m_value.fetch_add(by, std::memory_order_relaxed); }
    [[nodiscard]] auto value() const -> std::int64_t
    {
        return m_value.load(std::memory_order_relaxed);
    }

private:
    std::atomic<std::int64_t> m_value = 0;
};

} // namespace stairspur::metrics
