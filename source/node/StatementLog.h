#pragma once

#include <optional>
#include <string>

#include <stairspur/admission/BackendStatement.h>
#include <stairspur/core/EnumNames.h>
#include <stairspur/core/Time.h>

namespace stairspur::node {

/// Where this node's knowledge of a statement comes from.
enum class StatementSource {
    Answer, ///< An answer of the backend server.
    Entry,  ///< A call of an entry that knows the statement from before this node's restart.
};

/// Logs what the backend server states about itself. The number of lines is bounded, whatever the server states.
class StatementLog
{
public:
    /// Logs a change of the current statement.
    auto didChange(const std::string &instance, const admission::BackendStatement &statement,
                   StatementSource source, TimePoint now) -> void;

    /// Logs a value that cannot be read, which changes nothing.
    auto didReceiveUnreadable(const std::string &instance, const std::string &value, TimePoint now)
            -> void;

private:
    admission::BackendStatement m_logged;
    std::optional<TimePoint> m_changeLoggedAt;
    std::optional<TimePoint> m_unreadableLoggedAt;
};

} // namespace stairspur::node

template <>
inline constexpr auto stairspur::enumNames<stairspur::node::StatementSource> =
        std::array<std::string_view, 2>{"answer", "entry"};
