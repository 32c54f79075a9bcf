#pragma once

#include <array>
#include <optional>
#include <string_view>

#include <stairspur/core/EnumNames.h>

namespace stairspur::membership {

/// Why an announcement has changed nothing.
enum class IgnoreReason {
    Outdated, ///< A later announcement of the same process instance has been received.
    Ended,    ///< The process instance counts as ended; see BackendAnnouncements.
    Leaving,  ///< The process instance announces that it serves, but it leaves.
};

/// How a node has learned that a process instance leaves.
enum class LeavingSource {
    Announcement, ///< A heartbeat with the state draining or left.
    Leave,        ///< The message that ends the announcements.
    Response,     ///< A field of a response; see ResponseStatement.
};

/// What a message of the backend server has changed.
struct AnnouncementResult
{
    bool didChangeRecord =
            false; ///< Process instance, service, slots or state are others than before.
    bool isNewlyLeaving = false; ///< Its process instance was not known to leave.
    std::optional<IgnoreReason> ignored;

    /// Returns whether the own record has changed.
    explicit operator bool() const { return didChangeRecord; }
};

} // namespace stairspur::membership

template <>
inline constexpr auto stairspur::enumNames<stairspur::membership::IgnoreReason> =
        std::array<std::string_view, 3>{"outdated", "ended", "leaving"};

template <>
inline constexpr auto stairspur::enumNames<stairspur::membership::LeavingSource> =
        std::array<std::string_view, 3>{"announcement", "leave", "response"};
