#pragma once

#include <optional>

#include <stairspur/admission/BackendStatement.h>
#include <stairspur/core/Outcome.h>
#include <stairspur/core/Time.h>
#include <stairspur/membership/Announcement.h>
#include <stairspur/node/ResponseStatement.h>

namespace stairspur::node {

/// Tracks what the current process instance of the backend server states about itself.
class StatementTracker
{
public:
    /// Begins with another process instance, which has stated nothing yet.
    auto didReplaceBackend(const membership::BackendIncarnation &incarnation) -> void;

    /// Records what a complete response states. The request was sent at `sentAt`. Returns whether the current statement
    /// has changed.
    ///
    /// A statement ends with an answer without it to a request that was sent after the latest answer with it. Other
    /// responses without it don't count: one may have been written before the statement, and errors may come from others
    /// than the server. That the server leaves holds for good.
    auto didRespond(const ResponseStatement &read, Outcome outcome, TimePoint sentAt, TimePoint now)
            -> bool;

    /// Records that the process instance has announced that it leaves, so that reports contain it.
    auto didAnnounceLeaving() -> void;

    /// Adopts what another node knows of the same process instance: that it leaves, and its rate limit as long as this node
    /// knows nothing. Returns whether the current statement has changed.
    auto adopt(const admission::InstanceStatement &known, TimePoint now) -> bool;

    /// Returns the current statement, which is empty while nothing is known.
    [[nodiscard]] auto current() const -> const admission::BackendStatement &
    {
        return m_current.statement;
    }

    /// Returns what this node knows of the process instance; nothing before the first answer.
    [[nodiscard]] auto known() const -> std::optional<admission::InstanceStatement>;

private:
    admission::InstanceStatement m_current;
    bool m_isKnown = false;   ///< There was a response, or a statement was adopted.
    TimePoint m_rateStatedAt; ///< Receipt of the latest response with a rate limit.
};

} // namespace stairspur::node
