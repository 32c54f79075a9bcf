// Fuzzes the decoder of membership datagrams, which runs after their HMAC is verified.
#include <cstddef>
#include <cstdint>
#include <string_view>

#include "../Samples.h"
#include <stairspur/membership/Message.h>

using namespace stairspur;

static auto makeSamples() -> std::vector<std::string>
{
    auto ping = membership::Message();
    ping.self.node = "192.0.2.7:7100";
    ping.self.domain = "centre";
    ping.self.service = "menu";
    ping.self.incarnation = 1;
    ping.updates = {ping.self, ping.self};
    ping.updates[1].node = "192.0.2.8:7100";
    ping.annotation = "digest";
    auto digest = ping;
    digest.kind = membership::MessageKind::Digest;
    digest.digestDomain = "centre";
    digest.hashes = std::string(membership::DigestBytes, 'h');
    auto records = ping;
    records.kind = membership::MessageKind::Records;
    records.digestDomain = "centre";
    records.buckets = "\x01\x02";
    records.statements = {{"192.0.2.9:7100", "south", 3, false}};
    return {membership::encode(ping), membership::encode(digest), membership::encode(records)};
}

extern "C" auto LLVMFuzzerTestOneInput(const std::uint8_t *data, std::size_t size) -> int
{
    try {
        const auto message = membership::decode({reinterpret_cast<const char *>(data), size});
        if (!(membership::decode(membership::encode(message)) == message))
            __builtin_trap();
    } catch (const membership::MessageError &) {
        return 0; // The service expects this error only.
    }
    return 0;
}

extern "C" auto LLVMFuzzerCustomMutator(std::uint8_t *data, std::size_t size, std::size_t maxSize,
                                        unsigned seed) -> std::size_t
{
    static const auto samples = makeSamples();
    return fuzz::mutateOrSample(samples, data, size, maxSize, seed);
}
