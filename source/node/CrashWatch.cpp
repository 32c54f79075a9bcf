#include "CrashWatch.h"

#include <utility>

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <stairspur/transport/PortProbe.h>

namespace stairspur::node {

namespace asio = transport::asio;
using transport::HttpFailure;
using transport::Task;

/// Time limit of a probe. A process on the same host accepts a connection, or the kernel refuses it, within a millisecond; a
/// busy host takes longer. Without a result by then the backend server counts as running. The calls with broken connections
/// wait for this time before they get their answers.
static constexpr auto ProbeTimeout = Duration{50'000};

auto CrashWatch::didReplace(const LocalBackend &former) -> void
{
    ++m_replacements;
    if (const auto requests = m_detector.didReplaceBackend(isLeaving(former)); !requests.empty())
        m_quarantine.didCrash(requests);
}

auto CrashWatch::didEnd(CallId id, quarantine::RequestFingerprint request,
                        const BackendResult &result, std::optional<HttpFailure> failure,
                        const LocalBackend &backend) -> Task<void>
{
    const auto isComplete =
            !failure && (result.outcome == Outcome::Answered || result.outcome == Outcome::Failed);
    if (isComplete) {
        m_detector.didAnswer(id);
        m_quarantine.didAnswer(request);
    } else if (failure != HttpFailure::Broken) {
        m_detector.didEndOtherwise(id);
    } else if (m_detector.didLoseConnection(id) && !isLeaving(backend)) {
        co_await probeBackend(backend);
    }
}

auto CrashWatch::probeBackend(const LocalBackend &backend) -> Task<void>
{
    // One probe serves all calls whose connections broke together. Each further one would use a connection of a running server.
    if (const auto probe = m_probe) {
        co_await probe->async_wait(asio::as_tuple(asio::use_awaitable));
        co_return;
    }
    m_probe = std::make_shared<transport::Timer>(m_io, transport::Timer::time_point::max());
    const auto replacements = m_replacements;
    const auto address = asio::ip::make_address(backend.address);
    const auto isClosed =
            co_await transport::isPortClosed(m_io, {address, backend.port}, ProbeTimeout);
    if (isClosed && replacements == m_replacements)
        m_quarantine.didCrash(m_detector.takeSuspects());
    std::exchange(m_probe, nullptr)->cancel();
}

} // namespace stairspur::node
