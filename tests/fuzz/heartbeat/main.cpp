// The JSON that a backend server of the users' platform sends to its node.
#include <cstddef>
#include <cstdint>
#include <string>

#include "../../../platform/ControlApi.h"

using namespace stairspur;

/// Calls a reader, for which AnnouncementError is the one expected end besides success.
template <typename Read>
static auto readOrRefuse(Read read) -> void
{
    try {
        read();
    } catch (const membership::AnnouncementError &) {
        return;
    }
}

extern "C" auto LLVMFuzzerTestOneInput(const std::uint8_t *data, std::size_t size) -> int
{
    const auto body = std::string(reinterpret_cast<const char *>(data), size);
    readOrRefuse([&] { platform::parseHeartbeat("i-1", body); });
    readOrRefuse([&] { platform::parseLeave("i-1", body); });
    return 0;
}
