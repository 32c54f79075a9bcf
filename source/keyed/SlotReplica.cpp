#include <stairspur/keyed/SlotReplicaCode.h>

namespace stairspur::keyed {

template class PrimarySlot<StandardGuards>;
template class WitnessSlot<StandardGuards>;
template class SlotReplica<StandardGuards>;

} // namespace stairspur::keyed
