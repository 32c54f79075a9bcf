#include <stairspur/quarantine/QuarantineState.h>

#include <algorithm>
#include <tuple>
#include <utility>

#include <stairspur/core/Hash.h>

namespace stairspur::quarantine {

/// When to come back for the one node that may try the request again.
static constexpr auto TrialRetryAfter = Duration{1'000'000};

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
        if (wasJustAnswered(it, now))
            continue;
        takeCrash(it, crash, now, true);
        suspects.push_back(it);
    }
    sendNews(crash, std::move(suspects));
    makeRoom();
}

auto QuarantineState::takeCrash(const RequestFingerprint &request, CrashId crash, TimePoint now,
                                bool isOwn) -> bool
{
    auto &record = m_records[request];
    const auto before = record.count();
    record.didCrashAt(now);
    if (!record.add({crash, false}, m_settings.mostCrashesOfOne))
        return false;
    noteStanding(request, before, record.count(), isOwn);
    return true;
}

auto QuarantineState::noteStanding(const RequestFingerprint &request, std::uint32_t before,
                                   std::uint32_t after, bool isOwn) -> void
{
    const auto crosses = [&](std::uint32_t limit) { return before < limit && after >= limit; };
    if (crosses(m_settings.crashesToRefuse)
        || (after > before && before >= m_settings.crashesToRefuse))
        m_events.push_back({QuarantineChange::Refused, request, after, isOwn});
    else if (crosses(m_settings.crashesToTrial))
        m_events.push_back({QuarantineChange::OnTrial, request, after, isOwn});
    else if (before >= m_settings.crashesToTrial && after < m_settings.crashesToTrial)
        m_events.push_back({QuarantineChange::Acquitted, request, before, isOwn});
}

auto QuarantineState::didAnswer(const RequestFingerprint &request, TimePoint now) -> void
{
    if (m_recentAnswers.size() >= m_settings.mostRecords)
        m_recentAnswers.clear();
    m_recentAnswers.insert_or_assign(request, now);
    if (m_records.empty())
        return;
    const auto it = m_records.find(request);
    if (it != m_records.end())
        acquit(request, it->second, now);
}

auto QuarantineState::wasJustAnswered(const RequestFingerprint &request, TimePoint now) const
        -> bool
{
    const auto it = m_recentAnswers.find(request);
    return it != m_recentAnswers.end() && now - it->second < m_settings.answerMemory;
}

auto QuarantineState::release(std::string_view name, TimePoint now) -> std::size_t
{
    auto released = std::size_t{0};
    for (auto &[request, record] : m_records) {
        const auto isMeant = isBinding(record) && request.name() == name;
        if (isMeant && acquit(request, record, now))
            ++released;
    }
    return released;
}

auto QuarantineState::acquit(const RequestFingerprint &request, CrashRecord &record, TimePoint now)
        -> bool
{
    const auto before = record.count();
    if (!record.acquit())
        return false;
    noteStanding(request, before, 0, true);
    m_answered.push_back(request);
    if (!m_answersDue)
        m_answersDue = now + m_settings.answersPause;
    // Until the others know, they refuse it, or hold it back.
    if (before >= m_settings.crashesToTrial)
        sendAnswers(now);
    return true;
}

auto QuarantineState::judge(const RequestFingerprint &request, TimePoint now) const -> Judgement
{
    if (m_records.empty())
        return {};
    const auto it = m_records.find(request);
    if (it == m_records.end() || !isBinding(it->second))
        return {};
    const auto n = it->second.count();
    if (n < m_settings.crashesToRefuse)
        return {Standing::OnTrial, Duration::zero()};
    const auto until = it->second.lastCrash() + m_settings.holdAfter(n);
    if (now < until)
        return {Standing::Refused, until - now};
    // One node tries it: all of them at once would lose a backend server each.
    if (ownsTrial(request))
        return {Standing::OnTrial, Duration::zero()};
    return {Standing::Refused, TrialRetryAfter};
}

