#include <stairspur/membership/MembershipState.h>

namespace stairspur::membership {

template class BasicMembershipState<StandardPolicy>;

} // namespace stairspur::membership
