#pragma once

#include <stairspur/admission/AdmissionController.h>
#include <stairspur/core/Random.h>
#include <stairspur/core/Time.h>

namespace stairspur::admission {

/// When a refused caller may come back: grows with the share of calls that is refused, with jitter, so that those who
/// were refused together do not come back together.
class RetryAfter
{
public:
    explicit RetryAfter(const AdmissionSettings &settings);

    /// A call was taken in (and perhaps refused later on).
    auto didOffer() -> void;

    /// A call was refused: the time to tell it, between half and the whole of the present delay.
    auto didRefuse(Random &random) -> Duration;

private:
    Duration m_base;
    Duration m_max;
    double m_refusedShare = 0;
};

} // namespace stairspur::admission
