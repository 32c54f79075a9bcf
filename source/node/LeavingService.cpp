#include "LeavingService.h"

#include <algorithm>
#include <utility>

#include <stairspur/core/Error.h>
#include <stairspur/log/Log.h>

namespace stairspur::node {

LeavingService::LeavingService(NodeId ownNode, std::string domain,
                               membership::BackendAnnouncements &announcements, Send send,
                               std::function<void()> didChange)
    : m_announcements(announcements)
    , m_send(std::move(send))
    , m_didChange(std::move(didChange))
    , m_replication(std::move(ownNode), std::move(domain), monotonicNow())
{
    m_announcements.awaitRecords();
}

auto LeavingService::replicate() -> void
{
    m_replication.setOwn(m_announcements.leavingInstances(), monotonicNow());
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

auto LeavingService::adopt(const NodeId &from, const std::vector<std::uint64_t> &ids) -> void
{
    const auto &known = m_announcements.leavingInstances();
    const auto isKnown = [&](std::uint64_t id) { return known.contains(id); };
    if (std::ranges::all_of(ids, isKnown))
        return;
    log::Line(log::Severity::Info, "leaving-adopted")
            .add("from", from)
            .add("instances", ids.size());
    if (m_announcements.adoptLeaving(ids))
        m_didChange();
    replicate();
}

auto LeavingService::tick() -> void
{
    m_replication.tick(monotonicNow());
    flush();
}

auto LeavingService::flush() -> void
{
    for (const auto &[to, message] : m_replication.takeMessages())
        m_send(to, membership::writeLeavingMessage(message));
    if (!m_awaitsRecords || !m_replication.isComplete(monotonicNow()))
        return;
    m_awaitsRecords = false;
    if (m_announcements.didReceiveRecords())
        m_didChange();
}

} // namespace stairspur::node
