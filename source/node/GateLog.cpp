#include <stairspur/log/Log.h>

#include "Gate.h"

namespace stairspur::node {

using transport::CallAnswer;
using transport::CallRequest;

auto Gate::logRefusal(const CallRequest &request, const CallAnswer &answer) -> void
{
    if (!log::isDecisionSampled())
        return;
    const auto floor = answer.report->floorFor({request.level.rank(), request.floorPath()});
    log::Line(log::Severity::Info, "admission")
            .add("id", request.attemptId)
            .add("decision", "refuse")
            .add("reason", answer.reason)
            .add("service", request.service)
            .add("class", request.className)
            .add("level", request.level.value)
            .add("floor", floor.value)
            .add("retry_after_us", answer.retryAfter)
            .add("root", request.root.toString());
}

auto Gate::logUnrun(const std::string &attemptId, const std::string &instance, Reason reason)
        -> void
{
    log::Line(log::Severity::Info, "backend-not-run", log::LineKind::Audit)
            .add("id", attemptId)
            .add("reason", reason)
            .add("instance", instance)
            .add("service", m_backend.service);
}

} // namespace stairspur::node
