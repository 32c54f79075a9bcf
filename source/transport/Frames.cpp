#include "Frames.h"

#include <array>

#include <openssl/evp.h>
#include <openssl/hmac.h>
#include <openssl/rand.h>

#include <stairspur/core/Error.h>
#include <stairspur/core/Hash.h>

#include "CborReader.h"
#include "CborWriter.h"

namespace stairspur::transport {

static constexpr auto NonceSize = std::size_t{16};
static constexpr auto HeadOverhead = std::size_t{64};

static auto kindNumber(FrameKind kind) -> std::uint64_t
{
    return static_cast<std::uint64_t>(kind);
}

auto writeHello(std::string_view node, std::string_view nonce) -> std::string
{
    auto bytes = std::string();
    CborWriter(bytes)
            .addArray(4)
            .addUnsigned(kindNumber(FrameKind::Hello))
            .addUnsigned(ProtocolVersion)
            .addText(node)
            .addBytes(nonce);
    return bytes;
}

auto writeProof(std::string_view proof) -> std::string
{
    auto bytes = std::string();
    CborWriter(bytes).addArray(2).addUnsigned(kindNumber(FrameKind::Proof)).addBytes(proof);
    return bytes;
}

auto writeHead(FrameKind kind, CallId id, std::uint64_t bodyLength, std::uint64_t hash,
               std::string_view fields, std::string_view piece) -> std::string
{
    auto bytes = std::string();
    bytes.reserve(fields.size() + piece.size() + HeadOverhead);
    CborWriter(bytes)
            .addArray(6)
            .addUnsigned(kindNumber(kind))
            .addUnsigned(id)
            .addUnsigned(bodyLength)
            .addUnsigned(hash)
            .addBytes(fields)
            .addBytes(piece);
    return bytes;
}

auto writeData(CallId id, std::string_view piece) -> std::string
{
    auto bytes = std::string();
    bytes.reserve(piece.size() + HeadOverhead);
    CborWriter(bytes)
            .addArray(3)
            .addUnsigned(kindNumber(FrameKind::Data))
            .addUnsigned(id)
            .addBytes(piece);
    return bytes;
}

auto writeCancel(CallId id) -> std::string
{
    auto bytes = std::string();
    CborWriter(bytes).addArray(2).addUnsigned(kindNumber(FrameKind::Cancel)).addUnsigned(id);
    return bytes;
}

static auto readItems(CborReader &reader, Frame &frame) -> std::uint64_t
{
    switch (frame.kind) {
    case FrameKind::Hello:
        frame.version = reader.readUnsigned();
        frame.node = reader.readText();
        frame.proof = reader.readBytes();
        return 3;
    case FrameKind::Proof:
        frame.proof = reader.readBytes();
        return 1;
    case FrameKind::Call:
    case FrameKind::Answer:
    case FrameKind::Request:
    case FrameKind::Reply:
        frame.id = reader.readUnsigned();
        frame.bodyLength = reader.readUnsigned();
        frame.hash = reader.readUnsigned();
        frame.fields = reader.readBytes();
        frame.piece = reader.readBytes();
        return 5;
    case FrameKind::Data:
        frame.id = reader.readUnsigned();
        frame.piece = reader.readBytes();
        return 2;
    case FrameKind::Cancel:
        frame.id = reader.readUnsigned();
        return 1;
    }
    return 0;
}

auto readFrame(std::string_view bytes) -> Frame
{
    auto reader = CborReader(bytes);
    const auto n = reader.readArray();
    auto frame = Frame();
    frame.kind = static_cast<FrameKind>(reader.readUnsigned(enumNames<FrameKind>.size() - 1));
    const auto nRead = 1 + readItems(reader, frame);
    if (nRead > n)
        throw InputError("a frame has too few items",
                         "check that both ends run the same protocol version of stairspur");
    reader.skip(n - nRead);
    reader.ensureEnd();
    return frame;
}

auto hashMessage(CallId id, std::string_view fields, std::string_view body) -> std::uint64_t
{
    return hash64(body, hash64(fields, id));
}

auto makeProof(std::string_view secret, const ProofInput &input) -> std::string
{
    if (secret.empty())
        return {};
    auto bytes = std::string();
    CborWriter(bytes)
            .addArray(5)
            .addText(input.role)
            .addText(input.ownNode)
            .addBytes(input.ownNonce)
            .addText(input.farNode)
            .addBytes(input.farNonce);
    return hmac(secret, bytes);
}

auto hmac(std::string_view secret, std::string_view bytes) -> std::string
{
    auto digest = std::array<unsigned char, EVP_MAX_MD_SIZE>{};
    auto n = 0U;
    if (HMAC(EVP_sha256(), secret.data(), static_cast<int>(secret.size()),
             reinterpret_cast<const unsigned char *>(bytes.data()), bytes.size(), digest.data(), &n)
        == nullptr)
        throw Error("HMAC is not available", "install an OpenSSL that offers it");
    return {reinterpret_cast<const char *>(digest.data()), n};
}

auto makeNonce() -> std::string
{
    auto bytes = std::array<unsigned char, NonceSize>{};
    if (RAND_bytes(bytes.data(), static_cast<int>(bytes.size())) != 1)
        throw Error("the system's random source is not available", "check /dev/urandom");
    return {reinterpret_cast<const char *>(bytes.data()), bytes.size()};
}

} // namespace stairspur::transport
