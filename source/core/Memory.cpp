#include <stairspur/core/Memory.h>

#include <malloc.h>

namespace stairspur {

/// Size from which a block has memory of its own. Smaller ones are worth the gaps that they leave, since mapping costs time.
static constexpr auto LargeBlockBytes = 1 << 20;

auto returnLargeBlocks() -> void
{
    // A process that cannot set it works with the default. Sanitizers replace the allocator and ignore it.
    mallopt(M_MMAP_THRESHOLD, LargeBlockBytes);
}

} // namespace stairspur
