// Frames of peer links, as they come out of a websocket message.
#include <cstddef>
#include <cstdint>
#include <string_view>

#include <stairspur/core/Error.h>

#include "../../../source/transport/Frames.h"
#include "../Samples.h"

using namespace stairspur;
using transport::FrameKind;

static auto rewrite(const transport::Frame &it) -> std::string
{
    switch (it.kind) {
    case FrameKind::Hello:
        return transport::writeHello(it.node, it.proof);
    case FrameKind::Proof:
        return transport::writeProof(it.proof);
    case FrameKind::Data:
        return transport::writeData(it.id, it.piece);
    case FrameKind::Cancel:
        return transport::writeCancel(it.id);
    default:
        return transport::writeHead(it.kind, it.id, it.bodyLength, it.hash, it.fields, it.piece);
    }
}

static auto makeSamples() -> std::vector<std::string>
{
    const auto nonce = std::string(16, 'n');
    return {transport::writeHello("192.0.2.7:7100", nonce),
            transport::writeProof(
                    transport::makeProof("secret", {"client", "a", nonce, "b", nonce})),
            transport::writeHead(FrameKind::Call, 1, 2, 3, "fields", "piece"),
            transport::writeHead(FrameKind::Reply, 1ULL << 40U, 1U << 20U, 3, "", ""),
            transport::writeData(7, "piece"),
            transport::writeCancel(9)};
}

extern "C" auto LLVMFuzzerTestOneInput(const std::uint8_t *data, std::size_t size) -> int
{
    try {
        const auto frame = transport::readFrame({reinterpret_cast<const char *>(data), size});
        // What was read can be written, and then reads as the same.
        const auto bytes = rewrite(frame);
        const auto again = transport::readFrame(bytes);
        if (again.kind != frame.kind || again.id != frame.id || again.piece != frame.piece
            || again.fields != frame.fields || again.proof != frame.proof)
            __builtin_trap();
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
