#pragma once

#include <functional>
#include <memory>
#include <utility>

namespace stairspur::transport {

/// Tells a running call that nobody waits for it any more: its caller is gone, its parent failed or its deadline passed.
/// Belongs to one thread; a party on another thread is told by a message to its executor.
class Cancellation
{
public:
    using Callback = std::function<void()>;

    [[nodiscard]] auto isCancelled() const -> bool { return m_isCancelled; }

    /// Runs `callback` upon cancel(), or at once when that has been. A later one replaces an earlier one; an empty one
    /// removes it.
    auto onCancel(Callback callback) -> void
    {
        m_callback = std::move(callback);
        if (m_isCancelled && m_callback)
            std::exchange(m_callback, nullptr)();
    }

    auto cancel() -> void
    {
        if (std::exchange(m_isCancelled, true))
            return;
        if (m_callback)
            std::exchange(m_callback, nullptr)();
    }

private:
    bool m_isCancelled = false;
    Callback m_callback;
};

using CancellationPtr = std::shared_ptr<Cancellation>;

} // namespace stairspur::transport
