#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include <stairspur/core/EnumNames.h>
#include <stairspur/core/Random.h>
#include <stairspur/core/Time.h>
#include <stairspur/quarantine/CrashRecord.h>
#include <stairspur/quarantine/Messages.h>
#include <stairspur/quarantine/QuarantineSettings.h>

namespace stairspur::quarantine {

/// Whether a gate lets a request run.
enum class QuarantineStatus {
    /// The request runs without restriction.
    Clear,
    /// The request runs while no other suspected request runs at the same backend server.
    Suspected,
    /// The request is not sent to a backend server.
    Refused,
};

/// What a gate does with a request.
struct QuarantineDecision
{
    QuarantineStatus status = QuarantineStatus::Clear;
    Duration retryAfter{0}; ///< Time after which a refused request may run again; otherwise zero.
};

/// Change of a request's status.
enum class QuarantineChange {
    Suspected,
    Refused,
    Cleared,
};

/// Reports a change of a request's status, for logs and for the store.
struct QuarantineEvent
{
    QuarantineChange change = QuarantineChange::Suspected;
    RequestFingerprint request;
    std::uint32_t crashes = 0;
    bool isLocal = false; ///< Whether this node's gate caused the change; otherwise, a peer did.
};

/// A request that is suspected or refused, for operators.
struct QuarantineEntry
{
    RequestFingerprint request;
    std::uint32_t crashes = 0;
    QuarantineDecision decision;
};

/// A message to a peer, to be sent as one datagram.
struct QuarantineDatagram
{
    NodeId to;
    std::string payload;
};

/// Finds the requests of one service that crash the backend servers which run them, together with the other gates of the
/// service.
///
/// A crash is recorded for every request that was running at the server. All but one of them did not cause it: they run at
/// another server shortly after, and one complete response at any server clears them. The request that causes crashes is
/// running at each further crash. From the second crash on it is suspected and runs without another suspected request at the
/// same server, so that the third crash identifies it. Every gate of the service then refuses it, whichever host it comes
/// through. A node sends each change to its peers at once; peers that could not be reached receive it by comparing digests.
///
/// The class does no I/O: time, randomness and received messages are parameters; the caller takes datagrams and events.
class QuarantineState
{
public:
    /// Seeds the random choices with `seed`; `now` is the time of the start.
    QuarantineState(QuarantineSettings settings, std::uint64_t seed, TimePoint now);

    /// Sets the other nodes whose backend servers belong to the same service.
    auto setPeers(std::vector<NodeId> peers) -> void { m_peers = std::move(peers); }

    /// Records that this node's backend server crashed while these requests were running.
    auto didCrash(const std::vector<RequestFingerprint> &requests, TimePoint now) -> void;
    /// Records that this node's backend server sent a complete response to the request.
    auto didAnswer(const RequestFingerprint &request, TimePoint now) -> void;
    /// Clears all suspected or refused requests of this name on behalf of an operator. Returns their number.
    auto release(std::string_view name, TimePoint now) -> std::size_t;
    /// Returns what the gate does with the request now.
    [[nodiscard]] auto decide(const RequestFingerprint &request, TimePoint now) const
            -> QuarantineDecision;

    /// Processes a datagram of a peer. Throws InputError if it is not a valid message.
    auto receive(const NodeId &from, std::string_view payload, TimePoint now) -> void;
    /// Removes expired records and sends what is due. To be called once a second and at nextDue().
    auto tick(TimePoint now) -> void;
    /// Returns the time at which tick() has to be called, if that may be earlier than a second after the last call.
    [[nodiscard]] auto nextDue() const -> std::optional<TimePoint>;

    /// Returns the datagrams to be sent, and removes them.
    auto takeDatagrams() -> std::vector<QuarantineDatagram>;
    /// Returns the events since the last call, and removes them.
    auto takeEvents() -> std::vector<QuarantineEvent>;

