#pragma once

#include <array>
#include <atomic>
#include <cstddef>
#include <cstdint>

namespace stairspur::metrics {

/// Which of a counter's shards the calling thread writes: threads take turns, so that a handful of
/// traffic threads do not write the same cache line.
auto shardOfThisThread() -> std::size_t;

inline constexpr std::size_t ShardCount = 8;
inline constexpr std::size_t CacheLineBytes = 64;

/// A number that only grows. Any thread may write it, without locks.
class Counter
{
public:
    auto increment(std::uint64_t by = 1) -> void
    {
        m_shards[shardOfThisThread()].value.fetch_add(by, std::memory_order_relaxed);
    }

    /// The sum over all threads.
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
