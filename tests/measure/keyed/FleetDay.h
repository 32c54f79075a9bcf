#pragma once

#include <cstdint>

namespace stairspur::keyed::measure {

/// Simulates a day of restarts and failures with planPlacement, for one of the 13 failure domains at the target size,
/// and prints the number of writes to the store, scaled to all domains.
auto measureFleetDay(std::uint64_t seed) -> void;

} // namespace stairspur::keyed::measure
