#pragma once

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

#include <stairspur/core/EnumNames.h>
#include <stairspur/core/Identifiers.h>
#include <stairspur/core/Time.h>
#include <stairspur/distribution/Digest.h>

/// Actions that the distribution's state machine requests from its surroundings.
namespace stairspur::distribution {

/// Sends a datagram to another node.
struct SendDatagram
{
    NodeId to;
    std::string payload;
};

/// Sends a control request; didReceiveReply() or didFailRequest() follows with the same id.
struct SendRequest
{
    std::uint64_t id = 0;
    NodeId to;
    std::string payload;
    Duration timeout{0};
};

/// Reads the store's head; didReadHead() or didFailToReadHead() follows.
struct ReadHead
{};

/// Watches the head from where the last watch ended. didWatchHead() follows for each message, didEndWatch() at the end.
struct OpenWatch
{};

/// Cancels the watch; didEndWatch() follows.
struct CloseWatch
{};

/// Reads sections from the store; didReadSections() or didFailToReadSections() follows.
struct ReadSections
{
    std::vector<std::string>
            hashes; ///< Hashes of the sections; empty for all values under their prefix.
};

/// How a node received a configuration.
enum class ConfigurationSource {
    Watch, ///< By a message of its watch of the store.
    Read,  ///< By its own read of the store.
    Delta, ///< By a peer's datagram.
    Pull,  ///< By a peer's reply to a control request.
};

/// Publishes a configuration that has come into force to the node.
struct Publish
{
    ConfigurationSource source = ConfigurationSource::Read;
    NodeId from; ///< Node that sent the configuration; empty for the store.
};

/// Why an operator has to look at the store.
enum class AlarmKind {
    TwoHashes, ///< Two configurations have the same version. The first one stays in force.
    StoreBehind, ///< The store's head is older than the version in force: the store was emptied or restored.
};

/// Reports a conflict between the configuration in force and another one that was seen.
struct Alarm
{
    AlarmKind kind = AlarmKind::TwoHashes;
    Digest kept;      ///< Digest of the configuration in force.
    Digest seen;      ///< Digest of the conflicting configuration.
    std::string from; ///< Node that sent `seen`, or "store".
};

using Action = std::variant<SendDatagram, SendRequest, ReadHead, OpenWatch, CloseWatch,
                            ReadSections, Publish, Alarm>;

/// Counts since the start of the process. Bytes are bytes of payload.
struct DistributionCounters
{
    std::uint64_t adoptions = 0;
    std::uint64_t datagramsSent = 0;
    std::uint64_t datagramBytesSent = 0;
    std::uint64_t datagramBytesReceived = 0;
    std::uint64_t requestsSent = 0;
    std::uint64_t requestBytesSent = 0;
    std::uint64_t requestBytesReceived = 0;
    std::uint64_t wholeLoads = 0;     ///< Loads of all sections instead of the changed ones.
    std::uint64_t failedFetches = 0;  ///< Fetches from peers that timed out or found nothing newer.
    std::uint64_t rejectedHashes = 0; ///< Sets of sections that do not match the announced hash.
    std::uint64_t malformed = 0;      ///< Messages that could not be decoded.
    std::uint64_t alarms = 0;
    std::uint64_t headReads = 0;
    std::uint64_t sectionReads = 0;
};

} // namespace stairspur::distribution

template <>
inline constexpr auto stairspur::enumNames<stairspur::distribution::ConfigurationSource> =
        std::array<std::string_view, 4>{"watch", "read", "delta", "pull"};

template <>
inline constexpr auto stairspur::enumNames<stairspur::distribution::AlarmKind> =
        std::array<std::string_view, 2>{"two-hashes", "store-behind"};
