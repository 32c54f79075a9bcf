#pragma once

#include <cstdint>
#include <memory>

#include <boost/asio/io_context.hpp>

#include <stairspur/core/Time.h>
#include <stairspur/transport/Cancellation.h>
#include <stairspur/transport/Task.h>

namespace stairspur::node {

/// Lets the requests that are on trial run one at a time, so that the next crash names the one that ran. Belongs to the gate's
/// thread.
class SuspectedCallLane
{
public:
    /// The right to run; given back when it ends. Empty: not got.
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
        std::shared_ptr<bool> m_isBusy; ///< Outlives the lane in calls that are under way.
    };

    explicit SuspectedCallLane(transport::asio::io_context &io)
        : m_io(io)
    {}

    /// Waits for the lane to be free, until `deadline` or until nobody wants the answer any more.
    auto enter(TimePoint deadline, transport::CancellationPtr cancellation)
            -> transport::Task<Permit>;

private:
    transport::asio::io_context &m_io;
    std::shared_ptr<bool> m_isBusy = std::make_shared<bool>(false);
    std::uint32_t m_waiting = 0;
};

} // namespace stairspur::node
