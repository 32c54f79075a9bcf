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

/// What a gate does with a request.
enum class Standing {
    Clear,   ///< It runs as any other.
    OnTrial, ///< It runs alone: with no other one on trial at the same backend server.
    Refused, ///< Nothing of it is sent.
};

struct Judgement
{
    Standing standing = Standing::Clear;
    Duration retryAfter{0}; ///< When it may run again, for refused ones.
};

enum class QuarantineChange {
    OnTrial,
    Refused,
    Acquitted,
};

/// A request's standing has changed, for logs and counters.
struct QuarantineEvent
{
    QuarantineChange change = QuarantineChange::OnTrial;
    RequestFingerprint request;
    std::uint32_t crashes = 0;
    bool isOwn = false; ///< This node's gate saw what changed it; else a peer told.
};

/// A request that is on trial or refused, for operators.
struct QuarantineEntry
{
    RequestFingerprint request;
    std::uint32_t crashes = 0;
    Judgement judgement;
};

struct QuarantineDatagram
{
    NodeId to;
    std::string payload;
};

/// Which requests of one service end the backend servers that run them, as the gates of that service find out together.
///
/// A crash speaks against every request that ran there. All but one are innocent: they run elsewhere a moment later, and one
/// whole answer anywhere acquits. The guilty one is at each next crash; from the second on it runs alone, so that the third
/// finds it without company. Then it is refused by every gate of the service, whichever host it comes through. What a
/// node finds goes to its peers at once, and to those that were out of reach by comparing digests.
///
/// Pure: time, randomness and messages are handed in, datagrams and events are taken out.
class QuarantineState
{
public:
    QuarantineState(QuarantineSettings settings, std::uint64_t seed, TimePoint now);

    /// The other nodes whose backend servers belong to the same service.
    auto setPeers(std::vector<NodeId> peers) -> void { m_peers = std::move(peers); }

    /// This node's backend server has ended under these requests.
    auto didCrash(const std::vector<RequestFingerprint> &requests, TimePoint now) -> void;
    /// This node's backend server has answered the request whole.
    auto didAnswer(const RequestFingerprint &request, TimePoint now) -> void;
    /// An operator lets the request of this name run again. How many were on trial or refused under it.
    auto release(std::string_view name, TimePoint now) -> std::size_t;
    [[nodiscard]] auto judge(const RequestFingerprint &request, TimePoint now) const -> Judgement;

    /// A datagram of a peer. Throws InputError when it cannot be read.
    auto receive(const NodeId &from, std::string_view payload, TimePoint now) -> void;
    /// Does what is due. Call once a second, and at nextDue().
    auto tick(TimePoint now) -> void;
    [[nodiscard]] auto nextDue() const -> std::optional<TimePoint>;

    auto takeDatagrams() -> std::vector<QuarantineDatagram>;
    auto takeEvents() -> std::vector<QuarantineEvent>;

    /// What is known of one request, to be kept where it outlives all nodes.
    [[nodiscard]] auto save(const RequestFingerprint &request, TimePoint now) const -> std::string;
    /// Takes over what save() gave. Throws InputError when it cannot be read.
    auto restore(std::string_view saved, TimePoint now) -> void;

    /// Requests that are on trial or refused, by fingerprint.
    [[nodiscard]] auto entries(TimePoint now) const -> std::vector<QuarantineEntry>;
    [[nodiscard]] auto size() const -> std::size_t { return m_records.size(); }

private:
    auto takeCrash(const RequestFingerprint &request, CrashId crash, TimePoint now, bool isOwn)
            -> bool;
    auto takeItem(const Records::Item &item, TimePoint now) -> bool;
    auto acquit(const RequestFingerprint &request, CrashRecord &record, TimePoint now) -> bool;
    [[nodiscard]] auto wasJustAnswered(const RequestFingerprint &request, TimePoint now) const
            -> bool;
    auto noteStanding(const RequestFingerprint &request, std::uint32_t before, std::uint32_t after,
                      bool isOwn) -> void;
    auto receiveNews(CrashNews news, TimePoint now) -> void;
    auto receiveDigest(const NodeId &from, const Digest &digest, TimePoint now) -> void;
    auto receiveRecords(const NodeId &from, Records records, TimePoint now) -> void;
    auto sendDigest(TimePoint now) -> void;
    auto sendAnswers(TimePoint now) -> void;
    auto sendBinding(const NodeId &to, TimePoint now) -> void;
    auto sendNews(CrashId crash, std::vector<RequestFingerprint> requests) -> void;
    auto sendRecords(const std::vector<NodeId> &to, const Records &records,
                     std::size_t mostDatagrams) -> void;
    auto send(const std::vector<NodeId> &to, const Message &message) -> void;
    auto forget(TimePoint now) -> void;
    auto makeRoom() -> void;

    [[nodiscard]] auto isBinding(const CrashRecord &record) const -> bool;
    [[nodiscard]] auto ownsTrial(const RequestFingerprint &request) const -> bool;
    [[nodiscard]] auto digest() const -> std::uint64_t;
    [[nodiscard]] auto itemOf(const RequestFingerprint &request, const CrashRecord &record,
                              TimePoint now) const -> Records::Item;
    [[nodiscard]] auto knowsMoreThan(const Records::Item &item) const -> bool;
    auto somePeers() -> std::vector<NodeId>;
    [[nodiscard]] auto areAllPeersSome() const -> bool
    {
        return m_peers.size() <= m_settings.fanOut;
    }

    QuarantineSettings m_settings;
    Random m_random;
    std::vector<NodeId> m_peers;
    std::unordered_map<RequestFingerprint, CrashRecord> m_records;
    std::unordered_map<RequestFingerprint, TimePoint> m_recentAnswers; ///< Of this backend server.
    std::vector<RequestFingerprint> m_answered; ///< Acquitted here, and not yet told.
    std::optional<TimePoint> m_answersDue;
    TimePoint m_lastTick;
    TimePoint m_nextDigest;
    TimePoint m_catchUpUntil;
    std::vector<QuarantineDatagram> m_datagrams;
    std::vector<QuarantineEvent> m_events;
};

} // namespace stairspur::quarantine

template <>
inline constexpr auto stairspur::enumNames<stairspur::quarantine::Standing> =
        std::array<std::string_view, 3>{"clear", "on-trial", "refused"};

template <>
inline constexpr auto stairspur::enumNames<stairspur::quarantine::QuarantineChange> =
        std::array<std::string_view, 3>{"on-trial", "refused", "acquitted"};
