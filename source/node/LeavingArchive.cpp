#include "LeavingArchive.h"

#include <utility>

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <stairspur/core/Error.h>
#include <stairspur/log/Log.h>
#include <stairspur/membership/LeavingMessage.h>
#include <stairspur/transport/Timer.h>

namespace stairspur::node {

namespace asio = transport::asio;
using transport::Task;

static constexpr auto KeyPrefix = "/stairspur/leaving/";
/// The replicas keep the records for as long. No heartbeat is delayed by so much.
static constexpr auto KeyLifetime = Duration{600'000'000};
/// Time between two attempts at a failing store. Only a node that has just started or whose backend server leaves has anything
/// to read or write, so no backoff is needed.
static constexpr auto RetryInterval = Duration{1'000'000};

LeavingArchive::LeavingArchive(asio::io_context &io, store::AnyStore &store, const NodeId &ownNode,
                               DidLoad didLoad, std::function<void()> didSave)
    : m_io(io)
    , m_store(store)
    , m_key(KeyPrefix + ownNode)
    , m_didLoad(std::move(didLoad))
    , m_didSave(std::move(didSave))
{
    m_isRunning = true;
    asio::co_spawn(m_io, run(), asio::detached);
}

auto LeavingArchive::save(Ids ids) -> void
{
    m_wanted = std::move(ids);
    if (!std::exchange(m_isRunning, true))
        asio::co_spawn(m_io, run(), asio::detached);
}

auto LeavingArchive::run() -> Task<void>
{
    while (!isSaved()) {
        if (co_await synchronize())
            continue;
        auto timer = transport::Timer(m_io, RetryInterval);
        co_await timer.async_wait(asio::as_tuple(asio::use_awaitable));
    }
    m_isRunning = false;
    m_didSave();
}

/// The record is read before anything is written, since a write replaces it.
auto LeavingArchive::synchronize() -> Task<bool>
{
    if (m_isLoaded)
        co_return co_await write();
    co_return co_await load();
}

static auto idsIn(const store::RangeAnswer &answer) -> LeavingArchive::Ids
{
    if (answer.pairs.empty())
        return {};
    try {
        return membership::readLeavingMessage(answer.pairs.front().value).ids;
    } catch (const InputError &error) {
        log::Line(log::Severity::Warning, "leaving-record-rejected")
                .add("key", answer.pairs.front().key)
                .add("error", error.what());
        return {};
    }
}

auto LeavingArchive::load() -> Task<bool>
{
    const auto answer = co_await m_store.range({.key = m_key, .rangeEnd = {}});
    if (!answer.isOk())
        co_return false;
    m_isLoaded = true;
    m_saved = idsIn(answer.value);
    if (m_wanted.empty())
        m_wanted = m_saved;
    m_didLoad(m_saved);
    co_return true;
}

auto LeavingArchive::write() -> Task<bool>
{
    const auto ids = m_wanted;
    const auto lease = co_await m_store.grantLease(KeyLifetime);
    if (!lease.isOk())
        co_return false;
    const auto record =
            membership::writeLeavingMessage({.isReply = false, .ids = ids, .replicas = {}});
    const auto written = co_await m_store.put(m_key, record, lease.value.lease);
    log::Line(log::Severity::Info, "leaving-saved")
            .add("instances", ids.size())
            .add("written", written.isOk());
    if (written.isOk())
        m_saved = ids;
    co_return written.isOk();
}

} // namespace stairspur::node
