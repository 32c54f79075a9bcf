#include "QuotaService.h"

#include <utility>
#include <vector>

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace stairspur::node {

using quota::QuotaDecision;

/// Time between two ticks, short compared to the 80 ms after which a token request is given up.
static constexpr auto TickInterval = Duration{20'000};

QuotaService::QuotaService(transport::asio::io_context &io, const NodeBoard &board, NodeId ownNode,
                           std::uint64_t seed, Send send)
    : m_io(io)
    , m_board(board)
    , m_ownNode(std::move(ownNode))
    , m_holder({}, seed, monotonicNow())
    , m_send(std::move(send))
    , m_ticker(io)
{}

auto QuotaService::refreshNodes(TimePoint now) -> void
{
    const auto generation = m_board.members.generation();
    if (generation != m_membersGeneration) {
        m_membersGeneration = generation;
        m_holder.setNodes(aliveNodes(*m_board.members.read()), now);
    }
    if (m_board.resumedAt.generation() == m_resumeGeneration)
        return;
    m_resumeGeneration = m_board.resumedAt.generation();
    if (const auto resumedAt = *m_board.resumedAt.read())
        m_holder.didResume(m_ownNode, *resumedAt);
}

auto QuotaService::admit(const std::string &caller, const config::RequestQuota &quota)
        -> transport::Task<QuotaDecision>
{
    const auto now = monotonicNow();
    refreshNodes(now);
    const auto request = ++m_lastRequest;
    const auto waiter = std::make_shared<Waiter>(m_io);
    m_waiters.emplace(request, waiter);
    m_holder.offer(request, caller, quota, now);
    flush();
    ensureTicking();
    auto ec = boost::system::error_code();
    if (!waiter->decision)
        co_await waiter->wakeUp.async_wait(
                transport::asio::redirect_error(transport::asio::use_awaitable, ec));
    m_waiters.erase(request);
    co_return waiter->decision.value_or(QuotaDecision());
}

auto QuotaService::returnToken(const std::string &caller, const QuotaDecision &decision) -> void
{
    m_holder.returnToken(caller, decision.tokenExpiry, monotonicNow());
    flush();
}

auto QuotaService::receive(const quota::TokenGrant &grant) -> void
{
    m_holder.receive(grant, monotonicNow());
    flush();
}

auto QuotaService::flush() -> void
{
    for (const auto &it : m_holder.takeDatagrams())
        m_send(it.to, it.payload);
    for (const auto &it : m_holder.takeDecisions()) {
        const auto found = m_waiters.find(it.request);
        if (found == m_waiters.end())
            continue;
        found->second->decision = it;
        found->second->wakeUp.cancel();
    }
}

auto QuotaService::ensureTicking() -> void
{
    if (m_isTicking)
        return;
    m_isTicking = true;
    m_ticker.expires_after(TickInterval);
    m_ticker.async_wait([this](const boost::system::error_code &ec) {
        if (ec)
            return;
        m_isTicking = false;
        const auto now = monotonicNow();
        refreshNodes(now);
        m_holder.tick(now);
        flush();
        if (m_holder.isActive(now))
            ensureTicking();
    });
}

} // namespace stairspur::node
