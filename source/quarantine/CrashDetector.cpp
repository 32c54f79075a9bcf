#include <stairspur/quarantine/CrashDetector.h>

#include <algorithm>

namespace stairspur::quarantine {

auto CrashDetector::didSend(CallId id, const RequestFingerprint &fingerprint) -> void
{
    m_calls.insert_or_assign(id, Call{fingerprint, m_breaks});
}

auto CrashDetector::didAnswer(CallId id) -> void
{
    const auto it = m_calls.find(id);
    if (it == m_calls.end())
        return;
    // The call was sent after these connections broke and the same process instance served it, so they did not crash it.
    std::erase_if(m_broken, [breaks = it->second.breaksBefore](const auto &broken) {
        return broken.ordinal <= breaks;
    });
    m_calls.erase(it);
}

auto CrashDetector::didLoseConnection(CallId id) -> bool
{
    const auto it = m_calls.find(id);
    if (it == m_calls.end())
        return false;
    m_broken.push_back({it->second.fingerprint, ++m_breaks});
    m_calls.erase(it);
    return true;
}

auto CrashDetector::didEndOtherwise(CallId id) -> void
{
    m_calls.erase(id);
}

static auto makeUnique(std::vector<RequestFingerprint> &requests) -> void
{
    std::sort(requests.begin(), requests.end());
    requests.erase(std::unique(requests.begin(), requests.end()), requests.end());
}

auto CrashDetector::takeSuspects() -> std::vector<RequestFingerprint>
{
    auto requests = std::vector<RequestFingerprint>();
    for (const auto &it : m_broken)
        requests.push_back(it.fingerprint);
    for (const auto &[id, call] : m_calls)
        requests.push_back(call.fingerprint);
    makeUnique(requests);
    clear();
    return requests;
}

auto CrashDetector::didReplaceBackend(bool wasExpected) -> std::vector<RequestFingerprint>
{
    const auto isExplained = wasExpected || m_broken.empty();
    if (!isExplained)
        return takeSuspects();
    clear();
    return {};
}

auto CrashDetector::clear() -> void
{
    m_calls.clear();
    m_broken.clear();
}

} // namespace stairspur::quarantine
