#include <stairspur/transport/PeerClient.h>

#include <algorithm>
#include <unordered_map>
#include <utility>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include <stairspur/core/Random.h>
#include <stairspur/log/Log.h>
#include <stairspur/transport/Timer.h>

#include "CborReader.h"
#include "LinkFence.h"
#include "PeerClientLink.h"

namespace stairspur::transport {

/// The first rest after a link was lost; doubled with each further failure, up to the greatest.
static constexpr auto FirstBackoff = Duration(50'000);
static constexpr auto MaxBackoff = Duration(1'000'000);
/// A lost link that nobody has asked for in this time is no longer sought.
static constexpr auto SeekTime = Duration(60'000'000);
static constexpr auto MaxDoublings = 6U;

class PeerClient::Links : public std::enable_shared_from_this<PeerClient::Links>
{
public:
    Links(asio::io_context &io, PeerSettings settings)
        : m_context(std::make_shared<PeerClientContext>(io, std::move(settings)))
        , m_random(std::random_device()())
    {}

    auto call(NodeId node, CallRequest request, CancellationPtr cancellation) -> Task<CallAnswer>
    {
        const auto self = shared_from_this();
        if (request.body.size() > m_context->settings.maxBodyBytes)
            co_return refuse(request, Reason::TooLarge);
        if (cancellation && cancellation->isCancelled())
            co_return refuse(request, Reason::Cancelled);
        const auto link = obtain(node);
        if (!link)
            co_return refuse(request, Reason::LinkLost);
        co_return co_await link->call(std::move(request), std::move(cancellation));
    }

    auto request(NodeId node, std::string topic, std::string payload, Duration timeout)
            -> Task<std::string>
    {
        const auto self = shared_from_this();
        const auto deadline = monotonicNow() + timeout;
        while (true) {
            const auto link = obtain(node);
            if (!link)
                throw PeerError(false, "the link to " + node + " is down",
                                "check that the node runs and is reachable");
            auto reply = co_await link->request(topic, payload, deadline - monotonicNow());
            if (reply)
                co_return std::move(*reply);
        }
    }

    auto release(const NodeId &node) -> void
    {
        const auto it = m_entries.find(node);
        if (it == m_entries.end())
            return;
        const auto link = std::move(it->second.link);
        const auto spare = std::move(it->second.spare);
        const auto wasDown = it->second.isDown;
        m_entries.erase(it); // Its timer ends with it.
        if (wasDown)
            tell(node, true);
        letGo(link);
        letGo(spare);
    }

    auto setObserver(LinkObserver observer) -> void { m_observer = std::move(observer); }
    auto setSilenceObserver(SilenceObserver observer) -> void
    {
        m_silenceObserver = std::move(observer);
    }

    auto verifyLinks() -> void
    {
        for (const auto &[node, entry] : m_entries) {
            if (entry.link)
                entry.link->verify();
        }
    }

    auto abort() -> void
    {
        m_observer = nullptr;
        m_silenceObserver = nullptr;
        const auto leaving = std::exchange(m_leaving, {});
        for (const auto &[key, link] : leaving)
            link->abort();
        const auto entries = std::exchange(m_entries, {});
        for (const auto &[node, entry] : entries) {
            if (entry.link)
                entry.link->abort();
            if (entry.spare)
                entry.spare->abort();
        }
    }

    [[nodiscard]] auto links() const -> std::uint32_t
    {
        return static_cast<std::uint32_t>(
                std::count_if(m_entries.begin(), m_entries.end(),
                              [](const auto &it) { return it.second.link != nullptr; }));
    }

    [[nodiscard]] auto traffic() const -> PeerTraffic { return m_context->traffic; }

private:
    struct Entry
    {
        std::shared_ptr<PeerClientLink> link;
        /// Opened when the link fell silent: packets of old connections may be dropped while those of new ones arrive.
        std::shared_ptr<PeerClientLink> spare;
        std::uint32_t failures = 0;
        /// The last link was lost and no other is open yet. Calls are refused meanwhile: they do not wait for a connect to
        /// a host that may be dead.
        bool isDown = false;
        TimePoint lastWanted;
        std::shared_ptr<Timer> reconnect;
    };

    static auto refuse(const CallRequest &request, Reason reason) -> CallAnswer
    {
        return CallAnswer{
                .outcome = Outcome::NotRun, .reason = reason, .unspentBudget = request.retryBudget};
    }

    /// The link to `node`, which may still be connecting for the first time; nothing while a lost one is sought.
    auto obtain(const NodeId &node) -> std::shared_ptr<PeerClientLink>
    {
        auto &entry = m_entries[node];
        entry.lastWanted = monotonicNow();
        if (entry.isDown)
            return nullptr;
        return entry.link ? entry.link : open(node, entry);
    }

    auto open(const NodeId &node, Entry &entry) -> std::shared_ptr<PeerClientLink>
    {
        entry.link = makeLink(node);
        entry.link->start();
        return entry.link;
    }

    auto makeLink(const NodeId &node) -> std::shared_ptr<PeerClientLink>
    {
        auto link = std::make_shared<PeerClientLink>(m_context, node);
        const auto weak = weak_from_this();
        const auto *key = link.get();
        link->setDidClose([weak, node, key](LinkEnd end) {
            if (const auto self = weak.lock())
                self->didClose(node, key, end);
        });
        link->setDidReady([weak, node, key] {
            if (const auto self = weak.lock())
                self->didOpen(node, key);
        });
        link->setDidIdle([weak, node, key] {
            if (const auto self = weak.lock())
                self->didIdle(node, key);
        });
        link->setDidFallSilent([weak, node, key] {
            if (const auto self = weak.lock())
                self->didFallSilent(node, key);
        });
        return link;
    }

    auto letGo(const std::shared_ptr<PeerClientLink> &link) -> void
    {
        if (!link)
            return;
        m_leaving.emplace(link.get(), link);
        link->release();
    }

    auto didFallSilent(const NodeId &node, const PeerClientLink *link) -> void
    {
        const auto it = m_entries.find(node);
        if (it == m_entries.end() || it->second.link.get() != link || it->second.spare)
            return;
        it->second.spare = makeLink(node);
        it->second.spare->start();
    }

    /// The spare is open. The silent link goes on until its calls have been answered or it is found dead.
    auto didOpenSpare(const NodeId &node, Entry &entry) -> void
    {
        const auto spare = std::move(entry.spare);
        if (entry.link && !entry.link->isSilent()) {
            letGo(spare);
            return;
        }
        const auto silent = std::exchange(entry.link, spare);
        if (!silent)
            return didReachAgain(node, entry);
        log::Line(log::Severity::Warning, "link-replaced").add("peer", node);
        m_leaving.emplace(silent.get(), silent);
        silent->retire();
        if (silent->hasCalls())
            asio::co_spawn(m_context->io, settle(node, silent), asio::detached);
        // What silenced one link may have silenced all of its age.
        verifyLinks();
        if (m_silenceObserver)
            m_silenceObserver();
    }

    auto didReachAgain(const NodeId &node, Entry &entry) -> void
    {
        entry.failures = 0;
        if (std::exchange(entry.isDown, false))
            tell(node, true);
    }

    /// Finds out which calls of a silent link never arrived, so that they can be sent elsewhere, whatever they do.
    auto settle(NodeId node, std::shared_ptr<PeerClientLink> silent) -> Task<void>
    {
        const auto self = shared_from_this();
        try {
            const auto reply = co_await request(node, std::string(FenceTopic), silent->farNonce(),
                                                m_context->settings.connectTimeout);
            const auto unarrived = silent->settle(CborReader(reply).readUnsigned());
            log::Line(log::Severity::Info, "link-settled")
                    .add("peer", node)
                    .add("calls_not_arrived", unarrived);
        } catch (const Error &error) {
            log::Line(log::Severity::Warning, "link-not-settled")
                    .add("peer", node)
                    .add("error", error.what());
        }
    }

    auto didIdle(const NodeId &node, const PeerClientLink *link) -> void
    {
        const auto it = m_entries.find(node);
        if (it != m_entries.end() && it->second.link.get() == link)
            release(node);
    }

    auto didOpen(const NodeId &node, const PeerClientLink *link) -> void
    {
        const auto it = m_entries.find(node);
        if (it == m_entries.end())
            return;
        if (it->second.spare.get() == link)
            return didOpenSpare(node, it->second);
        if (it->second.link.get() == link)
            didReachAgain(node, it->second);
    }

    auto didClose(const NodeId &node, const PeerClientLink *link, LinkEnd end) -> void
    {
        m_leaving.erase(link);
        const auto it = m_entries.find(node);
        if (it == m_entries.end())
            return;
        auto &entry = it->second;
        const auto wasSpare = entry.spare.get() == link;
        if (wasSpare)
            entry.spare.reset();
        if (wasSpare ? entry.link != nullptr : entry.link.get() != link)
            return; // Released meanwhile, and perhaps replaced; or a spare that is not needed yet.
        entry.link.reset();
        if (end == LinkEnd::Graceful)
            return;
        entry.failures = std::min(entry.failures + 1, MaxDoublings);
        if (!std::exchange(entry.isDown, true))
            tell(node, false);
        if (!entry.spare) // One that is still being opened is the next try.
            scheduleReconnect(node, entry);
    }

    auto tell(const NodeId &node, bool isReachable) const -> void
    {
        if (m_observer)
            m_observer(node, isReachable);
    }

    auto scheduleReconnect(const NodeId &node, Entry &entry) -> void
    {
        entry.reconnect = std::make_shared<Timer>(m_context->io, backoff(entry.failures));
        entry.reconnect->async_wait([weak = weak_from_this(), node](auto ec) {
            const auto self = weak.lock();
            if (self && !ec)
                self->reconnect(node);
        });
    }

    auto reconnect(const NodeId &node) -> void
    {
        const auto it = m_entries.find(node);
        if (it == m_entries.end() || it->second.link)
            return;
        if (monotonicNow() - it->second.lastWanted <= SeekTime) {
            open(node, it->second);
            return;
        }
        m_entries.erase(it); // The next call opens it as if for the first time.
        tell(node, true);
    }

    /// Half of it is random, so that nodes that lost the same peer don't come back all at once.
    auto backoff(std::uint32_t failures) -> Duration
    {
        const auto longest = std::min(FirstBackoff * (1U << (failures - 1)), MaxBackoff);
        const auto half = static_cast<std::uint64_t>(longest.count() / 2);
        return Duration(half + randomBelow(m_random, half));
    }

    std::shared_ptr<PeerClientContext> m_context;
    LinkObserver m_observer;
    SilenceObserver m_silenceObserver;
    Random m_random;
    std::unordered_map<NodeId, Entry> m_entries;
    /// Released links, until the far end has closed too: a link that is let go of before may lose that it was closed.
    std::unordered_map<const PeerClientLink *, std::shared_ptr<PeerClientLink>> m_leaving;
};

PeerClient::PeerClient(asio::io_context &io, PeerSettings settings)
    : m_links(std::make_shared<Links>(io, std::move(settings)))
{}

PeerClient::~PeerClient()
{
    m_links->abort();
}

auto PeerClient::call(NodeId node, CallRequest request, CancellationPtr cancellation)
        -> Task<CallAnswer>
{
    return m_links->call(std::move(node), std::move(request), std::move(cancellation));
}

auto PeerClient::request(NodeId node, std::string topic, std::string payload, Duration timeout)
        -> Task<std::string>
{
    return m_links->request(std::move(node), std::move(topic), std::move(payload), timeout);
}

auto PeerClient::setLinkObserver(LinkObserver observer) -> void
{
    m_links->setObserver(std::move(observer));
}

auto PeerClient::setSilenceObserver(SilenceObserver observer) -> void
{
    m_links->setSilenceObserver(std::move(observer));
}

auto PeerClient::verifyLinks() -> void
{
    m_links->verifyLinks();
}

auto PeerClient::release(const NodeId &node) -> void
{
    m_links->release(node);
}

auto PeerClient::links() const -> std::uint32_t
{
    return m_links->links();
}

auto PeerClient::traffic() const -> PeerTraffic
{
    return m_links->traffic();
}

} // namespace stairspur::transport
