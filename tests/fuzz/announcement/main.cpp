// The JSON that a backend server announces itself with.
#include <cstddef>
#include <cstdint>
#include <string_view>

#include <stairspur/membership/Announcement.h>

using namespace stairspur;

extern "C" auto LLVMFuzzerTestOneInput(const std::uint8_t *data, std::size_t size) -> int
{
    try {
        membership::parseAnnouncement({reinterpret_cast<const char *>(data), size});
    } catch (const membership::AnnouncementError &) {
        return 0; // The one error that the admin port expects.
    }
    return 0;
}
