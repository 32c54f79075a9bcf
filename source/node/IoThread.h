#pragma once

#include <optional>
#include <string>
#include <thread>

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>

namespace stairspur::node {

/// One thread that runs one io_context. Objects that are used on this thread only need no locks.
class IoThread
{
public:
    explicit IoThread(std::string name);
    ~IoThread();
    IoThread(const IoThread &) = delete;
    IoThread(IoThread &&) = delete;
    auto operator=(const IoThread &) -> IoThread & = delete;
    auto operator=(IoThread &&) -> IoThread & = delete;

    /// Starts the thread. Call once.
    auto start() -> void;

    /// Stops the io_context and waits for the thread.
    auto stop() -> void;

    auto io() -> boost::asio::io_context & { return m_io; }

private:
    auto run() -> void;

    std::string m_name;
    boost::asio::io_context m_io{1}; // The concurrency hint 1 reduces lock contention in Asio.
    std::optional<boost::asio::executor_work_guard<boost::asio::io_context::executor_type>> m_work;
    std::thread m_thread;
};

} // namespace stairspur::node
