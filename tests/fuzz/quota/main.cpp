// Fuzzes the datagrams between hosts and the grantors of callers' quotas, as they are read after the check of their HMAC.
#include <cstddef>
#include <cstdint>
#include <string_view>

#include "../Samples.h"
#include <stairspur/core/Error.h>
#include <stairspur/quota/QuotaGrantor.h>
#include <stairspur/quota/QuotaHolder.h>

using namespace stairspur;
using namespace stairspur::quota;

static constexpr auto Quota = config::RequestQuota{10, 5};

static auto makeSamples() -> std::vector<std::string>
{
    auto request = TokenRequest{1, "kitchen", 2, 3, true};
    const auto first = writeMessage(request);
    request.history = GrantWindow::History{1, 2, 3};
    return {first, writeMessage(request),
            writeMessage(TokenGrant{1, "kitchen", 2, Duration{7}, true, 5, true})};
}

extern "C" auto LLVMFuzzerTestOneInput(const std::uint8_t *data, std::size_t size) -> int
{
    static const auto start = TimePoint{Duration{1'000'000'000}};
    auto grantor = QuotaGrantor(QuotaSettings(), "a", start, 1);
    auto holder = QuotaHolder(QuotaSettings(), 1, start);
    grantor.setNodes({{"a"}, {"b"}}, start);
    holder.setNodes({{"a"}, {"b"}}, start);
    holder.offer(1, "kitchen", Quota, start);
    try {
        const auto message = readMessage({reinterpret_cast<const char *>(data), size});
        if (const auto *request = std::get_if<TokenRequest>(&message))
            grantor.grantTokens("a", *request, Quota, start + std::chrono::seconds(1));
        else
            holder.receive(std::get<TokenGrant>(message), start + std::chrono::seconds(1));
    } catch (const InputError &) {
        return 0; // The service catches only this error.
    }
    holder.tick(start + std::chrono::seconds(2));
    return 0;
}

extern "C" auto LLVMFuzzerCustomMutator(std::uint8_t *data, std::size_t size, std::size_t maxSize,
                                        unsigned seed) -> std::size_t
{
    static const auto samples = makeSamples();
    return fuzz::mutateOrSample(samples, data, size, maxSize, seed);
}
