#pragma once

#include <functional>
#include <utility>

#include <stairspur/core/Time.h>
#include <stairspur/transport/Timer.h>

namespace stairspur::node {

/// Runs a task immediately and then periodically on the thread of an io_context, for as long as the io_context runs.
class PeriodicTask
{
public:
    PeriodicTask(boost::asio::io_context &io, Duration interval, std::function<void()> task)
        : m_timer(io)
        , m_interval(interval)
        , m_task(std::move(task))
    {}

    /// Runs the task and schedules the next run. Call before the thread starts, or on it.
    auto start() -> void
    {
        m_task();
        m_timer.expires_after(m_interval);
        m_timer.async_wait([this](const boost::system::error_code &ec) {
            if (!ec)
                start();
        });
    }

private:
    transport::Timer m_timer;
    Duration m_interval;
    std::function<void()> m_task;
};

} // namespace stairspur::node
