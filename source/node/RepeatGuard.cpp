#include "RepeatGuard.h"

#include "CallerAdmission.h"

namespace stairspur::node {

/// Returns whether `configuration` allows the call to run more than once. A call whose route or service it lacks may not.
static auto isIdempotent(const IncomingCall &call, const config::ConfigurationIndex &configuration)
        -> bool
{
    if (call.host.empty()) {
        const auto *service = configuration.findService(call.request.service);
        return service && service->isIdempotent;
    }
    const auto *route = configuration.findRoute(call.host, call.path);
    return route && route->isIdempotent;
}

auto RepeatGuard::reasonToRefuse(const IncomingCall &call) const -> RepeatRefusal
{
    if (call.request.mustRunOnce)
        return RepeatRefusal::MustRunOnce;
    // The proof is read before the configuration, so it is never newer than the configuration.
    const auto proof = *m_board.configurationProof.read();
    const auto configuration = *m_board.configuration.read();
    if (!configuration || !isIdempotent(call, *configuration))
        return RepeatRefusal::MustRunOnce;
    if (!isProofFresh(proof, m_settings.configurationBound, call.arrivedAt))
        return RepeatRefusal::OutdatedConfiguration;
    return RepeatRefusal::None;
}

} // namespace stairspur::node