    /// Returns the encoded record of one request, for a store that outlives a restart of all nodes.
    [[nodiscard]] auto save(const RequestFingerprint &request, TimePoint now) const -> std::string;
    /// Merges records that save() returned. Throws InputError if `saved` is not a valid message.
    auto restore(std::string_view saved, TimePoint now) -> void;

    /// Returns the requests that are suspected or refused, sorted by fingerprint.
    [[nodiscard]] auto entries(TimePoint now) const -> std::vector<QuarantineEntry>;
    /// Returns the number of requests that are recorded.
    [[nodiscard]] auto size() const -> std::size_t { return m_records.size(); }

private:
    auto recordCrash(const RequestFingerprint &request, CrashId crash, TimePoint now, bool isLocal)
            -> bool;
    auto mergeItem(const Records::Item &item, TimePoint now) -> bool;
    auto clearRequest(const RequestFingerprint &request, CrashRecord &record, TimePoint now)
            -> bool;
    [[nodiscard]] auto wasRecentlyAnswered(const RequestFingerprint &request, TimePoint now) const
            -> bool;
    auto reportChange(const RequestFingerprint &request, std::uint32_t before, std::uint32_t after,
                      bool isLocal) -> void;
    auto receiveCrashReport(CrashReport report, TimePoint now) -> void;
    auto receiveDigest(const NodeId &from, const Digest &digest, TimePoint now) -> void;
    auto receiveRecords(const NodeId &from, Records records, TimePoint now) -> void;
    auto sendDigest(TimePoint now) -> void;
    auto sendClearances(TimePoint now) -> void;
    auto sendRestricted(const NodeId &to, TimePoint now) -> void;
    auto sendCrashReport(CrashId crash, std::vector<RequestFingerprint> requests) -> void;
    auto sendRecords(const std::vector<NodeId> &to, const Records &records,
                     std::size_t maxDatagrams) -> void;
    auto send(const std::vector<NodeId> &to, const Message &message) -> void;
    auto removeExpired(TimePoint now) -> void;
    auto removeSurplus() -> void;

    /// Returns whether the request is suspected or refused.
    [[nodiscard]] auto isRestricted(const CrashRecord &record) const -> bool;
    [[nodiscard]] auto isChosenToRetry(const RequestFingerprint &request) const -> bool;
    [[nodiscard]] auto digest() const -> std::uint64_t;
    [[nodiscard]] auto itemOf(const RequestFingerprint &request, const CrashRecord &record,
                              TimePoint now) const -> Records::Item;
    /// Returns whether the record of the item's request has a crash, or a clearance, that the item lacks.
    [[nodiscard]] auto hasMoreThan(const Records::Item &item) const -> bool;
    /// Returns the peers to which a change is sent: all of them, or a random sample of fanOut.
    auto pickPeers() -> std::vector<NodeId>;
    [[nodiscard]] auto picksAllPeers() const -> bool { return m_peers.size() <= m_settings.fanOut; }

    QuarantineSettings m_settings;
    Random m_random;
    std::vector<NodeId> m_peers;
    std::unordered_map<RequestFingerprint, CrashRecord> m_records;
    /// Times of the latest complete responses of this backend server.
    std::unordered_map<RequestFingerprint, TimePoint> m_recentAnswers;
    std::vector<RequestFingerprint> m_unsentClearances; ///< Cleared here, and not yet sent.
    std::optional<TimePoint> m_clearancesDue;
    TimePoint m_lastTick;
    TimePoint m_nextDigest;
    TimePoint m_catchUpUntil;
    std::vector<QuarantineDatagram> m_datagrams;
    std::vector<QuarantineEvent> m_events;
};

} // namespace stairspur::quarantine

template <>
inline constexpr auto stairspur::enumNames<stairspur::quarantine::QuarantineStatus> =
        std::array<std::string_view, 3>{"clear", "on-trial", "refused"};

template <>
inline constexpr auto stairspur::enumNames<stairspur::quarantine::QuarantineChange> =
        std::array<std::string_view, 3>{"on-trial", "refused", "acquitted"};
