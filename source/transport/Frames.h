#pragma once

#include <cstdint>
#include <string>
#include <string_view>

#include <stairspur/core/EnumNames.h>
#include <stairspur/core/Identifiers.h>

/// The frames of a peer link: one CBOR array in one binary websocket message each.
namespace stairspur::transport {

/// Greater versions may add kinds and append items to arrays, which older readers pass over.
inline constexpr auto ProtocolVersion = std::uint64_t{1};

enum class FrameKind {
    Hello,   ///< [0, version, node, nonce]: from each end, at once.
    Proof,   ///< [1, HMAC]: that the sender knows the secret; calls follow only then.
    Call,    ///< [2, id, body length, hash, fields, first piece]
    Answer,  ///< [3, …]: like Call, under the id of the call.
    Request, ///< [4, …]: a control request.
    Reply,   ///< [5, …]: under the id of the request.
    Data,    ///< [6, id, piece]: the next piece of the body that the sender began under that id.
    Cancel,  ///< [7, id]: nobody waits for the answer any more.
};

} // namespace stairspur::transport

template <>
inline constexpr auto stairspur::enumNames<stairspur::transport::FrameKind> =
        std::array<std::string_view, 8>{"hello",   "proof", "call", "answer",
                                        "request", "reply", "data", "cancel"};

namespace stairspur::transport {

/// Any frame; which members mean something depends on its kind. Views point into the bytes it was read from.
struct Frame
{
    FrameKind kind = FrameKind::Hello;
    std::uint64_t version = 0;
    std::string_view node;
    std::string_view proof; ///< The nonce of a Hello, the HMAC of a Proof.
    CallId id = 0;
    std::uint64_t bodyLength = 0;
    std::uint64_t hash = 0;
    std::string_view fields; ///< What the message says besides its body: CBOR of its own.
    std::string_view piece;
};

auto writeHello(std::string_view node, std::string_view nonce) -> std::string;
auto writeProof(std::string_view proof) -> std::string;
auto writeHead(FrameKind kind, CallId id, std::uint64_t bodyLength, std::uint64_t hash,
               std::string_view fields, std::string_view piece) -> std::string;
auto writeData(CallId id, std::string_view piece) -> std::string;
auto writeCancel(CallId id) -> std::string;

/// Throws InputError when `bytes` are not one whole frame of a known kind.
auto readFrame(std::string_view bytes) -> Frame;

/// The hash of a whole message. It covers the id and the fields too, so that no part of one message passes for another's.
auto hashMessage(CallId id, std::string_view fields, std::string_view body) -> std::uint64_t;

/// What an end of a link sends to show that it knows the secret: an HMAC (RFC 2104, SHA-256) over both ends' ids and
/// nonces and over its own role, so that it cannot be replayed or sent back. Empty when there is no secret.
struct ProofInput
{
    std::string_view role;
    std::string_view ownNode;
    std::string_view ownNonce;
    std::string_view farNode;
    std::string_view farNonce;
};
auto makeProof(std::string_view secret, const ProofInput &input) -> std::string;

/// HMAC with SHA-256.
auto hmac(std::string_view secret, std::string_view bytes) -> std::string;

/// Bytes from the system's random source that nobody can foretell.
auto makeNonce() -> std::string;

} // namespace stairspur::transport
