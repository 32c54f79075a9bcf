#pragma once

#include <stairspur/admission/AdmissionController.h>
#include <stairspur/core/Random.h>
#include <stairspur/core/Time.h>

namespace stairspur::admission {

/// Computes the time after which a refused caller may retry. It grows with the share of refused calls, and has jitter so
/// that callers that were refused together don't retry together.
class RetryAfter
{
public:
    explicit RetryAfter(const AdmissionSettings &settings);

    /// Records that a call was offered. The call may be refused later.
    auto didOffer() -> void;

    /// Records that a call was refused, and returns its Retry-After, between half and all of the current delay.
    auto didRefuse(Random &random) -> Duration;

private:
    Duration m_base;
    Duration m_max;
    double m_refusedShare = 0;
};

} // namespace stairspur::admission
