#include <stairspur/keyed/PlacementKeeperCode.h>

namespace stairspur::keyed {

template class PlacementKeeper<StandardGuards>;

} // namespace stairspur::keyed
