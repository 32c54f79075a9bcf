// Prints which of the named nodes grants a caller's quota: the one that the project's rendezvous hashing ranks first. It tells
// a case which machine to disturb, as the bench's `leader` does.
#include <cstdint>
#include <cstdio>
#include <string>

#include <xxhash.h>

static auto hashOf(const std::string &text, std::uint64_t seed) -> std::uint64_t
{
    return XXH3_64bits_withSeed(text.data(), text.size(), seed);
}

auto main(int count, char **arguments) -> int
{
    if (count < 3)
        return 2;
    const auto seed = hashOf(arguments[1], 0);
    auto best = 2;
    for (auto n = 3; n < count; ++n) {
        if (hashOf(arguments[n], seed) > hashOf(arguments[best], seed))
            best = n;
    }
    std::puts(arguments[best]);
    return 0;
}
