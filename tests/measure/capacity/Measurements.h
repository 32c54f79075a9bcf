#pragma once

namespace stairspur::capacity {

/// What a node keeps: of each member, service, caller and upstream.
auto measureState() -> void;

/// What a decision costs: a datagram, a choice of an upstream, an admission.
auto measureDecisions() -> void;

/// What links and calls on their way hold, over loopback in this process.
auto measureLinks() -> void;

} // namespace stairspur::capacity
