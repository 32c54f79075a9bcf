#include "CallIdSource.h"

#include <utility>

#include <openssl/rand.h>

#include <stairspur/core/Error.h>

namespace stairspur::node {

auto SecureCallIds::next() -> CallId
{
    if (m_left == 0) {
        auto *bytes = reinterpret_cast<unsigned char *>(m_batch.data());
        if (RAND_bytes(bytes, static_cast<int>(sizeof m_batch)) != 1)
            throw Error("the system's random source is not available", "check /dev/urandom");
        m_left = BatchSize;
    }
    return std::exchange(m_batch[--m_left], 0); // Erases the used id from the batch.
}

} // namespace stairspur::node
