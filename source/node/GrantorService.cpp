#include "GrantorService.h"

#include <utility>
#include <variant>

#include <stairspur/core/Error.h>
#include <stairspur/log/Log.h>

namespace stairspur::node {

GrantorService::GrantorService(NodeBoard &board, NodeId ownNode, Duration suspensionLimit,
                               std::uint64_t epoch, Send send, DidGrant didGrant)
    : m_board(board)
    , m_ownNode(std::move(ownNode))
    , m_send(std::move(send))
    , m_didGrant(std::move(didGrant))
    , m_suspension(suspensionLimit, monotonicNow())
    , m_grantor(quota::QuotaSettings(), m_ownNode, monotonicNow(), epoch)
{}

auto GrantorService::requestTokens(const NodeId &grantor, const std::string &payload) -> void
{
    if (grantor == m_ownNode)
        receive(m_ownNode, payload);
    else
        m_send(grantor, payload);
}

auto GrantorService::receive(const NodeId &from, const std::string &payload) -> void
{
    try {
        std::visit([&](const auto &it) { process(from, it); }, quota::readMessage(payload));
    } catch (const InputError &error) {
        log::Line(log::Severity::Warning, "quota-message-rejected")
                .add("from", from)
                .add("error", error.what());
    }
}

auto GrantorService::process(const NodeId &from, const quota::TokenRequest &request) -> void
{
    const auto grant = grantFor(from, request);
    if (request.wanted == 0)
        return; // The request only returned tokens.
    if (from == m_ownNode)
        m_didGrant(grant);
    else
        m_send(from, quota::writeMessage(grant));
}

auto GrantorService::process(const NodeId & /*from*/, const quota::TokenGrant &grant) -> void
{
    m_didGrant(grant);
}

auto GrantorService::detectSuspension(TimePoint now) -> void
{
    if (!m_suspension.didRun(now))
        return;
    log::Line(log::Severity::Warning, "quota-grantor-resigned").add("node", m_ownNode);
    m_grantor.didResume(now);
    m_board.resumedAt.publish(now);
}

auto GrantorService::grantFor(const NodeId &from, const quota::TokenRequest &request)
        -> quota::TokenGrant
{
    const auto now = monotonicNow();
    detectSuspension(now);
    refreshNodes(now);
    const auto configuration = *m_board.configuration.read();
    const auto *caller = configuration ? configuration->findCaller(request.caller) : nullptr;
    if (!caller || !caller->quota)
        return {.number = request.number, .caller = request.caller, .isGrantor = false};
    return m_grantor.grantTokens(from, request, *caller->quota, now);
}

auto GrantorService::refreshNodes(TimePoint now) -> void
{
    const auto generation = m_board.members.generation();
    if (generation == m_membersGeneration)
        return;
    m_membersGeneration = generation;
    m_grantor.setNodes(aliveNodes(*m_board.members.read()), now);
}

} // namespace stairspur::node
