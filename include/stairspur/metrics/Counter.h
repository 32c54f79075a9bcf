#pragma once

#include <array>
#include <atomic>
#include <cstddef>
#include <cstdint>

namespace stairspur::metrics {

/// Returns the index of the shard that the calling thread writes. Shards are assigned to threads round robin, so that
/// a small number of traffic threads don't write the same cache line.
auto shardOfThisThread() -> std::size_t;

inline constexpr std::size_t ShardCount = 8;
inline constexpr std::size_t CacheLineBytes = 64;

/// Monotonically increasing counter. Any thread may write it, without locks.
class Counter
{
public:
    auto increment(std::uint64_t by = 1) -> void
    {
        m_shards[shardOfThisThread()].value.fetch_add(by, std::memory_order_relaxed);
    }

    /// Returns the sum over all threads.
    [[nodiscard]] auto value() const -> std::uint64_t
    {
        auto sum = std::uint64_t{0};
        for (const auto &it : m_shards)
            sum += it.value.load(std::memory_order_relaxed);
        return sum;
    }

private:
    struct alignas(CacheLineBytes) Shard
    {
        std::atomic<std::uint64_t> value = 0;
    };

    std::array<Shard, ShardCount> m_shards;
};

} // namespace stairspur::metrics