auto QuarantineState::isBinding(const CrashRecord &record) const -> bool
{
    return record.count() >= m_settings.crashesToTrial;
}

/// Highest random weight (Thaler and Ravishankar, 1998): nodes that know the same peers name the same one.
auto QuarantineState::ownsTrial(const RequestFingerprint &request) const -> bool
{
    const auto weight = [&](const NodeId &node) { return hash64(node, request.low); };
    const auto own = weight(m_settings.node);
    return std::none_of(m_peers.begin(), m_peers.end(),
                        [&](const auto &it) { return weight(it) > own; });
}

auto QuarantineState::receive(const NodeId &from, std::string_view payload, TimePoint now) -> void
{
    auto message = readMessage(payload);
    if (auto *news = std::get_if<CrashNews>(&message))
        receiveNews(std::move(*news), now);
    else if (const auto *digest = std::get_if<Digest>(&message))
        receiveDigest(from, *digest, now);
    else if (auto *records = std::get_if<Records>(&message))
        receiveRecords(from, std::move(*records), now);
    makeRoom();
}

auto QuarantineState::receiveNews(CrashNews news, TimePoint now) -> void
{
    auto isNews = false;
    for (const auto &it : news.requests) {
        isNews = takeCrash(it, news.crash, now, false) || isNews;
        if (wasJustAnswered(it, now))
            acquit(it, m_records.at(it), now);
    }
    if (isNews && news.mayPassOn)
        send(somePeers(), news);
}

auto QuarantineState::receiveDigest(const NodeId &from, const Digest &digest, TimePoint now) -> void
{
    const auto own = this->digest();
    if (own == digest.hash)
        return;
    sendBinding(from, now);
    if (!digest.isReply)
        send({from}, Digest{own, true});
}

auto QuarantineState::receiveRecords(const NodeId &from, Records records, TimePoint now) -> void
{
    auto isNews = false;
    auto missing = Records();
    for (const auto &it : records.items) {
        isNews = takeItem(it, now) || isNews;
        if (knowsMoreThan(it))
            missing.items.push_back(itemOf(it.request, m_records.at(it.request), now));
    }
    sendRecords({from}, missing, m_settings.recordDatagrams);
    if (isNews && records.mayPassOn)
        send(somePeers(), records);
}

auto QuarantineState::takeItem(const Records::Item &item, TimePoint now) -> bool
{
    if (item.age >= 2 * m_settings.longestHold)
        return false;
    auto &record = m_records[item.request];
    const auto before = record.count();
    auto isNews = false;
    for (const auto &it : item.crashes)
        isNews = record.add(it, m_settings.mostCrashesOfOne) || isNews;
    record.didCrashAt(now - item.age);
    noteStanding(item.request, before, record.count(), false);
    return isNews;
}

/// Crashes, or acquittals, that the sender of the item has not heard of.
auto QuarantineState::knowsMoreThan(const Records::Item &item) const -> bool
{
    const auto it = m_records.find(item.request);
    if (it == m_records.end())
        return false;
    const auto &known = it->second.crashes();
    return std::any_of(known.begin(), known.end(), [&item](const auto &own) {
        return std::none_of(item.crashes.begin(), item.crashes.end(), [&own](const auto &heard) {
            return heard.id == own.id && heard.isAcquitted == own.isAcquitted;
        });
    });
}

auto QuarantineState::tick(TimePoint now) -> void
{
    if (now - m_lastTick > m_settings.standstill)
        m_catchUpUntil = now + m_settings.catchUpTime;
    m_lastTick = now;
    forget(now);
    std::erase_if(m_recentAnswers,
                  [&](const auto &it) { return now - it.second >= m_settings.answerMemory; });
    if (m_answersDue && now >= *m_answersDue)
        sendAnswers(now);
    if (now >= m_nextDigest)
        sendDigest(now);
}

