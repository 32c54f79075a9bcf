// The fields of calls, answers, requests and replies on peer links. The first byte says which.
#include <cstddef>
#include <cstdint>
#include <string_view>

#include <stairspur/core/Error.h>

#include "../../../source/transport/CallCodec.h"
#include "../Samples.h"

using namespace stairspur;

/// What was read can be written; reading that and writing it again gives the same bytes.
template <typename Read, typename Write>
static auto checkRoundTrip(std::string_view bytes, Read read, Write write) -> void
{
    const auto once = write(read(bytes));
    if (write(read(once)) != once)
        __builtin_trap();
}

static auto makeSamples() -> std::vector<std::string>
{
    auto call = transport::CallRequest{.service = "menu", .className = "orders"};
    call.root = {1, 2};
    call.method = "POST";
    call.target = "/menu";
    call.headers.add("Content-Type", "text/plain");
    auto answer = transport::CallAnswer();
    answer.status = 200;
    answer.headers.add("Content-Type", "text/plain");
    auto reported = answer;
    reported.report.emplace();
    call.statement = {17, {.rateLimit = 12.3, .isLeaving = true}};
    reported.report->statement = call.statement;
    return {std::string(1, 0) + transport::writeCall(call),
            std::string(1, 1) + transport::writeAnswer(answer),
            std::string(1, 1) + transport::writeAnswer(reported),
            std::string(1, 2) + transport::writeRequest("config"),
            std::string(1, 3) + transport::writeReply(true)};
}

extern "C" auto LLVMFuzzerTestOneInput(const std::uint8_t *data, std::size_t size) -> int
{
    static constexpr auto Kinds = 4;
    if (size == 0)
        return 0;
    const auto bytes = std::string_view(reinterpret_cast<const char *>(data) + 1, size - 1);
    try {
        switch (data[0] % Kinds) {
        case 0:
            checkRoundTrip(bytes, transport::readCall, transport::writeCall);
            break;
        case 1:
            checkRoundTrip(bytes, transport::readAnswer, transport::writeAnswer);
            break;
        case 2:
            checkRoundTrip(bytes, transport::readRequest, transport::writeRequest);
            break;
        default:
            checkRoundTrip(bytes, transport::readReply, transport::writeReply);
        }
    } catch (const InputError &) {
        return 0; // The one error that the link expects.
    }
    return 0;
}

extern "C" auto LLVMFuzzerCustomMutator(std::uint8_t *data, std::size_t size, std::size_t maxSize,
                                        unsigned seed) -> std::size_t
{
    static const auto samples = makeSamples();
    return fuzz::mutateOrSample(samples, data, size, maxSize, seed);
}
