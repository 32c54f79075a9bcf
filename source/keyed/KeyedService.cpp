#include <stairspur/keyed/KeyedRouterCode.h>
#include <stairspur/keyed/KeyedServiceCode.h>

#include <chrono>

#include <stairspur/store/EtcdStore.h>
#include <stairspur/transport/PeerClient.h>

namespace stairspur::keyed {

auto wallNow() -> WallMilliseconds
{
    const auto now = std::chrono::system_clock::now().time_since_epoch();
    return static_cast<WallMilliseconds>(
            std::chrono::duration_cast<std::chrono::milliseconds>(now).count());
}

template class KeyedService<store::EtcdStore, transport::PeerClient>;
template class KeyedRouter<transport::PeerClient>;

} // namespace stairspur::keyed
