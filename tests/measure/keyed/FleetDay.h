#pragma once

#include <cstdint>

namespace stairspur::keyed::measure {

/// Runs a day of restarts and failures through planPlacement, for one of the 13 failure domains at the target size, and
/// prints the writes to the store that it takes, scaled to all domains.
auto measureFleetDay(std::uint64_t seed) -> void;

} // namespace stairspur::keyed::measure
