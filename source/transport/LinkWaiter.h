#pragma once

#include <optional>

#include <boost/asio/io_context.hpp>

#include <stairspur/transport/Timer.h>

#include "PeerLink.h"

namespace stairspur::transport {

/// Somebody who waits for a link to be ready and then for an answer, each at most up to one deadline.
class LinkWaiter
{
public:
    LinkWaiter(asio::io_context &io, Duration atMost)
        : m_timer(io, atMost)
    {}

    /// Waits for wakeUp(). Whether the deadline has passed.
    auto wait() -> Task<bool>;
    auto wakeUp() -> void { m_timer.cancel(); }

    std::optional<LinkMessage> answer;
    bool isCancelled = false;
    bool isRequest = false;   ///< It waits for a reply, not for a call's answer.
    bool isUnarrived = false; ///< The far end never got its call, and never will.

private:
    Timer m_timer;
};

} // namespace stairspur::transport
