#pragma once

#include <concepts>
#include <cstdint>
#include <string>
#include <string_view>

#include <stairspur/core/EnumNames.h>
#include <stairspur/core/Time.h>

/// Structured log: one line of key=value pairs for each event, written by a dedicated thread.
namespace stairspur::log {

enum class Severity {
    Debug,
    Info,
    Warning,
    Error,
};

} // namespace stairspur::log

template <>
inline constexpr auto stairspur::enumNames<stairspur::log::Severity> =
        std::array<std::string_view, 4>{"debug", "info", "warning", "error"};

namespace stairspur::log {

/// Which bound a line counts against. Each kind has its own, so that a flood of one does not displace the other.
enum class LineKind {
    Ordinary,
    Audit, ///< Evidence of what happened to a single call, such as a further send. Never sampled.
};

/// Settings of the log: which lines are written, and the node that they name.
struct LogSettings
{
    Severity minimum = Severity::Info;
    std::string node; ///< Appended to every line as `node=`; omitted when empty.
    std::uint32_t decisionSample =
            1; ///< One of this many decision lines is written; 0 and 1 write all.
};

/// Starts the writer thread, which writes to standard output. Must be called once, before the first line.
auto start(const LogSettings &settings) -> void;

/// Writes all pending lines and stops the writer thread.
auto stop() -> void;

/// Scope guard that starts the writer thread in its constructor and stops it in its destructor.
class Session
{
public:
    explicit Session(const LogSettings &settings) { start(settings); }
    ~Session() { stop(); }
    Session(const Session &) = delete;
    Session(Session &&) = delete;
    auto operator=(const Session &) -> Session & = delete;
    auto operator=(Session &&) -> Session & = delete;
};

/// Returns whether lines of this severity are written. Check it before building an expensive line.
auto isEnabled(Severity severity) -> bool;

/// Returns whether the next decision line belongs to the sample. Each call counts one decision.
auto isDecisionSampled() -> bool;

/// Line of one event. The destructor queues it for the writer thread.
///
///     log::Line(Severity::Info, "route").add("service", name).add("reason", nameOf(reason));
///
/// Values that are empty or contain a space, a quote, '=', a backslash or anything but printable ASCII are quoted and
/// escaped (`\"`, `\\`, `\x0a`), so that a caller's input can't forge a line or a pair.
class Line
{
public:
    Line(Severity severity, std::string_view event, LineKind kind = LineKind::Ordinary);
    ~Line();
    Line(const Line &) = delete;
    Line(Line &&) = delete;
    auto operator=(const Line &) -> Line & = delete;
    auto operator=(Line &&) -> Line & = delete;

    auto add(std::string_view key, std::string_view value) -> Line &;
    auto add(std::string_view key, const char *value) -> Line &
    {
        return add(key, std::string_view(value));
    }
    auto add(std::string_view key, bool value) -> Line &
    {
        return add(key, value ? "true" : "false");
    }
    auto add(std::string_view key, double value) -> Line &;

    template <std::integral Number>
        requires(!std::same_as<Number, bool>)
    auto add(std::string_view key, Number value) -> Line &
    {
        return add(key, std::string_view(std::to_string(value)));
    }

    template <NamedEnum Enum>
    auto add(std::string_view key, Enum value) -> Line &
    {
        return add(key, nameOf(value));
    }

    /// Adds a duration in microseconds. The key should end in `_us`.
    auto add(std::string_view key, Duration value) -> Line & { return add(key, value.count()); }

private:
    Severity m_severity;
    LineKind m_kind;
    bool m_isEnabled;
    std::string m_text;
};

} // namespace stairspur::log
