#include "LeavingService.h"

#include <algorithm>
#include <utility>

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <stairspur/core/Error.h>
#include <stairspur/log/Log.h>
#include <stairspur/membership/MembershipService.h>

namespace stairspur::node {

namespace asio = transport::asio;

/// Longest time for which an acknowledgement waits. The backend server takes one that comes within a second.
static constexpr auto MaxRecordingTime = Duration{800'000};
/// Longest time after the start for which the backend server waits for the store's record.
static constexpr auto MaxLoadTime = Duration{1'000'000};

LeavingService::LeavingService(transport::asio::io_context &io, NodeId ownNode, std::string domain,
                               membership::BackendAnnouncements &announcements, Send send,
                               std::function<void()> didChange)
    : m_io(io)
    , m_ownNode(ownNode)
    , m_startedAt(monotonicNow())
    , m_announcements(announcements)
    , m_send(std::move(send))
    , m_didChange(std::move(didChange))
    , m_replication(std::move(ownNode), std::move(domain), m_startedAt)
{
    m_announcements.awaitRecords();
}

auto LeavingService::setStore(store::AnyStore &store) -> void
{
    auto didLoad = [this](const LeavingArchive::Ids &ids) {
        adopt("store", ids);
        flush();
    };
    m_archive.emplace(m_io, store, m_ownNode, std::move(didLoad), [this] { flush(); });
}

auto LeavingService::replicate() -> void
{
    const auto &own = m_announcements.leavingInstances();
    m_replication.setOwn(own, monotonicNow());
    if (m_archive)
        m_archive->save({own.ids().begin(), own.ids().end()});
    flush();
}

auto LeavingService::didChangeView(std::shared_ptr<const membership::MembershipView> view) -> void
{
    m_replication.setView(std::move(view), monotonicNow());
    flush();
}

auto LeavingService::receive(const NodeId &from, const std::string &payload) -> void
{
    try {
        const auto message = membership::readLeavingMessage(payload);
        adopt(from, m_replication.receive(from, message, monotonicNow()));
    } catch (const InputError &error) {
        log::Line(log::Severity::Warning, "leaving-message-rejected")
                .add("from", from)
                .add("error", error.what());
    }
    flush();
}

auto LeavingService::adopt(const std::string &from, const std::vector<std::uint64_t> &ids) -> void
{
    const auto &known = m_announcements.leavingInstances();
    const auto isKnown = [&](std::uint64_t id) { return known.contains(id); };
    if (std::ranges::all_of(ids, isKnown))
        return;
    log::Line(log::Severity::Info, "leaving-adopted")
            .add("from", from)
            .add("instances", ids.size());
    if (m_announcements.adoptLeaving(ids, membership::currentStartIncarnation()))
        m_didChange();
    replicate();
}

auto LeavingService::tick() -> void
{
    m_replication.tick(monotonicNow());
    flush();
}

auto LeavingService::waitUntilRecorded() -> transport::Task<void>
{
    if (isRecorded())
        co_return;
    const auto waiter = std::make_shared<transport::Timer>(m_io, MaxRecordingTime);
    m_waiters.push_back(waiter);
    const auto [ec] = co_await waiter->async_wait(asio::as_tuple(asio::use_awaitable));
    std::erase(m_waiters, waiter);
    if (!ec)
        log::Line(log::Severity::Warning, "leaving-not-recorded")
                .add("waited_ms", toMilliseconds(MaxRecordingTime))
                .add("replicas", m_replication.isRecordedByAny())
                .add("store", m_archive && m_archive->isSaved());
}

/// Returns whether all that keep the records have confirmed all leaving instances.
auto LeavingService::isRecorded() const -> bool
{
    return m_replication.isRecordedByAll() && (!m_archive || m_archive->isSaved());
}

/// Returns whether the records from before this process have arrived, or the wait for them is over.
auto LeavingService::hasRecords(TimePoint now) const -> bool
{
    const auto hasLoaded = !m_archive || m_archive->isLoaded() || now - m_startedAt >= MaxLoadTime;
    return hasLoaded && m_replication.isComplete(now);
}

auto LeavingService::wakeWaiters() -> void
{
    if (m_waiters.empty() || !isRecorded())
        return;
    for (const auto &it : std::exchange(m_waiters, {}))
        it->cancel();
}

auto LeavingService::flush() -> void
{
    wakeWaiters();
    for (const auto &[to, message] : m_replication.takeMessages())
        m_send(to, membership::writeLeavingMessage(message));
    if (!m_awaitsRecords || !hasRecords(monotonicNow()))
        return;
    m_awaitsRecords = false;
    if (m_announcements.didReceiveRecords())
        m_didChange();
}

} // namespace stairspur::node
