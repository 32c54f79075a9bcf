#pragma once

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

extern "C" auto LLVMFuzzerMutate(std::uint8_t *data, std::size_t size, std::size_t maxSize)
        -> std::size_t;

namespace stairspur::fuzz {

/// Mutates the input; now and then starts from one of `samples` instead, which the project's own writers made, so that
/// the fuzzer need not find the form of a message by itself.
inline auto mutateOrSample(const std::vector<std::string> &samples, std::uint8_t *data,
                           std::size_t size, std::size_t maxSize, unsigned seed) -> std::size_t
{
    static constexpr auto SampledEvery = 64U;
    if (seed % SampledEvery != 0)
        return LLVMFuzzerMutate(data, size, maxSize);
    const auto &sample = samples[(seed / SampledEvery) % samples.size()];
    const auto n = std::min(sample.size(), maxSize);
    std::copy_n(sample.begin(), n, reinterpret_cast<char *>(data));
    return LLVMFuzzerMutate(data, n, maxSize);
}

} // namespace stairspur::fuzz
