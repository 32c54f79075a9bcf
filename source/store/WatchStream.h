#pragma once

#include <string>

#include <boost/asio/io_context.hpp>

#include <stairspur/store/StoreSettings.h>
#include <stairspur/store/StoreTypes.h>
#include <stairspur/transport/Cancellation.h>
#include <stairspur/transport/Task.h>

namespace stairspur::store {

/// Opens one watch and calls `handler` with each message until the store closes the watch, its idle timeout passes or
/// it is cancelled. transport::HttpClient waits for complete responses. The response to a watch has no end, so this
/// function reads its chunks with Beast.
auto readWatch(transport::asio::io_context &io, const StoreSettings &settings, WatchRequest request,
               WatchHandler handler, transport::CancellationPtr cancellation)
        -> transport::Task<StoreResult<WatchEnd>>;

} // namespace stairspur::store
