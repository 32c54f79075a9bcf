#pragma once

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

#include <stairspur/core/EnumNames.h>
#include <stairspur/core/Identifiers.h>
#include <stairspur/core/Time.h>
#include <stairspur/distribution/Digest.h>

/// What the distribution's state machine asks its surroundings to do.
namespace stairspur::distribution {

struct SendDatagram
{
    NodeId to;
    std::string payload;
};

/// A control request; didReceiveReply() or didFailRequest() follows under the same id.
struct SendRequest
{
    std::uint64_t id = 0;
    NodeId to;
    std::string payload;
    Duration timeout{0};
};

/// didReadHead() or didFailToReadHead() follows.
struct ReadHead
{};

/// Watch the head from where the last watch ended: didWatchHead() for each message, didEndWatch() at the end.
struct OpenWatch
{};

/// Cancel the watch; didEndWatch() follows.
struct CloseWatch
{};

/// didReadSections() or didFailToReadSections() follows.
struct ReadSections
{
    std::vector<std::string> hashes; ///< Empty: everything under the prefix of sections.
};

/// How a node came by a configuration.
enum class ConfigurationSource {
    Watch, ///< A message of its watch of the store.
    Read,  ///< Its own read of the store.
    Delta, ///< A peer's datagram.
    Pull,  ///< A peer's reply to a control request.
};

/// Another configuration is in force: hand it to the node.
struct Publish
{
    ConfigurationSource source = ConfigurationSource::Read;
    NodeId from; ///< Empty: the store.
};

enum class AlarmKind {
    TwoHashes,   ///< Two configurations bear one version. The first is kept.
    StoreBehind, ///< The store's head is older than what is in force: it was emptied or restored.
};

struct Alarm
{
    AlarmKind kind = AlarmKind::TwoHashes;
    Digest kept;
    Digest seen;
    std::string from; ///< A node, or "store".
};

using Action = std::variant<SendDatagram, SendRequest, ReadHead, OpenWatch, CloseWatch,
                            ReadSections, Publish, Alarm>;

/// Counts since the start; bytes are payloads.
struct DistributionCounters
{
    std::uint64_t adoptions = 0;
    std::uint64_t datagramsSent = 0;
    std::uint64_t datagramBytesSent = 0;
    std::uint64_t datagramBytesReceived = 0;
    std::uint64_t requestsSent = 0;
    std::uint64_t requestBytesSent = 0;
    std::uint64_t requestBytesReceived = 0;
    std::uint64_t wholeLoads = 0;     ///< Whole sets taken in, in place of changes.
    std::uint64_t failedFetches = 0;  ///< From peers: timeouts, and peers with nothing newer.
    std::uint64_t rejectedHashes = 0; ///< Sections that did not add up to the hash that was told.
    std::uint64_t malformed = 0;
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
