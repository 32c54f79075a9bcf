#include <stairspur/distribution/DistributionService.h>

#include <utility>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <stairspur/config/Sections.h>
#include <stairspur/core/Error.h>
#include <stairspur/core/Hex.h>
#include <stairspur/log/Log.h>
#include <stairspur/transport/Timer.h>

#include "StoreReading.h"

namespace stairspur::distribution {

namespace asio = boost::asio;

using transport::Task;

static constexpr auto TickInterval = Duration{100'000};

/// State that the service shares with its coroutines, so that a coroutine may end after the service.
class DistributionService::Runner : public std::enable_shared_from_this<Runner>
{
public:
    Runner(asio::io_context &control, NodeId self, std::string domain,
           DistributionSettings settings, DistributionParts parts, std::uint64_t seed)
        : m_control(control)
        , m_parts(std::move(parts))
        , m_state(std::move(self), std::move(domain), settings, m_parts.store != nullptr, seed)
        , m_ticker(control)
        , m_headReader(m_parts.source)
    {}

    auto start() -> void
    {
        m_parts.datagrams.setHandler(
                ConfigTopic, [weak = weak_from_this()](const NodeId &from, const auto &payload) {
                    if (const auto self = weak.lock())
                        self->didReceiveDatagram(from, payload);
                });
        spawn(tickUntilStopped());
    }

    auto stop() -> void
    {
        m_isStopped = true;
        m_ticker.cancel();
        carryOut(CloseWatch{});
    }

    auto didReceiveDigest(const NodeId &from, std::string_view bytes) -> void
    {
        if (bytes.empty())
            return;
        try {
            m_state.didReceiveDigest(from, decodeDigest(bytes), monotonicNow());
        } catch (const InputError &) {
            ++m_malformedDigests;
        }
        carryOut();
    }

    /// Serves a peer's request, received on any thread, on the control thread.
    static auto serveAnywhere(std::shared_ptr<Runner> self, std::string payload)
            -> Task<std::string>
    {
        const auto executor = self->m_control.get_executor();
        co_return co_await asio::co_spawn(executor, serve(std::move(self), std::move(payload)),
                                          asio::use_awaitable);
    }

    [[nodiscard]] auto state() const -> const DistributionState<> & { return m_state; }

    [[nodiscard]] auto counters() const -> DistributionCounters
    {
        auto copy = m_state.counters();
        copy.malformed += m_malformedDigests;
        return copy;
    }

private:
    static auto serve(std::shared_ptr<Runner> self, std::string payload) -> Task<std::string>
    {
        co_return self->m_state.serve(payload);
    }

    /// Runs a coroutine and keeps this object alive until it ends.
    auto spawn(Task<void> task) -> void
    {
        asio::co_spawn(m_control, std::move(task),
                       [self = shared_from_this()](const std::exception_ptr &error) {
                           if (error && !self->m_isStopped)
                               std::rethrow_exception(error);
                       });
    }

    auto didReceiveDatagram(const NodeId &from, const std::string &payload) -> void
    {
        if (m_isStopped)
            return;
        m_state.didReceiveDatagram(from, payload, monotonicNow());
        carryOut();
    }

    auto tickUntilStopped() -> Task<void>
    {
        auto ec = boost::system::error_code();
        while (!m_isStopped) {
            updatePeers();
            m_state.tick(monotonicNow());
            carryOut();
            m_ticker.expires_after(TickInterval);
            co_await m_ticker.async_wait(asio::redirect_error(asio::use_awaitable, ec));
        }
    }

    auto updatePeers() -> void
    {
        auto view = m_parts.view();
        if (!view || view == m_view)
            return;
        m_view = std::move(view);
        auto alive = std::vector<Peer>();
        for (const auto &it : m_view->members) {
            if (it.liveness != membership::Liveness::Dead
                && it.state != membership::ServingState::Left)
                alive.push_back({it.node, it.domain});
        }
        const auto wasRelay = m_state.isRelay();
        m_state.setPeers(std::move(alive));
        if (m_state.isRelay() != wasRelay)
            log::Line(log::Severity::Info, "configuration-relay")
                    .add("is_relay", m_state.isRelay())
                    .add("members", m_view->members.size());
    }

    auto carryOut(OpenWatch) -> void { spawn(watch()); }

    auto carryOut(CloseWatch) -> void
    {
        if (const auto watch = m_watch)
            watch->cancel();
    }

    auto watch() -> Task<void>
    {
        const auto since = monotonicNow();
        const auto end = co_await watchOnce();
        const auto isHistoryLost = m_watchRevision > 0 && end.value.nextRevision == 0;
        const auto ending = isHistoryLost ? WatchEnding::HistoryLost : WatchEnding::Other;
        m_watchRevision = end.value.nextRevision;
        if (m_isStopped)
            co_return;
        const auto now = monotonicNow();
        const auto pause = m_state.didEndWatch(ending, now);
        log::Line(log::Severity::Info, "configuration-watch-ended")
                .add("status", end.status)
                .add("detail", end.detail)
                .add("lasted_ms", toMilliseconds(now - since))
                .add("pause_ms", toMilliseconds(pause));
        carryOut();
    }

    auto watchOnce() -> Task<store::StoreResult<store::WatchEnd>>
    {
        m_watch = std::make_shared<transport::Cancellation>();
        auto handler = [weak = weak_from_this()](const store::WatchMessage &message) {
            if (const auto self = weak.lock())
                self->didReceiveWatch(message);
        };
        auto request =
                store::WatchRequest{.key = m_headReader.key(), .startRevision = m_watchRevision};
        auto end = co_await m_parts.store->watch(std::move(request), std::move(handler), m_watch);
        m_watch.reset();
        co_return end;
    }

    auto didReceiveWatch(const store::WatchMessage &message) -> void
    {
        if (m_isStopped)
            return;
        for (const auto &it : message.events) {
            if (it.isDelete)
                continue;
            const auto reading = m_headReader.readValue(it.pair.value);
            if (reading.isOk)
                m_state.didWatchHead(*reading.head, monotonicNow());
        }
        carryOut();
    }

    auto carryOut() -> void
    {
        for (auto actions = m_state.takeActions(); !actions.empty() && !m_isStopped;
             actions = m_state.takeActions()) {
            for (auto &action : actions)
                std::visit([this](auto &it) { carryOut(std::move(it)); }, action);
        }
        // The proof is published after its configuration, so that no reader finds the proof without it.
        if (m_isStopped || !m_parts.didProve || m_state.provenAt() == m_provenAt)
            return;
        m_provenAt = m_state.provenAt();
        m_parts.didProve(*m_provenAt);
    }

    auto carryOut(SendDatagram action) -> void
    {
        m_parts.datagrams.send(action.to, ConfigTopic, action.payload);
    }

    auto carryOut(SendRequest action) -> void { spawn(request(std::move(action))); }

    auto request(SendRequest action) -> Task<void>
    {
        const auto id = action.id;
        const auto reply = co_await tryRequest(std::move(action));
        if (reply)
            m_state.didReceiveReply(id, *reply, monotonicNow());
        else
            m_state.didFailRequest(id, monotonicNow());
        carryOut();
    }

    auto tryRequest(SendRequest action) -> Task<std::optional<std::string>>
    {
        try {
            co_return co_await m_parts.peers.request(action.to, ConfigTopic, action.payload,
                                                     action.timeout);
        } catch (const transport::PeerError &error) {
            log::Line(log::Severity::Info, "configuration-pull-failed")
                    .add("peer", action.to)
                    .add("error", error.what());
        }
        co_return std::nullopt;
    }

    auto carryOut(ReadHead) -> void { spawn(loadHead()); }

    auto loadHead() -> Task<void>
    {
        const auto sentAt = monotonicNow();
        const auto answer = co_await m_parts.store->range({.key = m_headReader.key()});
        const auto reading = m_headReader.readAnswer(answer);
        if (reading.isOk)
            m_state.didReadHead(reading.head, monotonicNow());
        else
            m_state.didFailToReadHead(monotonicNow());
        if (reading.isOk && reading.head)
            m_state.didProveHead(*reading.head, sentAt, monotonicNow());
        if (answer.hasFoundSilentConnection)
            didFindSilence(sentAt);
        carryOut();
    }

    auto didFindSilence(TimePoint sentAt) -> void
    {
        m_state.didFindSilence(sentAt);
        if (m_parts.didFindSilence)
            m_parts.didFindSilence();
    }

    auto carryOut(ReadSections action) -> void { spawn(loadSections(std::move(action))); }

    auto loadSections(ReadSections action) -> Task<void>
    {
        if (const auto &whole = m_headReader.wholeItem()) {
            // The item that contained the head also contained all sections.
            m_state.didReadSections(whole->blobs, monotonicNow());
            carryOut();
            co_return;
        }
        auto requests = requestsFor(action.hashes);
        auto blobs = Blobs();
        auto isOk = true;
        while (isOk && !requests.empty())
            isOk = addAnswer(co_await m_parts.store->range(requests.back()), requests, blobs);
        if (isOk)
            m_state.didReadSections(blobs, monotonicNow());
        else
            m_state.didFailToReadSections(monotonicNow());
        carryOut();
    }

    auto carryOut(const Publish &publish) -> void
    {
        const auto &current = m_state.current();
        auto next = std::make_shared<config::VersionedConfiguration>();
        next->version = current.version();
        next->hash = current.hash();
        try {
            next->configuration = config::joinSections(current.sections());
        } catch (const config::SectionError &error) {
            log::Line(log::Severity::Error, "configuration-unreadable")
                    .add("version", current.version())
                    .add("error", error.what());
            return;
        }
        log::Line(log::Severity::Info, "configuration-in-force")
                .add("version", current.version())
                .add("hash", current.hash())
                .add("source", publish.source)
                .add("from", publish.from);
        m_parts.didPublish(std::move(next));
    }

    auto carryOut(Alarm alarm) -> void
    {
        log::Line(log::Severity::Error, "configuration-alarm")
                .add("kind", alarm.kind)
                .add("kept_version", alarm.kept.version)
                .add("kept_hash", toHex(alarm.kept.hash))
                .add("seen_version", alarm.seen.version)
                .add("seen_hash", toHex(alarm.seen.hash))
                .add("from", alarm.from);
    }

    asio::io_context &m_control;
    DistributionParts m_parts;
    DistributionState<> m_state;
    transport::Timer m_ticker;
    std::shared_ptr<const membership::MembershipView> m_view;
    transport::CancellationPtr m_watch;
    store::Revision m_watchRevision =
            0; ///< Revision at which the next watch starts; 0 for the current head.
    HeadReader m_headReader;
    std::uint64_t m_malformedDigests = 0;
    std::optional<TimePoint> m_provenAt; ///< Time that was last passed to didProve.
    bool m_isStopped = false;
};

DistributionService::DistributionService(asio::io_context &control, NodeId self, std::string domain,
                                         DistributionSettings settings, DistributionParts parts,
                                         std::uint64_t seed)
    : m_runner(std::make_shared<Runner>(control, std::move(self), std::move(domain), settings,
                                        std::move(parts), seed))
{}

DistributionService::~DistributionService()
{
    m_runner->stop();
}

auto DistributionService::start() -> void
{
    m_runner->start();
}

auto DistributionService::stop() -> void
{
    m_runner->stop();
}

auto DistributionService::requestHandler() const -> transport::PeerServer::RequestHandler
{
    return [runner = m_runner](const NodeId &, std::string payload) {
        return Runner::serveAnywhere(runner, std::move(payload));
    };
}

auto DistributionService::digest() const -> std::string
{
    return m_runner->state().digest().encode();
}

auto DistributionService::didReceiveDigest(const NodeId &from, std::string_view bytes) -> void
{
    m_runner->didReceiveDigest(from, bytes);
}

auto DistributionService::version() const -> std::uint64_t
{
    return m_runner->state().current().version();
}

auto DistributionService::hash() const -> std::string
{
    return m_runner->state().current().hash();
}

auto DistributionService::isRelay() const -> bool
{
    return m_runner->state().isRelay();
}

auto DistributionService::counters() const -> DistributionCounters
{
    return m_runner->counters();
}

} // namespace stairspur::distribution
