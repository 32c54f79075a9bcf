// Fuzzes the decoders of messages about configurations and of the store's records. The first byte selects the decoder.
#include <cstddef>
#include <cstdint>
#include <string_view>

#include "../Samples.h"
#include <stairspur/core/Error.h>
#include <stairspur/distribution/Digest.h>
#include <stairspur/distribution/Head.h>
#include <stairspur/distribution/Messages.h>

using namespace stairspur;

static auto decodeOne(std::uint8_t kind, std::string_view bytes) -> void
{
    static constexpr auto Kinds = 6;
    switch (kind % Kinds) {
    case 0:
        distribution::encode(distribution::decodeDatagram(bytes));
        return;
    case 1:
        distribution::encode(distribution::decodePullRequest(bytes));
        return;
    case 2:
        distribution::encode(distribution::decodePullReply(bytes));
        return;
    case 3:
        distribution::encodeHead(distribution::decodeHead(bytes));
        return;
    case 4:
        distribution::decodeRoot(bytes);
        return;
    default:
        distribution::decodeBucket(bytes);
    }
}

static auto makeSamples() -> std::vector<std::string>
{
    auto delta = distribution::ConfigDatagram{.kind = distribution::DatagramKind::Delta};
    delta.since = 3;
    delta.changes.changed["service/menu"] = "bytes";
    delta.changes.removed = {"service/old"};
    auto reply = distribution::PullReply();
    reply.since = 2;
    auto head = distribution::Head();
    head.version = 4;
    head.hash = std::string(64, 'a');
    const auto list = distribution::encodeList({{{"service/menu", std::string(64, 'b')}}, {}});
    auto samples = std::vector<std::string>{
            std::string(1, 0) + distribution::encode(delta),
            std::string(1, 1) + distribution::encode(distribution::PullRequest{3, "service/menu"}),
            std::string(1, 2) + distribution::encode(reply),
            std::string(1, 3) + distribution::encodeHead(head)};
    for (const auto &[hash, bytes] : list.blobs) {
        samples.push_back(std::string(1, 4) + bytes);
        samples.push_back(std::string(1, 5) + bytes);
    }
    return samples;
}

extern "C" auto LLVMFuzzerTestOneInput(const std::uint8_t *data, std::size_t size) -> int
{
    if (size == 0)
        return 0;
    try {
        decodeOne(data[0], {reinterpret_cast<const char *>(data) + 1, size - 1});
    } catch (const InputError &) {
        return 0; // This is the only error that the service expects.
    }
    return 0;
}

extern "C" auto LLVMFuzzerCustomMutator(std::uint8_t *data, std::size_t size, std::size_t maxSize,
                                        unsigned seed) -> std::size_t
{
    static const auto samples = makeSamples();
    return fuzz::mutateOrSample(samples, data, size, maxSize, seed);
}
