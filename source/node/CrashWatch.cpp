#include "CrashWatch.h"

#include <utility>

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <stairspur/transport/PortProbe.h>

namespace stairspur::node {

namespace asio = transport::asio;
using transport::HttpFailure;
using transport::Task;

/// A process on the same host answers a connect, or its kernel refuses it, within a millisecond; a busy host takes some more.
/// Without an answer by then the backend server is taken to live; the calls that broke wait so long for theirs.
static constexpr auto ProbeTimeout = Duration{50'000};

auto CrashWatch::didReplace(const LocalBackend &former) -> void
{
    ++m_replacements;
    if (const auto requests = m_detector.didReplace(isLeaving(former)); !requests.empty())
        m_quarantine.didCrash(requests);
}

auto CrashWatch::didEnd(CallId id, quarantine::RequestFingerprint request,
                        const BackendResult &verdict, std::optional<HttpFailure> failure,
                        const LocalBackend &backend) -> Task<void>
{
    const auto isWhole =
            !failure
            && (verdict.outcome == Outcome::Answered || verdict.outcome == Outcome::Failed);
    if (isWhole) {
        m_detector.didAnswer(id);
        m_quarantine.didAnswer(request);
    } else if (failure != HttpFailure::Broken) {
        m_detector.didEndOtherwise(id);
    } else if (m_detector.didBreak(id) && !isLeaving(backend)) {
        co_await lookForCrash(backend);
    }
}

auto CrashWatch::lookForCrash(const LocalBackend &backend) -> Task<void>
{
    // One connect tells for all calls that broke together; each new one would take a place at a server that lives.
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
        m_quarantine.didCrash(m_detector.takeCrash());
    std::exchange(m_probe, nullptr)->cancel();
}

} // namespace stairspur::node
