#pragma once

#include <cstdint>
#include <string>
#include <string_view>

#include <stairspur/core/EnumNames.h>
#include <stairspur/distribution/CurrentConfiguration.h>
#include <stairspur/distribution/Digest.h>

/// Messages about configurations between nodes, in CBOR.
namespace stairspur::distribution {

/// Kinds of datagrams.
enum class DatagramKind {
    CurrentVersion, ///< Announces the version in force on the sender.
    ChangesRequest, ///< Requests the changes since the sender's version.
    Delta,          ///< Contains the changes if they fit into a datagram.
    TooLarge, ///< Answers a ChangesRequest whose changes do not fit; a control request can read them.
    Subscribe, ///< Requests a Confirm with this number for each proof that a version is the newest.
    Confirm,   ///< Answers a Subscribe.
};

/// Confirms that a version was the store's newest at a moment. No wall clocks are compared: the moment is relative to the
/// time at which the sender received the receiver's Subscribe, which is after the receiver sent it.
struct Confirmation
{
    std::uint64_t subscription = 0; ///< Number of the Subscribe.
    std::uint64_t version = 0;
    Duration sinceSubscription{
            0}; ///< Time of the proof after the Subscribe; negative for an earlier proof.
};

/// A datagram of the distribution.
struct ConfigDatagram
{
    DatagramKind kind = DatagramKind::CurrentVersion;
    Digest digest;           ///< Digest of the sender's configuration.
    std::uint64_t since = 0; ///< Version that the changes of a Delta are based on.
    Changes changes;         ///< Changes of a Delta.
    /// Content of a Confirm; a Subscribe uses only the number.
    Confirmation confirmation{};
};

auto encode(const ConfigDatagram &datagram) -> std::string;
/// Decodes a datagram. Throws InputError when it is malformed.
auto decodeDatagram(std::string_view bytes) -> ConfigDatagram;

/// Requests the changes since the version `since` (0 for all sections) after the section `cursor`.
struct PullRequest
{
    std::uint64_t since = 0;
    std::string cursor;
};

/// The reply to a PullRequest.
struct PullReply
{
    Digest digest; ///< Digest of the replying node's configuration; version 0 if it has none.
    std::uint64_t since =
            0; ///< Version that the changes are based on; 0 for a piece of all sections.
    ChangesPiece piece;
};

auto encode(const PullRequest &request) -> std::string;
auto encode(const PullReply &reply) -> std::string;
/// Decode a request and a reply. Both throw InputError when `bytes` is malformed.
auto decodePullRequest(std::string_view bytes) -> PullRequest;
auto decodePullReply(std::string_view bytes) -> PullReply;

} // namespace stairspur::distribution

template <>
inline constexpr auto stairspur::enumNames<stairspur::distribution::DatagramKind> =
        std::array<std::string_view, 6>{"news", "ask", "delta", "large", "subscribe", "confirm"};
