#include <criterion/criterion.h>

#include <stairspur/config/Quantities.h>

using namespace stairspur;
using namespace stairspur::config;
using namespace std::chrono_literals;

Test(Quantities, durationsAreParsedAndFormatted)
{
    struct
    {
        const char *text;
        Duration value;
        const char *written;
    } cases[] = {{"500us", 500us, "500us"},   {"250ms", 250ms, "250ms"}, {"2s", 2s, "2s"},
                 {"120s", 2min, "2m"},        {"1h", 1h, "1h"},          {"0s", 0s, "0us"},
                 {"1500ms", 1500ms, "1500ms"}};
    for (const auto &it : cases) {
        cr_assert(parseDuration(it.text) == it.value, "%s", it.text);
        cr_assert_eq(formatDuration(it.value), it.written);
    }
}

Test(Quantities, sizesAreParsedAndFormatted)
{
    struct
    {
        const char *text;
        std::uint64_t value;
        const char *written;
    } cases[] = {{"1B", 1, "1B"},
                 {"64KiB", 65536, "64KiB"},
                 {"1024KiB", 1U << 20U, "1MiB"},
                 {"3GiB", std::uint64_t{3} << 30U, "3GiB"}};
    for (const auto &it : cases) {
        cr_assert(parseSize(it.text) == it.value, "%s", it.text);
        cr_assert_eq(formatSize(it.value), it.written);
    }
}

Test(Quantities, otherTextsAreRejected)
{
    for (const auto *it : {"", "5", "s", "-1s", "+1s", "1.5s", "1 s", " 1s", "1s ", "1S", "1d",
                           "9223372036854775808us", "2562047789h"})
        cr_assert(!parseDuration(it), "accepted '%s'", it);
    for (const auto *it : {"", "64", "64K", "64kib", "64KB", "-1B", "0x1B", "8589934592GiB"})
        cr_assert(!parseSize(it), "accepted '%s'", it);
}
