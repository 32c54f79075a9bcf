#pragma once

#include <cstdint>
#include <functional>
#include <string>

#include <stairspur/core/SuspensionDetector.h>
#include <stairspur/quota/QuotaGrantor.h>

#include "NodeBoard.h"

namespace stairspur::node {

/// Topic of the datagrams between hosts and the grantors of callers' quotas.
inline constexpr auto QuotaTopic = "quota";

/// Grants the token requests of all hosts and receives the grants for this host. Belongs to the control thread.
class GrantorService
{
public:
    using Send = std::function<void(const NodeId &to, const std::string &payload)>;
    using DidGrant = std::function<void(const quota::TokenGrant &grant)>;

    /// `didGrant` is called with each grant for this host's entry. A pause of this process that is longer than
    /// `suspensionLimit` counts as a suspension. `epoch` differs between processes and is not 0.
    GrantorService(NodeBoard &board, NodeId ownNode, Duration suspensionLimit, std::uint64_t epoch,
                   Send send, DidGrant didGrant);

    /// Detects suspensions. Called several times within the suspension limit.
    auto tick() -> void { detectSuspension(monotonicNow()); }

    /// Sends a token request of this host's entry to the grantor, or processes it here if this node is the grantor.
    auto requestTokens(const NodeId &grantor, const std::string &payload) -> void;
    /// Processes a datagram of another node.
    auto receive(const NodeId &from, const std::string &payload) -> void;

private:
    auto process(const NodeId &from, const quota::TokenRequest &request) -> void;
    auto process(const NodeId &from, const quota::TokenGrant &grant) -> void;
    auto grantFor(const NodeId &from, const quota::TokenRequest &request) -> quota::TokenGrant;
    auto detectSuspension(TimePoint now) -> void;
    auto refreshNodes(TimePoint now) -> void;

    NodeBoard &m_board;
    NodeId m_ownNode;
    Send m_send;
    DidGrant m_didGrant;
    SuspensionDetector m_suspension;
    quota::QuotaGrantor m_grantor;
    std::uint64_t m_membersGeneration = 0;
};

} // namespace stairspur::node
