#pragma once

#include <cstdint>
#include <functional>
#include <string>

#include <stairspur/quota/QuotaGrantor.h>

#include "NodeBoard.h"

namespace stairspur::node {

/// Topic of the datagrams between hosts and the grantors of callers' quotas.
inline constexpr auto QuotaTopic = "quota";

/// Answers other hosts' asks for tokens, and takes the grants for this one. Belongs to the control thread.
class GrantorService
{
public:
    using Send = std::function<void(const NodeId &to, const std::string &payload)>;
    using DidGrant = std::function<void(const quota::TokenGrant &grant)>;

    /// `didGrant`: this host's entry got an answer.
    GrantorService(const NodeBoard &board, NodeId ownNode, Send send, DidGrant didGrant);

    /// Sends an ask of this host's entry, or answers it where this node is the grantor.
    auto ask(const NodeId &grantor, const std::string &payload) -> void;
    /// A datagram of another node.
    auto receive(const NodeId &from, const std::string &payload) -> void;

private:
    auto take(const NodeId &from, const quota::TokenRequest &request) -> void;
    auto take(const NodeId &from, const quota::TokenGrant &grant) -> void;
    auto answerTo(const quota::TokenRequest &request) -> quota::TokenGrant;
    auto refreshHosts(TimePoint now) -> void;

    const NodeBoard &m_board;
    NodeId m_ownNode;
    Send m_send;
    DidGrant m_didGrant;
    quota::QuotaGrantor m_grantor;
    std::uint64_t m_membersGeneration = 0;
};

} // namespace stairspur::node
