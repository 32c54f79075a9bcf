#include "IoThread.h"

#include <pthread.h>

#include <stairspur/log/Log.h>

namespace stairspur::node {

IoThread::IoThread(std::string name)
    : m_name(std::move(name))
    , m_work(boost::asio::make_work_guard(m_io))
{}

IoThread::~IoThread()
{
    stop();
}

auto IoThread::start() -> void
{
    m_thread = std::thread([this] { run(); });
}

auto IoThread::stop() -> void
{
    m_work.reset();
    m_io.stop();
    if (m_thread.joinable())
        m_thread.join();
}

/// Runs the io_context. An exception that reaches this function is a bug in one handler; it is logged, and the other
/// handlers continue.
auto IoThread::run() -> void
{
    pthread_setname_np(pthread_self(), m_name.c_str());
    while (!m_io.stopped()) {
        try {
            m_io.run();
        } catch (const std::exception &error) {
            log::Line(log::Severity::Error, "handler-failed")
                    .add("thread", m_name)
                    .add("detail", error.what());
        }
    }
}

} // namespace stairspur::node
