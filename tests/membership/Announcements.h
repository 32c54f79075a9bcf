#pragma once

#include <cstdint>
#include <string>

#include <stairspur/membership/Announcement.h>

namespace stairspur::membership {

/// Returns an announcement of a backend server with a name, as its heartbeats carry it.
inline auto makeAnnouncement(const std::string &instance, std::uint64_t sequence,
                             ServingState state = ServingState::Serving) -> Announcement
{
    auto announcement = Announcement();
    announcement.service = "maps";
    announcement.port = 9001;
    announcement.slots = 20;
    announcement.state = state;
    announcement.incarnation.instance = instance;
    announcement.sequence = sequence;
    return announcement;
}

} // namespace stairspur::membership
