#include <stairspur/quarantine/QuarantineState.h>

#include <algorithm>
#include <tuple>
#include <utility>

#include <stairspur/core/Hash.h>

namespace stairspur::quarantine {

/// Retry delay of a refused request after its refusal time, on all nodes but the one that runs it again.
static constexpr auto OtherNodeRetryAfter = Duration{1'000'000};

QuarantineState::QuarantineState(QuarantineSettings settings, std::uint64_t seed, TimePoint now)
    : m_settings(std::move(settings))
    , m_random(seed)
    , m_lastTick(now)
    , m_nextDigest(now)
    , m_catchUpUntil(now + m_settings.catchUpTime)
{}

auto QuarantineState::didCrash(const std::vector<RequestFingerprint> &requests, TimePoint now)
        -> void
{
    const auto crash = CrashId{m_random()};
    auto suspects = std::vector<RequestFingerprint>();
    for (const auto &it : requests) {
        if (wasRecentlyAnswered(it, now))
            continue;
        recordCrash(it, crash, now, true);
        suspects.push_back(it);
    }
    sendCrashReport(crash, std::move(suspects));
    removeSurplus();
}

auto QuarantineState::recordCrash(const RequestFingerprint &request, CrashId crash, TimePoint now,
                                  bool isLocal) -> bool
{
    auto &record = m_records[request];
    const auto before = record.unclearedCount();
    record.didCrashAt(now);
    if (!record.add({crash, false}, m_settings.maxCrashesPerRequest))
        return false;
    reportChange(request, before, record.unclearedCount(), isLocal);
    return true;
}

auto QuarantineState::reportChange(const RequestFingerprint &request, std::uint32_t before,
                                   std::uint32_t after, bool isLocal) -> void
{
    const auto crosses = [&](std::uint32_t limit) { return before < limit && after >= limit; };
    if (crosses(m_settings.refuseThreshold)
        || (after > before && before >= m_settings.refuseThreshold))
        m_events.push_back({QuarantineChange::Refused, request, after, isLocal});
    else if (crosses(m_settings.suspectThreshold))
        m_events.push_back({QuarantineChange::Suspected, request, after, isLocal});
    else if (before >= m_settings.suspectThreshold && after < m_settings.suspectThreshold)
        m_events.push_back({QuarantineChange::Cleared, request, before, isLocal});
}

auto QuarantineState::didAnswer(const RequestFingerprint &request, TimePoint now) -> void
{
    if (m_recentAnswers.size() >= m_settings.maxRecords)
        m_recentAnswers.clear();
    m_recentAnswers.insert_or_assign(request, now);
    if (m_records.empty())
        return;
    const auto it = m_records.find(request);
    if (it != m_records.end())
        clearRequest(request, it->second, now);
}

auto QuarantineState::wasRecentlyAnswered(const RequestFingerprint &request, TimePoint now) const
        -> bool
{
    const auto it = m_recentAnswers.find(request);
    return it != m_recentAnswers.end() && now - it->second < m_settings.recentAnswerTime;
}

auto QuarantineState::release(std::string_view name, TimePoint now) -> std::size_t
{
    auto released = std::size_t{0};
    for (auto &[request, record] : m_records) {
        const auto isSelected = isRestricted(record) && request.name() == name;
        if (isSelected && clearRequest(request, record, now))
            ++released;
    }
    return released;
}

auto QuarantineState::clearRequest(const RequestFingerprint &request, CrashRecord &record,
                                   TimePoint now) -> bool
{
    const auto before = record.unclearedCount();
    if (!record.markCleared())
        return false;
    reportChange(request, before, 0, true);
    m_unsentClearances.push_back(request);
    if (!m_clearancesDue)
        m_clearancesDue = now + m_settings.clearanceDelay;
    // The other nodes refuse or delay the request until they receive this.
    if (before >= m_settings.suspectThreshold)
        sendClearances(now);
    return true;
}

auto QuarantineState::decide(const RequestFingerprint &request, TimePoint now) const
        -> QuarantineDecision
{
    if (m_records.empty())
        return {};
    const auto it = m_records.find(request);
    if (it == m_records.end() || !isRestricted(it->second))
        return {};
    const auto n = it->second.unclearedCount();
    if (n < m_settings.refuseThreshold)
        return {QuarantineStatus::Suspected, Duration::zero()};
    const auto until = it->second.lastCrash() + m_settings.refusalTimeAfter(n);
    if (now < until)
        return {QuarantineStatus::Refused, until - now};
    // Only one node runs the request again: if all did, each could lose a backend server.
    if (isChosenToRetry(request))
        return {QuarantineStatus::Suspected, Duration::zero()};
    return {QuarantineStatus::Refused, OtherNodeRetryAfter};
}

auto QuarantineState::isRestricted(const CrashRecord &record) const -> bool
{
    return record.unclearedCount() >= m_settings.suspectThreshold;
}

/// Returns whether this node is the one that runs a refused request again. It has the highest random weight (Thaler and
/// Ravishankar, 1998), so that nodes with the same peers choose the same node.
auto QuarantineState::isChosenToRetry(const RequestFingerprint &request) const -> bool
{
    const auto weight = [&](const NodeId &node) { return hash64(node, request.low); };
    const auto own = weight(m_settings.node);
    return std::none_of(m_peers.begin(), m_peers.end(),
                        [&](const auto &it) { return weight(it) > own; });
}

auto QuarantineState::receive(const NodeId &from, std::string_view payload, TimePoint now) -> void
{
    auto message = readMessage(payload);
    if (auto *report = std::get_if<CrashReport>(&message))
        receiveCrashReport(std::move(*report), now);
    else if (const auto *digest = std::get_if<Digest>(&message))
        receiveDigest(from, *digest, now);
    else if (auto *records = std::get_if<Records>(&message))
        receiveRecords(from, std::move(*records), now);
    removeSurplus();
}

auto QuarantineState::receiveCrashReport(CrashReport report, TimePoint now) -> void
{
    auto hasChanged = false;
    for (const auto &it : report.requests) {
        hasChanged = recordCrash(it, report.crash, now, false) || hasChanged;
        if (wasRecentlyAnswered(it, now))
            clearRequest(it, m_records.at(it), now);
    }
    if (hasChanged && report.shouldForward)
        send(pickPeers(), report);
}

auto QuarantineState::receiveDigest(const NodeId &from, const Digest &digest, TimePoint now) -> void
{
    const auto own = this->digest();
    if (own == digest.hash)
        return;
    sendRestricted(from, now);
    if (!digest.isReply)
        send({from}, Digest{own, true});
}

auto QuarantineState::receiveRecords(const NodeId &from, Records records, TimePoint now) -> void
{
    auto hasChanged = false;
    auto missing = Records();
    for (const auto &it : records.items) {
        hasChanged = mergeItem(it, now) || hasChanged;
        if (hasMoreThan(it))
            missing.items.push_back(itemOf(it.request, m_records.at(it.request), now));
    }
    sendRecords({from}, missing, m_settings.maxDatagramsPerDigest);
    if (hasChanged && records.shouldForward)
        send(pickPeers(), records);
}

auto QuarantineState::mergeItem(const Records::Item &item, TimePoint now) -> bool
{
    if (item.age >= 2 * m_settings.maxRefusalTime)
        return false;
    auto &record = m_records[item.request];
    const auto before = record.unclearedCount();
    auto hasChanged = false;
    for (const auto &it : item.crashes)
        hasChanged = record.add(it, m_settings.maxCrashesPerRequest) || hasChanged;
    record.didCrashAt(now - item.age);
    reportChange(item.request, before, record.unclearedCount(), false);
    return hasChanged;
}

auto QuarantineState::hasMoreThan(const Records::Item &item) const -> bool
{
    const auto it = m_records.find(item.request);
    if (it == m_records.end())
        return false;
    const auto &recorded = it->second.crashes();
    return std::any_of(recorded.begin(), recorded.end(), [&item](const auto &own) {
        return std::none_of(item.crashes.begin(), item.crashes.end(), [&own](const auto &received) {
            return received.id == own.id && received.isCleared == own.isCleared;
        });
    });
}

auto QuarantineState::tick(TimePoint now) -> void
{
    if (now - m_lastTick > m_settings.maxTickGap)
        m_catchUpUntil = now + m_settings.catchUpTime;
    m_lastTick = now;
    removeExpired(now);
    std::erase_if(m_recentAnswers,
                  [&](const auto &it) { return now - it.second >= m_settings.recentAnswerTime; });
    if (m_clearancesDue && now >= *m_clearancesDue)
        sendClearances(now);
    if (now >= m_nextDigest)
        sendDigest(now);
}

auto QuarantineState::nextDue() const -> std::optional<TimePoint>
{
    if (m_lastTick >= m_catchUpUntil)
        return m_clearancesDue;
    return std::min(m_clearancesDue.value_or(m_nextDigest), m_nextDigest);
}

auto QuarantineState::sendDigest(TimePoint now) -> void
{
    const auto isCatchingUp = now < m_catchUpUntil;
    m_nextDigest = now + (isCatchingUp ? m_settings.catchUpInterval : m_settings.digestInterval);
    const auto own = digest();
    if (m_peers.empty() || (own == 0 && !isCatchingUp))
        return;
    send({m_peers[randomBelow(m_random, m_peers.size())]}, Digest{own, false});
}

auto QuarantineState::sendClearances(TimePoint now) -> void
{
    auto clearances = Records{!picksAllPeers(), {}};
    for (const auto &it : std::exchange(m_unsentClearances, {})) {
        const auto record = m_records.find(it);
        if (record != m_records.end())
            clearances.items.push_back(itemOf(it, record->second, now));
    }
    m_clearancesDue.reset();
    sendRecords(pickPeers(), clearances, clearances.items.size());
}

/// Sends the suspected and refused requests, those with the most crashes first, because the datagrams may not hold all.
auto QuarantineState::sendRestricted(const NodeId &to, TimePoint now) -> void
{
    auto restricted = std::vector<std::pair<std::uint32_t, Records::Item>>();
    for (const auto &[request, record] : m_records) {
        if (isRestricted(record))
            restricted.emplace_back(record.unclearedCount(), itemOf(request, record, now));
    }
    std::sort(restricted.begin(), restricted.end(), [](const auto &a, const auto &b) {
        return std::tie(b.first, a.second.request) < std::tie(a.first, b.second.request);
    });
    auto records = Records();
    for (auto &it : restricted)
        records.items.push_back(std::move(it.second));
    sendRecords({to}, records, m_settings.maxDatagramsPerDigest);
}

auto QuarantineState::sendCrashReport(CrashId crash, std::vector<RequestFingerprint> requests)
        -> void
{
    const auto peers = pickPeers();
    const auto report = CrashReport{crash, !picksAllPeers(), std::move(requests)};
    for (const auto &it : splitCrashReport(report, m_settings.maxPayloadBytes))
        send(peers, it);
}

auto QuarantineState::sendRecords(const std::vector<NodeId> &to, const Records &records,
                                  std::size_t maxDatagrams) -> void
{
    auto parts = splitRecords(records, m_settings.maxPayloadBytes);
    parts.resize(std::min(parts.size(), maxDatagrams));
    for (const auto &it : parts)
        send(to, it);
}

auto QuarantineState::send(const std::vector<NodeId> &to, const Message &message) -> void
{
    if (to.empty())
        return;
    const auto payload = writeMessage(message);
    for (const auto &it : to)
        m_datagrams.push_back({it, payload});
}

auto QuarantineState::pickPeers() -> std::vector<NodeId>
{
    if (picksAllPeers())
        return m_peers;
    auto some = std::vector<NodeId>();
    std::sample(m_peers.begin(), m_peers.end(), std::back_inserter(some), m_settings.fanOut,
                m_random);
    return some;
}

auto QuarantineState::digest() const -> std::uint64_t
{
    auto all = std::uint64_t{0};
    for (const auto &[request, record] : m_records) {
        if (isRestricted(record))
            all ^= record.hash(request);
    }
    return all;
}

auto QuarantineState::itemOf(const RequestFingerprint &request, const CrashRecord &record,
                             TimePoint now) const -> Records::Item
{
    return {request, record.crashes(), std::max(Duration::zero(), now - record.lastCrash())};
}

auto QuarantineState::removeExpired(TimePoint now) -> void
{
    std::erase_if(m_records, [&](const auto &it) {
        const auto &record = it.second;
        const auto isRefused = record.unclearedCount() >= m_settings.refuseThreshold;
        // A refused request is recorded beyond the time of its refusal, because it may run again then. If its crashes were
        // removed by that time, more servers would have to crash before it is refused again.
        const auto lifetime = isRefused ? 2 * m_settings.refusalTimeAfter(record.unclearedCount())
                                        : m_settings.suspicionTime;
        return now - record.lastCrash() >= lifetime;
    });
}

/// Removes surplus records: those with the fewest crashes and, among these, those with the oldest crash.
auto QuarantineState::removeSurplus() -> void
{
    if (m_records.size() <= m_settings.maxRecords)
        return;
    auto ranks = std::vector<std::tuple<std::uint32_t, TimePoint, RequestFingerprint>>();
    for (const auto &[request, record] : m_records)
        ranks.emplace_back(record.unclearedCount(), record.lastCrash(), request);
    const auto excess = static_cast<std::ptrdiff_t>(m_records.size() - m_settings.maxRecords);
    std::nth_element(ranks.begin(), ranks.begin() + excess, ranks.end());
    for (auto it = ranks.begin(); it != ranks.begin() + excess; ++it)
        m_records.erase(std::get<RequestFingerprint>(*it));
}

auto QuarantineState::takeDatagrams() -> std::vector<QuarantineDatagram>
{
    return std::exchange(m_datagrams, {});
}

auto QuarantineState::takeEvents() -> std::vector<QuarantineEvent>
{
    return std::exchange(m_events, {});
}

auto QuarantineState::save(const RequestFingerprint &request, TimePoint now) const -> std::string
{
    auto records = Records();
    const auto it = m_records.find(request);
    if (it != m_records.end())
        records.items.push_back(itemOf(request, it->second, now));
    return writeMessage(records);
}

auto QuarantineState::restore(std::string_view saved, TimePoint now) -> void
{
    const auto message = readMessage(saved);
    if (const auto *records = std::get_if<Records>(&message)) {
        for (const auto &it : records->items)
            mergeItem(it, now);
    }
    removeSurplus();
}

auto QuarantineState::entries(TimePoint now) const -> std::vector<QuarantineEntry>
{
    auto found = std::vector<QuarantineEntry>();
    for (const auto &[request, record] : m_records) {
        if (isRestricted(record))
            found.push_back({request, record.unclearedCount(), decide(request, now)});
    }
    std::sort(found.begin(), found.end(),
              [](const auto &a, const auto &b) { return a.request < b.request; });
    return found;
}

} // namespace stairspur::quarantine
