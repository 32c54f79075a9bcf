// Fuzzes the reader of quarantine datagrams, whose HMAC has already been checked.
#include <cstddef>
#include <cstdint>
#include <string_view>

#include "../Samples.h"
#include <stairspur/core/Error.h>
#include <stairspur/quarantine/QuarantineState.h>

using namespace stairspur;
using namespace stairspur::quarantine;

static auto makeSamples() -> std::vector<std::string>
{
    const auto request = RequestFingerprint{1, 2};
    return {writeMessage(CrashReport{3, true, {request, request}}), writeMessage(Digest{4, false}),
            writeMessage(Records{true, {{request, {{5, false}, {6, true}}, Duration{7}}}})};
}

extern "C" auto LLVMFuzzerTestOneInput(const std::uint8_t *data, std::size_t size) -> int
{
    static const auto start = TimePoint{Duration{1'000'000'000}};
    auto state = QuarantineState({.node = "a"}, 1, start);
    state.setPeers({"b", "c"});
    try {
        state.receive("b", {reinterpret_cast<const char *>(data), size}, start);
    } catch (const InputError &) {
        return 0; // The only exception that QuarantineService handles.
    }
    state.tick(start + std::chrono::seconds(1));
    return 0;
}

extern "C" auto LLVMFuzzerCustomMutator(std::uint8_t *data, std::size_t size, std::size_t maxSize,
                                        unsigned seed) -> std::size_t
{
    static const auto samples = makeSamples();
    return fuzz::mutateOrSample(samples, data, size, maxSize, seed);
}
