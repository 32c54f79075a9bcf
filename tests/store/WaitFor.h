#pragma once

#include <exception>
#include <optional>
#include <utility>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/io_context.hpp>

#include <stairspur/transport/Task.h>

namespace stairspur::store {

/// Runs a coroutine to its end on this thread and returns its value. Rethrows an exception of the coroutine.
template <typename Value>
auto waitFor(boost::asio::io_context &io, transport::Task<Value> task) -> Value
{
    auto result = std::optional<Value>();
    boost::asio::co_spawn(io, std::move(task), [&](std::exception_ptr error, Value value) {
        if (error)
            std::rethrow_exception(error);
        result = std::move(value);
    });
    while (!result)
        io.run_one();
    return std::move(*result);
}

} // namespace stairspur::store
