#pragma once

#include <cstdint>
#include <string>
#include <string_view>

#include <stairspur/core/EnumNames.h>
#include <stairspur/distribution/Digest.h>
#include <stairspur/distribution/CurrentConfiguration.h>

/// What nodes tell each other about configurations, in CBOR.
namespace stairspur::distribution {

enum class DatagramKind {
    CurrentVersion,      ///< "This version is in force here."
    ChangesRequest,       ///< "I have this version: what changed since?"
    Delta,     ///< What changed, when it fits.
    TooLarge,     ///< The answer to an ChangesRequest that does not fit: use a control request.
    Subscribe, ///< "Tell me under this number whenever you learn that a version is the newest."
    Confirm,   ///< The answers to a Subscribe.
};

/// That a version was the store's newest at a moment, told without trusting any clock of day: the moment is counted from when
/// the sender got the receiver's Subscribe, which the receiver knows to have sent before that.
struct Confirmation
{
    std::uint64_t subscription = 0; ///< The number that the Subscribe had.
    std::uint64_t version = 0;
    Duration sinceSubscription{0}; ///< May be negative: the proof was there before.
};

struct ConfigDatagram
{
    DatagramKind kind = DatagramKind::CurrentVersion;
    Digest digest;           ///< Of the sender.
    std::uint64_t since = 0; ///< For Delta: the version that the changes are based on.
    Changes changes;         ///< For Delta.
    /// For Confirm; of a Subscribe the number alone.
    Confirmation confirmation{};
};

auto encode(const ConfigDatagram &datagram) -> std::string;
/// Throws InputError.
auto decodeDatagram(std::string_view bytes) -> ConfigDatagram;

/// "What changed since `since` (0: everything), after the section `cursor`?"
struct PullRequest
{
    std::uint64_t since = 0;
    std::string cursor;
};

struct PullReply
{
    Digest digest; ///< Of the replying node, whose version this is; version 0: it has none.
    std::uint64_t since = 0; ///< 0 when the reply is a piece of the whole.
    ChangesPiece piece;
};

auto encode(const PullRequest &request) -> std::string;
auto encode(const PullReply &reply) -> std::string;
/// These throw InputError.
auto decodePullRequest(std::string_view bytes) -> PullRequest;
auto decodePullReply(std::string_view bytes) -> PullReply;

} // namespace stairspur::distribution

template <>
inline constexpr auto stairspur::enumNames<stairspur::distribution::DatagramKind> =
        std::array<std::string_view, 6>{"news", "ask", "delta", "large", "subscribe", "confirm"};
