#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>

#include <boost/asio/io_context.hpp>

#include <stairspur/quota/QuotaHolder.h>
#include <stairspur/transport/Task.h>
#include <stairspur/transport/Timer.h>

#include "NodeBoard.h"

namespace stairspur::node {

/// Runs QuotaHolder for this host's entry: reads the nodes from the blackboard and suspends requests until they have a token.
/// Belongs to the entry's thread.
class QuotaService
{
public:
    /// Sends a datagram to the grantor, which may be this node.
    using Send = std::function<void(const NodeId &to, const std::string &payload)>;

    QuotaService(transport::asio::io_context &io, const NodeBoard &board, NodeId ownNode,
                 std::uint64_t seed, Send send);

    /// Waits until it is decided whether a request of the caller may run: immediately, within a few milliseconds, or at the
    /// latest after two unanswered token requests.
    auto admit(const std::string &caller, const config::RequestQuota &quota)
            -> transport::Task<quota::QuotaDecision>;

    /// Returns the token of an admitted request that was not executed.
    auto returnToken(const std::string &caller, const quota::QuotaDecision &decision) -> void;

    /// Processes a grant of a grantor.
    auto receive(const quota::TokenGrant &grant) -> void;

private:
    struct Waiter
    {
        explicit Waiter(transport::asio::io_context &io)
            : wakeUp(io, transport::Timer::time_point::max())
        {}

        std::optional<quota::QuotaDecision> decision;
        transport::Timer wakeUp;
    };

    auto refreshNodes(TimePoint now) -> void;
    auto flush() -> void;
    auto ensureTicking() -> void;

    transport::asio::io_context &m_io;
    const NodeBoard &m_board;
    NodeId m_ownNode;
    quota::QuotaHolder m_holder;
    Send m_send;
    transport::Timer m_ticker;
    bool m_isTicking = false;
    std::uint64_t m_membersGeneration = 0;
    std::uint64_t m_resumeGeneration = 0;
    quota::RequestNumber m_lastRequest = 0;
    std::unordered_map<quota::RequestNumber, std::shared_ptr<Waiter>> m_waiters;
};

} // namespace stairspur::node
