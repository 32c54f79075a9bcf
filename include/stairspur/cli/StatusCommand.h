#pragma once

#include <cstdint>
#include <functional>
#include <string>

#include <stairspur/cli/AdminClient.h>
#include <stairspur/cli/CommandReport.h>

namespace stairspur::cli {

/// The configuration that the store has as the newest.
struct HeadSummary
{
    std::uint64_t version = 0; ///< 0: none was ever applied.
    std::string hash;
    std::string applyId;
};

/// Reads the head from the store. Throws Error when the store gives no answer.
using HeadReader = std::function<HeadSummary()>;

/// What the store and a node say, each with what was wrong if it gave no answer; `readHead` may be empty when no store
/// is set. The exit code is Unreachable when one that was asked gave none.
auto status(const HeadReader &readHead, const AdminSender &send) -> CommandReport;

/// The same with the store and the node that the flags name.
auto runStatus() -> CommandReport;

} // namespace stairspur::cli
