#pragma once

#include <atomic>
#include <cassert>
#include <cstdint>
#include <memory>
#include <mutex>
#include <thread>

/// Shared state that controllers publish to each other and to the traffic threads.
namespace stairspur::blackboard {

/// One entry of the blackboard: an immutable value that a single controller replaces and any thread reads.
///
/// A snapshot stays valid and unchanged for as long as a reader keeps it; publishing a value creates a new snapshot.
template <typename Value>
class Entry
{
public:
    using Snapshot = std::shared_ptr<const Value>;

    Entry()
        : m_value(std::make_shared<const Value>())
    {}

    [[nodiscard]] auto read() const -> Snapshot
    {
        const auto lock = std::scoped_lock(m_mutex);
        return m_value;
    }

    /// Replaces the value. Must only be called by the controller that owns this entry, from the control thread.
    auto publish(Value value) -> void
    {
        publishSnapshot(std::make_shared<const Value>(std::move(value)));
    }

    /// Replaces the value with a snapshot that is already shared, so that a large value isn't copied. `snapshot` must
    /// not be null.
    auto publishSnapshot(Snapshot snapshot) -> void
    {
        assert(snapshot);
        {
            const auto lock = std::scoped_lock(m_mutex);
            m_value.swap(snapshot);
        }
        m_generation.fetch_add(1, std::memory_order_release);
    }

    /// Returns a number that increases with each publication, for readers to detect a new value cheaply.
    [[nodiscard]] auto generation() const -> std::uint64_t
    {
        return m_generation.load(std::memory_order_acquire);
    }

private:
    mutable std::mutex m_mutex;
    Snapshot m_value;
    std::atomic<std::uint64_t> m_generation = 0;
};

} // namespace stairspur::blackboard
