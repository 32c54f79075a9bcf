#include "RendezvousService.h"

#include <algorithm>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <stairspur/log/Log.h>

#include "RendezvousKeys.h"

namespace stairspur::node {

namespace asio = transport::asio;
using membership::RendezvousAction;
using transport::Task;

static constexpr auto AllDomainsPrefix = std::string_view("/stairspur/rendezvous/");
static constexpr auto MaxSearchDelay = Duration{600'000'000};
/// Longest and shortest time between two checks for a due action.
static constexpr auto MaxPause = Duration{200'000};
static constexpr auto MinPause = Duration{1'000};

static auto settingsWithSpread(Duration claimSpread) -> membership::RendezvousSettings
{
    auto settings = membership::RendezvousSettings();
    settings.claimSpread = claimSpread;
    return settings;
}

RendezvousService::RendezvousService(asio::io_context &io, store::AnyStore &store, NodeId ownNode,
                                     std::string domain, Duration claimSpread,
                                     HintsCallback didRead, std::uint64_t seed)
    : m_io(io)
    , m_store(store)
    , m_ownNode(std::move(ownNode))
    , m_prefix(std::string(AllDomainsPrefix) + std::move(domain) + "/")
    , m_didRead(std::move(didRead))
    , m_settings(settingsWithSpread(claimSpread))
    , m_slots(m_settings, seed, monotonicNow())
    , m_timer(io)
{}

auto RendezvousService::start() -> void
{
    asio::co_spawn(m_io, run(), asio::detached);
}

auto RendezvousService::leave() -> void
{
    m_slots.leave(monotonicNow());
    m_timer.cancel();
}

auto RendezvousService::run() -> Task<void>
{
    while (true) {
        co_await step();
        co_await searchOtherDomains();
        auto ec = boost::system::error_code();
        m_timer.expires_after(timeUntilNextStep());
        co_await m_timer.async_wait(asio::redirect_error(asio::use_awaitable, ec));
    }
}

/// Returns the time until the next action, with a resolution of a millisecond. The random delays keep the nodes of
/// a failure domain that starts at once from claiming its three keys all at once. With a resolution of 200 ms, 194 hosts
/// made 161 claims for 15 keys within a second, and each claim is three writes.
auto RendezvousService::timeUntilNextStep() const -> Duration
{
    const auto due = m_hasSeenOtherDomains ? m_slots.due() : std::min(m_slots.due(), m_nextSearch);
    return std::clamp(due - monotonicNow(), MinPause, MaxPause);
}

auto RendezvousService::step() -> Task<void>
{
    switch (m_slots.next(monotonicNow())) {
    case RendezvousAction::None:
        co_return;
    case RendezvousAction::Read:
        co_return co_await read();
    case RendezvousAction::Claim:
        co_return co_await claim();
    case RendezvousAction::Renew:
        co_return co_await renew();
    case RendezvousAction::Release:
        co_await m_store.revokeLease(m_lease);
        co_return;
    }
}

auto RendezvousService::keyOf(std::uint32_t slot) const -> std::string
{
    return m_prefix + std::to_string(slot);
}

auto RendezvousService::read() -> Task<void>
{
    const auto isRead = co_await readHolders();
    if (isRead)
        m_slots.didRead(m_holders, monotonicNow());
    else
        m_slots.didFail(monotonicNow());
}

/// Reads the keys of all failure domains. Those of the own domain are its slots; all of them are possible first peers.
auto RendezvousService::readHolders() -> Task<bool>
{
    const auto prefix = std::string(AllDomainsPrefix);
    auto request = store::RangeRequest{prefix, store::endOfPrefix(prefix)};
    request.mayBeStale = !m_didLoseClaim;
    const auto answer = co_await m_store.range(std::move(request));
    if (!answer.isOk())
        co_return false;
    m_nextSearch = std::max(m_nextSearch, monotonicNow() + m_searchDelay);
    const auto keys = readRendezvousKeys(answer.value.pairs, m_prefix, m_settings.slots);
    m_holders = keys.holders;
    m_hasSeenOtherDomains = m_hasSeenOtherDomains || keys.hasOtherDomains;
    if (keys.ignored != m_ignoredKeys)
        log::Line(log::Severity::Warning, "rendezvous-keys-ignored")
                .add("prefix", prefix)
                .add("ignored", keys.ignored)
                .add("remedy", "remove the keys that no node has written");
    m_ignoredKeys = keys.ignored;
    m_didRead(keys.hints);
    co_return true;
}

/// Reads the keys again until another domain is found. All domains may start at once, and their keys exist only after they
/// have been claimed.
auto RendezvousService::searchOtherDomains() -> Task<void>
{
    const auto now = monotonicNow();
    if (m_hasSeenOtherDomains || now < m_nextSearch)
        co_return;
    m_nextSearch = now + m_searchDelay;
    m_searchDelay = std::min(m_searchDelay * 2, MaxSearchDelay);
    co_await readHolders();
}

auto RendezvousService::claim() -> Task<void>
{
    const auto sentAt = monotonicNow();
    const auto lease = co_await m_store.grantLease(m_settings.leaseTime);
    if (!lease.isOk()) {
        m_slots.didFail(monotonicNow());
        co_return;
    }
    auto transaction = store::Transaction();
    const auto key = keyOf(m_slots.slot());
    auto absent = store::Compare();
    absent.key = key;
    absent.target = store::CompareTarget::Version;
    transaction.compares.push_back(absent);
    transaction.operations.push_back({false, key, m_ownNode, lease.value.lease});
    const auto written = co_await m_store.txn(transaction);
    if (!written.isOk() && written.status != store::StoreStatus::CasFailed) {
        m_slots.didFail(monotonicNow());
        co_return;
    }
    m_lease = lease.value.lease;
    m_didLoseClaim = !written.isOk();
    m_slots.didClaim(written.isOk(), sentAt, monotonicNow());
    log::Line(log::Severity::Info, "rendezvous-claim").add("key", key).add("taken", written.isOk());
    if (!written.isOk())
        co_await m_store.revokeLease(m_lease);
}

auto RendezvousService::renew() -> Task<void>
{
    const auto sentAt = monotonicNow();
    const auto answer = co_await m_store.keepLeaseAlive(m_lease);
    if (answer.status == store::StoreStatus::Rejected) {
        m_slots.didRenew(false, sentAt, monotonicNow());
        co_return;
    }
    if (!answer.isOk()) {
        m_slots.didFail(monotonicNow());
        co_return;
    }
    m_slots.didRenew(answer.value.timeToLive > Duration::zero(), sentAt, monotonicNow());
}

} // namespace stairspur::node