auto QuarantineState::nextDue() const -> std::optional<TimePoint>
{
    if (m_lastTick >= m_catchUpUntil)
        return m_answersDue;
    return std::min(m_answersDue.value_or(m_nextDigest), m_nextDigest);
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

auto QuarantineState::sendAnswers(TimePoint now) -> void
{
    auto answers = Records{!areAllPeersSome(), {}};
    for (const auto &it : std::exchange(m_answered, {})) {
        const auto record = m_records.find(it);
        if (record != m_records.end())
            answers.items.push_back(itemOf(it, record->second, now));
    }
    m_answersDue.reset();
    sendRecords(somePeers(), answers, answers.items.size());
}

/// The gravest first: there may be more than a few datagrams hold.
auto QuarantineState::sendBinding(const NodeId &to, TimePoint now) -> void
{
    auto binding = std::vector<std::pair<std::uint32_t, Records::Item>>();
    for (const auto &[request, record] : m_records) {
        if (isBinding(record))
            binding.emplace_back(record.count(), itemOf(request, record, now));
    }
    std::sort(binding.begin(), binding.end(), [](const auto &a, const auto &b) {
        return std::tie(b.first, a.second.request) < std::tie(a.first, b.second.request);
    });
    auto records = Records();
    for (auto &it : binding)
        records.items.push_back(std::move(it.second));
    sendRecords({to}, records, m_settings.recordDatagrams);
}

auto QuarantineState::sendNews(CrashId crash, std::vector<RequestFingerprint> requests) -> void
{
    const auto peers = somePeers();
    const auto news = CrashNews{crash, !areAllPeersSome(), std::move(requests)};
    for (const auto &it : splitNews(news, m_settings.mostPayloadBytes))
        send(peers, it);
}

auto QuarantineState::sendRecords(const std::vector<NodeId> &to, const Records &records,
                                  std::size_t mostDatagrams) -> void
{
    auto parts = splitRecords(records, m_settings.mostPayloadBytes);
    parts.resize(std::min(parts.size(), mostDatagrams));
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

auto QuarantineState::somePeers() -> std::vector<NodeId>
{
    if (areAllPeersSome())
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
        if (isBinding(record))
            all ^= record.hash(request);
    }
    return all;
}

auto QuarantineState::itemOf(const RequestFingerprint &request, const CrashRecord &record,
                             TimePoint now) const -> Records::Item
{
    return {request, record.crashes(), std::max(Duration::zero(), now - record.lastCrash())};
}

auto QuarantineState::forget(TimePoint now) -> void
{
    std::erase_if(m_records, [&](const auto &it) {
        const auto &record = it.second;
        const auto isVerdict = record.count() >= m_settings.crashesToRefuse;
        // Beyond its hold, for whoever tries it then: a crash that is forgotten would have to be seen again.
        const auto kept =
                isVerdict ? 2 * m_settings.holdAfter(record.count()) : m_settings.suspicionTime;
        return now - record.lastCrash() >= kept;
    });
}

/// Lets go what has the fewest crashes, and of these the oldest.
auto QuarantineState::makeRoom() -> void
{
    if (m_records.size() <= m_settings.mostRecords)
        return;
    auto ranks = std::vector<std::tuple<std::uint32_t, TimePoint, RequestFingerprint>>();
    for (const auto &[request, record] : m_records)
        ranks.emplace_back(record.count(), record.lastCrash(), request);
    const auto surplus = static_cast<std::ptrdiff_t>(m_records.size() - m_settings.mostRecords);
    std::nth_element(ranks.begin(), ranks.begin() + surplus, ranks.end());
    for (auto it = ranks.begin(); it != ranks.begin() + surplus; ++it)
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
            takeItem(it, now);
    }
    makeRoom();
}

auto QuarantineState::entries(TimePoint now) const -> std::vector<QuarantineEntry>
{
    auto found = std::vector<QuarantineEntry>();
    for (const auto &[request, record] : m_records) {
        if (isBinding(record))
            found.push_back({request, record.count(), judge(request, now)});
    }
    std::sort(found.begin(), found.end(),
              [](const auto &a, const auto &b) { return a.request < b.request; });
    return found;
}

} // namespace stairspur::quarantine
