#pragma once

#include <array>
#include <cassert>
#include <string>

#include <fcntl.h>
#include <unistd.h>

#include <stairspur/log/Log.h>

namespace stairspur::log {

/// Redirects standard output to a pipe and captures the log of this process. Nothing reads the pipe before finish(),
/// so the log must fit into the pipe's buffer. Criterion runs each test in its own process, so other tests aren't
/// affected.
class CapturedLog
{
public:
    explicit CapturedLog(const LogSettings &settings)
        : m_standardOutput(::dup(STDOUT_FILENO))
    {
        [[maybe_unused]] const auto result = ::pipe(m_ends.data());
        assert(result == 0);
        ::fcntl(m_ends[1], F_SETPIPE_SZ, PipeBytes);
        ::dup2(m_ends[1], STDOUT_FILENO);
        start(settings);
    }

    CapturedLog(const CapturedLog &) = delete;
    CapturedLog(CapturedLog &&) = delete;
    auto operator=(const CapturedLog &) -> CapturedLog & = delete;
    auto operator=(CapturedLog &&) -> CapturedLog & = delete;

    ~CapturedLog()
    {
        ::close(m_ends[0]);
        ::close(m_standardOutput);
    }

    /// Stops the writer, restores standard output and returns the captured log.
    auto finish() -> std::string
    {
        stop();
        std::fflush(stdout);
        ::dup2(m_standardOutput, STDOUT_FILENO);
        ::close(m_ends[1]);
        auto text = std::string();
        auto buf = std::array<char, 4096>{};
        for (auto n = ::read(m_ends[0], buf.data(), buf.size()); n > 0;
             n = ::read(m_ends[0], buf.data(), buf.size()))
            text.append(buf.data(), static_cast<std::size_t>(n));
        return text;
    }

private:
    static constexpr auto PipeBytes = 1 << 20;

    int m_standardOutput;
    std::array<int, 2> m_ends{};
};

} // namespace stairspur::log
