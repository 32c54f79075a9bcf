#pragma once

#include <concepts>
#include <cstdint>
#include <string>
#include <string_view>

#include <stairspur/core/EnumNames.h>
#include <stairspur/core/Time.h>

/// Logs: one line of key=value pairs for each event, written by a thread of its own.
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

/// Where the lines go and which are kept.
struct LogSettings
{
    Severity minimum = Severity::Info;
    std::string node;                 ///< Put into every line as `node=`; left out when empty.
    std::uint32_t decisionSample = 1; ///< One decision line in this many is written; 1 writes all.
};

/// Starts the writer, which writes to standard output. Call once, before the first line.
auto start(const LogSettings &settings) -> void;

/// Writes what is waiting and stops the writer.
auto stop() -> void;

/// Starts the writer and stops it at the end of its scope, however that is left.
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

/// Whether a line of this severity would be written: ask before building a costly one.
auto isEnabled(Severity severity) -> bool;

/// Whether the next decision line falls into the sample.
auto isDecisionSampled() -> bool;

/// One event. Its line is handed to the writer when it goes out of scope.
///
///     log::Line(Severity::Info, "route").add("service", name).add("reason", nameOf(reason));
///
/// Values are quoted where they hold a space, a quote, '=', a backslash or anything that is no printable ASCII, and
/// escaped there (`\"`, `\\`, `\x0a`), so that a caller's input cannot forge a line or a pair.
class Line
{
public:
    Line(Severity severity, std::string_view event);
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

    /// Microseconds, under a key that should end in `_us`.
    auto add(std::string_view key, Duration value) -> Line & { return add(key, value.count()); }

private:
    Severity m_severity;
    bool m_isEnabled;
    std::string m_text;
};

} // namespace stairspur::log
