#include "QuarantineService.h"

#include <algorithm>
#include <utility>

#include <stairspur/core/Error.h>
#include <stairspur/log/Log.h>

namespace stairspur::node {

using quarantine::QuarantineChange;
using quarantine::RequestFingerprint;

/// Time between two ticks if no action is due earlier.
static constexpr auto TickInterval = Duration{1'000'000};

auto fingerprintOf(const transport::CallRequest &request) -> RequestFingerprint
{
    return quarantine::fingerprintOf({.service = request.service,
                                      .caller = request.caller,
                                      .method = request.method,
                                      .host = request.headers.find("Host"),
                                      .target = request.target,
                                      .body = request.body});
}

static auto quarantineSettings(NodeId node) -> quarantine::QuarantineSettings
{
    auto settings = quarantine::QuarantineSettings();
    settings.node = std::move(node);
    return settings;
}

QuarantineService::QuarantineService(boost::asio::io_context &io, NodeBoard &board, NodeId node,
                                     std::uint64_t seed, Send send)
    : m_board(board)
    , m_node(std::move(node))
    , m_state(quarantineSettings(m_node), seed, monotonicNow())
    , m_send(std::move(send))
    , m_timer(io)
{}

auto QuarantineService::start() -> void
{
    scheduleTick(monotonicNow() + TickInterval);
}

auto QuarantineService::decide(const RequestFingerprint &request) const
        -> quarantine::QuarantineDecision
{
    return m_state.decide(request, monotonicNow());
}

auto QuarantineService::didCrash(const std::vector<RequestFingerprint> &requests) -> void
{
    refreshPeers();
    log::Line(log::Severity::Warning, "backend-crash").add("requests", requests.size());
    m_state.didCrash(requests, monotonicNow());
    flush();
}

auto QuarantineService::didAnswer(const RequestFingerprint &request) -> void
{
    m_state.didAnswer(request, monotonicNow());
    if (m_state.size() > 0)
        flush();
}

auto QuarantineService::receive(const NodeId &from, const std::string &payload) -> void
{
    refreshPeers();
    try {
        m_state.receive(from, payload, monotonicNow());
    } catch (const InputError &error) {
        log::Line(log::Severity::Warning, "quarantine-message-rejected")
                .add("from", from)
                .add("error", error.what());
    }
    flush();
}

auto QuarantineService::restore(const std::string &saved) -> void
{
    try {
        m_state.restore(saved, monotonicNow());
    } catch (const InputError &error) {
        log::Line(log::Severity::Warning, "quarantine-message-rejected")
                .add("from", "store")
                .add("error", error.what());
    }
    flush();
}

auto QuarantineService::release(std::string_view name) -> std::size_t
{
    const auto released = m_state.release(name, monotonicNow());
    flush();
    return released;
}

/// Returns whether a member's gate belongs to the service and is reachable. A draining gate still responds.
static auto isPeer(const membership::Member &member, const std::string &service, const NodeId &own)
        -> bool
{
    return member.service == service && member.node != own
           && member.liveness != membership::Liveness::Dead
           && member.state != membership::ServingState::Left;
}

auto QuarantineService::refreshPeers() -> void
{
    const auto membersGeneration = m_board.members.generation();
    const auto backendGeneration = m_board.backend.generation();
    if (membersGeneration == m_membersGeneration && backendGeneration == m_backendGeneration)
        return;
    m_membersGeneration = membersGeneration;
    m_backendGeneration = backendGeneration;
    const auto service = m_board.backend.read()->service;
    const auto view = m_board.members.read();
    auto peers = std::vector<NodeId>();
    for (const auto &it : view->members) {
        if (!service.empty() && isPeer(it, service, m_node))
            peers.push_back(it.node);
    }
    m_state.setPeers(std::move(peers));
}

auto QuarantineService::scheduleTick(TimePoint due) -> void
{
    m_nextTick = due;
    m_timer.expires_after(std::max(due - monotonicNow(), Duration::zero()));
    m_timer.async_wait([this](const boost::system::error_code &ec) {
        if (!ec)
            tick();
    });
}

auto QuarantineService::tick() -> void
{
    const auto now = monotonicNow();
    refreshPeers();
    m_state.tick(now);
    scheduleTick(now + TickInterval);
    flush();
    if (m_hasEntries)
        publishEntries();
}

auto QuarantineService::flush() -> void
{
    if (const auto due = m_state.nextDue(); due && *due < m_nextTick)
        scheduleTick(*due);
    for (const auto &it : m_state.takeDatagrams())
        m_send(it.to, it.payload);
    const auto events = m_state.takeEvents();
    for (const auto &it : events)
        handleEvent(it);
    if (!events.empty())
        publishEntries();
}

auto QuarantineService::publishEntries() -> void
{
    auto entries = m_state.entries(monotonicNow());
    m_hasEntries = !entries.empty();
    m_board.quarantine.publish(std::move(entries));
}

auto QuarantineService::handleEvent(const quarantine::QuarantineEvent &event) -> void
{
    const auto severity = event.change == QuarantineChange::Refused ? log::Severity::Warning
                                                                    : log::Severity::Info;
    log::Line(severity, "quarantine")
            .add("change", event.change)
            .add("request", event.request.name())
            .add("crashes", event.crashes)
            .add("own", event.isLocal);
    if (!m_save || !event.isLocal)
        return;
    if (event.change == QuarantineChange::Refused)
        m_save(event.request.name(), m_state.save(event.request, monotonicNow()));
    if (event.change == QuarantineChange::Cleared)
        m_save(event.request.name(), {});
}

} // namespace stairspur::node
