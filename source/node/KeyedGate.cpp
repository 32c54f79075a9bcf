#include "KeyedGate.h"

#include <stairspur/keyed/KeyedServiceCode.h>
#include <stairspur/log/Log.h>

#include "PartSettings.h"

namespace stairspur::node {

using transport::CallAnswer;
using transport::CallRequest;
using transport::CancellationPtr;
using transport::Task;

/// Interval at which the blackboard is checked for changes by the control thread.
static constexpr auto RefreshInterval = std::chrono::milliseconds(100);
/// Time limit of a hand-over. It is longer than a write to the store and the copying of the records take. Without the store
/// a hand-over cannot succeed.
static constexpr auto HandOverTimeout = std::chrono::seconds(10);

static auto serviceSettings(const NodeSettings &settings, keyed::Replica own)
        -> keyed::KeyedServiceSettings
{
    auto service = keyed::KeyedServiceSettings();
    service.own = std::move(own);
    service.domain = settings.failureDomain;
    return service;
}

KeyedGate::KeyedGate(transport::asio::io_context &io, const NodeSettings &settings,
                     const NodeBoard &board, keyed::Replica own, Service::DispatchFunction dispatch,
                     std::uint64_t seed)
    : m_board(board)
    , m_store(io, storeSettings(settings), seed)
    , m_peers(io, peerSettings(settings))
    , m_service(io, serviceSettings(settings, std::move(own)), m_store, m_peers,
                std::move(dispatch), seed + 1)
    , m_timer(io)
{}

KeyedGate::~KeyedGate() = default;

auto KeyedGate::start(transport::PeerServer &server) -> void
{
    server.setRequestHandler(keyed::KeyedTopic, [this](NodeId from, std::string payload) {
        return m_service.handleRequest(std::move(from), std::move(payload));
    });
    m_service.start();
    scheduleRefresh();
}

auto KeyedGate::handle(CallRequest request, CancellationPtr cancellation) -> Task<CallAnswer>
{
    return m_service.handle(std::move(request), std::move(cancellation));
}

auto KeyedGate::scheduleRefresh() -> void
{
    m_timer.expires_after(RefreshInterval);
    m_timer.async_wait([this](const boost::system::error_code &ec) {
        if (ec)
            return;
        refreshFromBoard();
        finishHandOver();
        scheduleRefresh();
    });
}

auto KeyedGate::refreshFromBoard() -> void
{
    if (m_board.members.generation() != m_membersGeneration) {
        m_membersGeneration = m_board.members.generation();
        m_service.setMembers(m_board.members.read());
    }
    if (m_board.configuration.generation() == m_configurationGeneration)
        return;
    m_configurationGeneration = m_board.configuration.generation();
    if (const auto index = *m_board.configuration.read())
        m_service.setConfiguration(index->configuration());
}

auto KeyedGate::handOver(std::function<void(bool)> didFinish) -> void
{
    m_didHandOver = std::move(didFinish);
    m_handOverEnd = monotonicNow() + HandOverTimeout;
    finishHandOver();
}

auto KeyedGate::finishHandOver() -> void
{
    if (!m_didHandOver)
        return;
    const auto isComplete = m_service.isDrained();
    if (!isComplete && monotonicNow() < m_handOverEnd)
        return;
    log::Line(isComplete ? log::Severity::Info : log::Severity::Warning, "keyed-hand-over")
            .add("whole", isComplete)
            .add("records", m_service.records());
    std::exchange(m_didHandOver, nullptr)(isComplete);
}

} // namespace stairspur::node
