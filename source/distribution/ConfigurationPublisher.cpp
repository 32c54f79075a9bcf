#include <stairspur/distribution/ConfigurationPublisher.h>

namespace stairspur::distribution {

/// Returns a description of the head for error messages.
static auto describe(const Head &head) -> std::string
{
    if (head.version == 0)
        return "no configuration was found in force";
    return "version " + std::to_string(head.version) + " is in force (hash " + head.hash
           + ", applied by " + head.appliedBy + " at " + std::to_string(head.appliedAtMs)
           + " ms since 1970)";
}

auto ensureInForce(const PublishResult &result) -> void
{
    switch (result.outcome) {
    case PublishOutcome::Applied:
    case PublishOutcome::AlreadyInForce:
        return;
    case PublishOutcome::Conflict:
        throw ConflictError(result.inForce,
                            "another configuration was applied first: " + describe(result.inForce),
                            "compare it with your file, then apply again");
    case PublishOutcome::StoreUnavailable:
        throw StoreUnavailableError("nothing was applied, because the platform's store cannot be "
                                    "reached ("
                                            + result.detail + ")",
                                    "apply the same file again when the store is reachable");
    case PublishOutcome::Unknown:
        throw ApplyUnknownError(
                "the store's answer was lost, so the file may or may not be in "
                "force ("
                        + result.detail + "); " + describe(result.inForce),
                "apply the same file again; this changes nothing if it is in force");
    case PublishOutcome::Rejected:
        throw ApplyRejectedError("the store refused the configuration (" + result.detail + ")",
                                 "run 'stairspur check' on the file and look at the store's log");
    }
}

} // namespace stairspur::distribution
