#pragma once

#include <cstdint>
#include <optional>

namespace stairspur::admission {

/// What a backend server states about itself in its answers.
struct BackendStatement
{
    /// Requests per second that it takes from all hosts together; empty: no limit.
    std::optional<double> rateLimit;
    bool isLeaving = false; ///< It takes no new requests any more.

    /// Returns whether the server states nothing.
    [[nodiscard]] auto isEmpty() const -> bool { return !rateLimit && !isLeaving; }

    auto operator==(const BackendStatement &) const -> bool = default;
};

/// A statement and the process instance of the backend server that made it. Gates report it to entries. Entries send it
/// back with their calls, so that a gate whose node has restarted knows it before the first answer.
struct InstanceStatement
{
    std::uint64_t instance = 0; ///< Hash of the process instance; 0: none, or one without a name.
    BackendStatement statement;

    auto operator==(const InstanceStatement &) const -> bool = default;
};

} // namespace stairspur::admission
