#pragma once

#include <string>
#include <string_view>

#include <stairspur/admission/BackendStatement.h>
#include <stairspur/transport/HeaderList.h>

namespace stairspur::node {

/// What one response of a backend server states about the server.
struct ResponseStatement
{
    admission::BackendStatement statement;
    std::string
            unreadableRate; ///< Value of a rate limit that isn't a decimal number; empty otherwise.
};

/// Names of the header fields by which a backend server states something about itself.
struct StatementFields
{
    std::string_view rateLimit; ///< Requests per second, a decimal number.
    std::string_view leaving;   ///< "1" if the server takes no new requests any more.
};

/// Returns what `headers` state. A rate limit that isn't one decimal number counts as unreadable.
auto readStatement(const transport::HeaderList &headers, const StatementFields &fields)
        -> ResponseStatement;

} // namespace stairspur::node
