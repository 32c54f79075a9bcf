#pragma once

#include <optional>
#include <string>
#include <string_view>

#include <stairspur/admission/BackendStatement.h>
#include <stairspur/core/Time.h>

namespace stairspur::node {

/// Logs what the backend server states about itself. The number of lines is bounded, whatever the server states.
class StatementLog
{
public:
    /// Logs a change of the current statement. `source` names where it comes from.
    auto didChange(const std::string &instance, const admission::BackendStatement &statement,
                   std::string_view source, TimePoint now) -> void;

    /// Logs a value that cannot be read, which changes nothing.
    auto didReceiveUnreadable(const std::string &instance, const std::string &value, TimePoint now)
            -> void;

private:
    admission::BackendStatement m_logged;
    std::optional<TimePoint> m_changeLoggedAt;
    std::optional<TimePoint> m_unreadableLoggedAt;
};

} // namespace stairspur::node
