#include "QuarantineArchive.h"

#include <utility>

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <stairspur/log/Log.h>
#include <stairspur/transport/Timer.h>

namespace stairspur::node {

namespace asio = transport::asio;
using transport::Task;

static constexpr auto AllServicesPrefix = "/stairspur/quarantine/";
/// The longest lease that the users' platform grants, and twice the initial refusal time. A record that was not needed again
/// within this time may expire.
static constexpr auto KeyLifetime = Duration{600'000'000};
/// Time between two attempts at a failing store. One node writes each record, so no backoff is needed.
static constexpr auto RetryInterval = Duration{1'000'000};
/// Number of attempts before an operation is given up. The nodes have the decision in memory; only a restart of all of them
/// would need the key.
static constexpr auto MaxAttempts = 300;

QuarantineArchive::QuarantineArchive(asio::io_context &io, store::AnyStore &store, Restore restore)
    : m_io(io)
    , m_store(store)
    , m_restore(std::move(restore))
{}

auto QuarantineArchive::setService(const std::string &service) -> void
{
    if (service.empty() || service == m_service)
        return;
    m_service = service;
    asio::co_spawn(m_io, load(), asio::detached);
}

auto QuarantineArchive::prefix() const -> std::string
{
    return AllServicesPrefix + m_service + '/';
}

auto QuarantineArchive::load() -> Task<void>
{
    const auto keys = prefix();
    for (auto n = 0; n < MaxAttempts; ++n) {
        auto request = store::RangeRequest{keys, store::endOfPrefix(keys)};
        // Decisions of the last seconds come from the peers that made them.
        request.mayBeStale = true;
        const auto answer = co_await m_store.range(std::move(request));
        if (answer.isOk()) {
            for (const auto &it : answer.value.pairs)
                m_restore(it.value);
            co_return;
        }
        co_await sleep(RetryInterval);
    }
}

auto QuarantineArchive::save(const std::string &name, const std::string &saved) -> void
{
    const auto isBeingWritten = m_pendingRecords.contains(name);
    m_pendingRecords[name] = saved;
    if (!isBeingWritten)
        asio::co_spawn(m_io, writeUntilDone(name), asio::detached);
}

auto QuarantineArchive::writeUntilDone(std::string name) -> Task<void>
{
    const auto key = prefix() + name;
    for (auto n = 0; n < MaxAttempts; ++n) {
        const auto saved = m_pendingRecords.at(name);
        const auto isDone = saved.empty() ? co_await remove(key) : co_await write(key, saved);
        if (isDone && m_pendingRecords.at(name) == saved)
            break;
        if (!isDone)
            co_await sleep(RetryInterval);
    }
    m_pendingRecords.erase(name);
}

auto QuarantineArchive::write(const std::string &key, const std::string &saved) -> Task<bool>
{
    const auto lease = co_await m_store.grantLease(KeyLifetime);
    if (!lease.isOk())
        co_return false;
    const auto written = co_await m_store.put(key, saved, lease.value.lease);
    log::Line(log::Severity::Info, "quarantine-saved")
            .add("key", key)
            .add("written", written.isOk());
    co_return written.isOk();
}

auto QuarantineArchive::remove(const std::string &key) -> Task<bool>
{
    auto transaction = store::Transaction();
    transaction.operations.push_back({.isDelete = true, .key = key});
    const auto removed = co_await m_store.txn(std::move(transaction));
    log::Line(log::Severity::Info, "quarantine-saved")
            .add("key", key)
            .add("written", removed.isOk());
    co_return removed.isOk();
}

auto QuarantineArchive::sleep(Duration time) -> Task<void>
{
    auto timer = transport::Timer(m_io, time);
    co_await timer.async_wait(asio::as_tuple(asio::use_awaitable));
}

} // namespace stairspur::node
