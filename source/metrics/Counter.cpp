#include <stairspur/metrics/Counter.h>

namespace stairspur::metrics {

auto shardOfThisThread() -> std::size_t
{
    static auto next = std::atomic<std::size_t>(0);
    thread_local const auto shard = next.fetch_add(1, std::memory_order_relaxed) % ShardCount;
    return shard;
}

} // namespace stairspur::metrics
