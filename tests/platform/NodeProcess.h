#pragma once

#include <csignal>
#include <cstdlib>
#include <stdexcept>
#include <string>

#include <fcntl.h>
#include <spawn.h>
#include <sys/wait.h>

namespace stairspur::platform {

/// A node that runs as a process of its own, from a settings file of the platform.
class NodeProcess
{
public:
    /// `bootPath`: the settings file; `logPath`: the file to which the log is appended.
    NodeProcess(std::string bootPath, std::string logPath)
        : m_bootVariable("STAIRSPUR_BOOT=" + bootPath)
        , m_logPath(std::move(logPath))
    {
        start();
    }

    ~NodeProcess() { kill(); }

    NodeProcess(const NodeProcess &) = delete;
    auto operator=(const NodeProcess &) -> NodeProcess & = delete;

    auto start() -> void
    {
        static constexpr auto LogMode = 0644;
        auto files = posix_spawn_file_actions_t();
        posix_spawn_file_actions_init(&files);
        posix_spawn_file_actions_addopen(&files, STDOUT_FILENO, m_logPath.c_str(),
                                         O_WRONLY | O_CREAT | O_APPEND, LogMode);
        posix_spawn_file_actions_adddup2(&files, STDOUT_FILENO, STDERR_FILENO);
        auto program = programPath();
        auto command = std::string("node");
        char *arguments[] = {program.data(), command.data(), nullptr};
        char *environment[] = {m_bootVariable.data(), nullptr};
        const auto error =
                posix_spawn(&m_pid, program.c_str(), &files, nullptr, arguments, environment);
        posix_spawn_file_actions_destroy(&files);
        if (error != 0)
            throw std::runtime_error("cannot start " + program);
    }

    auto signal(int number) const -> void
    {
        if (m_pid > 0)
            ::kill(m_pid, number);
    }

    /// Ends the process as a crash would.
    auto kill() -> void
    {
        signal(SIGKILL);
        waitForEnd();
    }

    /// Returns whether the process has ended by itself or by a signal.
    auto hasEnded() -> bool
    {
        if (m_pid > 0 && ::waitpid(m_pid, nullptr, WNOHANG) == m_pid)
            m_pid = 0;
        return m_pid <= 0;
    }

    /// Returns the exit code after SIGTERM; -1 if a signal has ended the process.
    auto stop() -> int
    {
        signal(SIGTERM);
        return waitForEnd();
    }

private:
    /// Returns STAIRSPUR_TEST_PROGRAM, if it is set, so that a test can be run on an earlier build.
    static auto programPath() -> std::string
    {
        const auto *path = std::getenv("STAIRSPUR_TEST_PROGRAM");
        return path ? path : STAIRSPUR_PROGRAM;
    }

    auto waitForEnd() -> int
    {
        if (m_pid <= 0)
            return -1;
        auto status = 0;
        ::waitpid(m_pid, &status, 0);
        m_pid = 0;
        return WIFEXITED(status) ? WEXITSTATUS(status) : -1;
    }

    std::string m_bootVariable;
    std::string m_logPath;
    pid_t m_pid = 0;
};

} // namespace stairspur::platform
