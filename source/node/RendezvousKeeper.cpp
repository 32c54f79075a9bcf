#include "RendezvousKeeper.h"

#include <charconv>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <stairspur/log/Log.h>

namespace stairspur::node {

namespace asio = transport::asio;
using membership::RendezvousAction;
using transport::Task;

static constexpr auto StepInterval = std::chrono::milliseconds(500);

RendezvousKeeper::RendezvousKeeper(asio::io_context &io, platform::EtcdStore &store, NodeId ownNode,
                                   std::string domain, HintsCallback didRead, std::uint64_t seed)
    : m_io(io)
    , m_store(store)
    , m_ownNode(std::move(ownNode))
    , m_prefix("/stairspur/rendezvous/" + std::move(domain) + "/")
    , m_didRead(std::move(didRead))
    , m_slots(m_settings, seed, monotonicNow())
    , m_timer(io)
{}

auto RendezvousKeeper::start() -> void
{
    asio::co_spawn(m_io, run(), asio::detached);
}

auto RendezvousKeeper::leave() -> void
{
    m_slots.leave(monotonicNow());
    m_timer.cancel();
}

auto RendezvousKeeper::run() -> Task<void>
{
    while (true) {
        co_await step();
        auto ec = boost::system::error_code();
        m_timer.expires_after(StepInterval);
        co_await m_timer.async_wait(asio::redirect_error(asio::use_awaitable, ec));
    }
}

auto RendezvousKeeper::step() -> Task<void>
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

auto RendezvousKeeper::keyOf(std::uint32_t slot) const -> std::string
{
    return m_prefix + std::to_string(slot);
}

auto RendezvousKeeper::read() -> Task<void>
{
    const auto answer = co_await m_store.range({m_prefix, platform::endOfPrefix(m_prefix)});
    if (!answer.isOk()) {
        m_slots.didFail(monotonicNow());
        co_return;
    }
    auto holders = std::vector<std::optional<NodeId>>(m_settings.slots);
    for (const auto &it : answer.value.pairs) {
        auto slot = std::uint32_t{0};
        const auto digits = std::string_view(it.key).substr(m_prefix.size());
        const auto ec = std::from_chars(digits.data(), digits.data() + digits.size(), slot).ec;
        if (ec == std::errc() && slot < holders.size())
            holders[slot] = it.value;
    }
    m_slots.didRead(holders, monotonicNow());
    m_didRead(m_slots.hints());
}

auto RendezvousKeeper::claim() -> Task<void>
{
    const auto sentAt = monotonicNow();
    const auto lease = co_await m_store.grantLease(m_settings.leaseTime);
    if (!lease.isOk()) {
        m_slots.didFail(monotonicNow());
        co_return;
    }
    auto transaction = platform::Transaction();
    const auto key = keyOf(m_slots.slot());
    auto absent = platform::Compare();
    absent.key = key;
    absent.target = platform::CompareTarget::Version;
    transaction.compares.push_back(absent);
    transaction.operations.push_back({false, key, m_ownNode, lease.value.lease});
    const auto written = co_await m_store.txn(transaction);
    if (!written.isOk() && written.status != platform::StoreStatus::CasFailed) {
        m_slots.didFail(monotonicNow());
        co_return;
    }
    m_lease = lease.value.lease;
    m_slots.didClaim(written.isOk(), sentAt, monotonicNow());
    log::Line(log::Severity::Info, "rendezvous-claim").add("key", key).add("taken", written.isOk());
    if (!written.isOk())
        co_await m_store.revokeLease(m_lease);
}

auto RendezvousKeeper::renew() -> Task<void>
{
    const auto sentAt = monotonicNow();
    const auto answer = co_await m_store.keepLeaseAlive(m_lease);
    if (answer.status == platform::StoreStatus::Rejected) {
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
