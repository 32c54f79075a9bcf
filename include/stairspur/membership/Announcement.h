#pragma once

#include <cstdint>
#include <string>
#include <string_view>

#include <stairspur/core/Error.h>
#include <stairspur/core/Time.h>
#include <stairspur/membership/Member.h>

namespace stairspur::membership {

/// An announcement that cannot be taken. The message names the field and what to send instead.
class AnnouncementError : public InputError
{
public:
    using InputError::InputError;
};

/// One life of a backend server: from its start to its end. A server that starts again may keep its name, so that only
/// the time of the start tells its lives apart.
struct BackendLife
{
    std::string instance;          ///< Empty where the server has no name.
    std::uint64_t startedAtMs = 0; ///< Unix milliseconds by its host's clock; 0: not told.

    auto operator==(const BackendLife &) const -> bool = default;
};

/// What a backend server says of itself to its host's node, every second.
struct Announcement
{
    std::string service;
    std::uint16_t port = 0;  ///< Of its HTTP server, on the same host.
    std::uint32_t slots = 0; ///< Calls that it can run at once.
    ServingState state = ServingState::Starting;
    std::uint32_t inFlight = 0;        ///< Calls that it runs now.
    std::string address = "127.0.0.1"; ///< Of its HTTP server.
    BackendLife life{};
    std::uint64_t sequence = 0; ///< Grows with each announcement of one life; 0: not told.
    Duration coldFor{0};        ///< How much longer it will be slow after its start.

    auto operator==(const Announcement &) const -> bool = default;
};

/// Reads the JSON body of `POST /announce`. Throws AnnouncementError.
auto parseAnnouncement(std::string_view json) -> Announcement;

} // namespace stairspur::membership
