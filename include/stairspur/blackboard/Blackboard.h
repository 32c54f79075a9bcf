#pragma once

#include <atomic>
#include <cassert>
#include <cstdint>
#include <memory>
#include <mutex>
#include <thread>

/// What controllers tell each other and the traffic threads.
namespace stairspur::blackboard {

/// One key of the blackboard: an immutable value that a single controller replaces and anybody reads.
///
/// Readers keep their snapshot as long as they like; a newer one never changes it under their hands.
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

    /// Replaces the value. Only the controller that owns this key calls this, from the control thread.
    auto publish(Value value) -> void
    {
        publishSnapshot(std::make_shared<const Value>(std::move(value)));
    }

    /// As publish(), for a value that is shared already: a large one is not copied. Never null.
    auto publishSnapshot(Snapshot snapshot) -> void
    {
        assert(snapshot);
        {
            const auto lock = std::scoped_lock(m_mutex);
            m_value.swap(snapshot);
        }
        m_generation.fetch_add(1, std::memory_order_release);
    }

    /// Grows with each publication, so that a reader can ask cheaply whether anything is new.
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
