#pragma once

#include <cstdint>
#include <string>
#include <string_view>

#include <stairspur/core/Error.h>
#include <stairspur/core/Time.h>
#include <stairspur/membership/Member.h>

namespace stairspur::membership {

/// Thrown for an announcement that is refused. The message names the field and the value to send instead.
class AnnouncementError : public InputError
{
public:
    using InputError::InputError;
};

/// One process instance of a backend server, from its start to its end. A server may keep its name over a restart;
/// then only the start time distinguishes its process instances.
struct BackendIncarnation
{
    std::string instance; ///< Name of the server; empty if it has none.
    /// Start in Unix milliseconds by the host's clock; 0 if it was not sent.
    std::uint64_t startedAtMs = 0;

    auto operator==(const BackendIncarnation &) const -> bool = default;
};

/// Returns the identity of a process instance in messages between nodes; 0 if it has no name.
auto instanceIdOf(const BackendIncarnation &incarnation) -> std::uint64_t;

/// Returns an id by which the process instances of one name are ordered by their start; see isLaterStart(). 0 if the instance
/// has no name or no start time.
auto startIdOf(const BackendIncarnation &incarnation) -> std::uint64_t;

/// Returns whether `id` is the startIdOf() of a later process instance with the name of `incarnation`. An unrelated id is
/// mistaken for one with a probability of one in a million.
auto isLaterStart(std::uint64_t id, const BackendIncarnation &incarnation) -> bool;

/// The state of a backend server, which it sends to the node of its host every second.
struct Announcement
{
    std::string service;
    std::uint16_t port = 0;  ///< Port of its HTTP server, on the same host.
    std::uint32_t slots = 0; ///< Number of calls that it can run at once.
    ServingState state = ServingState::Starting;
    std::uint32_t inFlight = 0;        ///< Number of calls that it runs now.
    std::string address = "127.0.0.1"; ///< Address of its HTTP server.
    BackendIncarnation incarnation{};
    /// Increases with each announcement of one process instance; 0 if it was not sent.
    std::uint64_t sequence = 0;
    /// Remaining time after its start in which the server is slow.
    Duration coldRemaining{0};

    auto operator==(const Announcement &) const -> bool = default;
};

/// Parses the JSON body of `POST /announce`. Throws AnnouncementError.
auto parseAnnouncement(std::string_view json) -> Announcement;

} // namespace stairspur::membership
