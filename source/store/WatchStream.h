#pragma once

#include <string>

#include <boost/asio/io_context.hpp>

#include <stairspur/store/StoreSettings.h>
#include <stairspur/store/StoreTypes.h>
#include <stairspur/transport/Cancellation.h>
#include <stairspur/transport/Task.h>

namespace stairspur::store {

/// Opens one watch and hands on its messages until it ends: the store closes it, it falls silent or is cancelled.
/// The unary client waits for whole answers; a watch's answer has no end, so its chunks are read here with Beast.
auto readWatch(transport::asio::io_context &io, const StoreSettings &settings, WatchRequest request,
               WatchHandler handler, transport::CancellationPtr cancellation)
        -> transport::Task<StoreResult<WatchEnd>>;

} // namespace stairspur::store
