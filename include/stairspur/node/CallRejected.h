#pragma once

#include <string>

#include <stairspur/core/Error.h>
#include <stairspur/core/Outcome.h>

namespace stairspur::node {

/// Thrown for a request that is not a valid call. It ran nowhere; the remedy describes what to send instead.
class CallRejected : public Error
{
public:
    CallRejected(Reason reason, const std::string &problem, const std::string &remedy)
        : Error(problem, remedy)
        , m_reason(reason)
    {}

    [[nodiscard]] auto reason() const -> Reason { return m_reason; }

private:
    Reason m_reason;
};

} // namespace stairspur::node
