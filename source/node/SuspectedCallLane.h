#pragma once

#include <cstdint>
#include <memory>

#include <boost/asio/io_context.hpp>

#include <stairspur/core/Time.h>
#include <stairspur/transport/Cancellation.h>
#include <stairspur/transport/Task.h>

namespace stairspur::node {

/// Runs suspected requests one at a time, so that a crash identifies the suspected request that ran. Belongs to the gate's
/// thread.
class SuspectedCallLane
{
public:
    /// The permit to run, which the destructor releases. An empty permit allows nothing.
    class Permit
    {
    public:
        Permit() = default;
        explicit Permit(std::shared_ptr<bool> isBusy);
        ~Permit();
        Permit(const Permit &) = delete;
        Permit(Permit &&other) noexcept = default;
        auto operator=(const Permit &) -> Permit & = delete;
        auto operator=(Permit &&) -> Permit & = delete;

        explicit operator bool() const { return m_isBusy != nullptr; }

    private:
        std::shared_ptr<bool> m_isBusy; ///< Shared, since running calls may outlive the lane.
    };

    explicit SuspectedCallLane(transport::asio::io_context &io)
        : m_io(io)
    {}

    /// Waits until the lane is free, `deadline` has passed or the call is cancelled. Returns an empty permit in the last two
    /// cases, and at once if too many calls wait.
    auto enter(TimePoint deadline, transport::CancellationPtr cancellation)
            -> transport::Task<Permit>;

private:
    transport::asio::io_context &m_io;
    std::shared_ptr<bool> m_isBusy = std::make_shared<bool>(false);
    std::uint32_t m_waiting = 0;
};

} // namespace stairspur::node
