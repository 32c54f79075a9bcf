#pragma once

#include <chrono>
#include <fstream>
#include <mutex>
#include <string>

namespace review {

using Clock = std::chrono::steady_clock;
using Milliseconds = std::chrono::milliseconds;

/// Writes one line per event to record.txt, each with the milliseconds since the start. Safe on any thread.
class Record
{
public:
    explicit Record(const std::string &path)
        : m_file(path)
        , m_start(Clock::now())
    {}

    auto now() const -> long long
    {
        return std::chrono::duration_cast<Milliseconds>(Clock::now() - m_start).count();
    }

    auto line(const std::string &text) -> void
    {
        const auto lock = std::scoped_lock(m_mutex);
        m_file << now() << " ms  " << text << std::endl;
    }

private:
    std::ofstream m_file;
    Clock::time_point m_start;
    std::mutex m_mutex;
};

} // namespace review
