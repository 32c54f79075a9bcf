#include "RetryAfter.h"

#include <algorithm>
#include <cmath>

namespace stairspur::admission {

namespace {

/// Weight of one call in the share of refusals.
constexpr auto Weight = 0.01;

/// Lower bound of the share of served calls, which keeps the delay finite when all calls are refused.
constexpr auto MinServedShare = 0.01;

} // namespace

RetryAfter::RetryAfter(const AdmissionSettings &settings)
    : m_base(settings.retryAfterBase)
    , m_max(std::max(settings.retryAfterMax, settings.retryAfterBase))
{}

auto RetryAfter::didOffer() -> void
{
    m_refusedShare -= m_refusedShare * Weight;
}

auto RetryAfter::didRefuse(Random &random) -> Duration
{
    m_refusedShare = std::min(m_refusedShare + Weight, 1.0);
    const auto servedShare = std::max(1.0 - m_refusedShare, MinServedShare);
    // At n times the capacity, 1/n of the calls are served. Refused callers should then retry n times later.
    const auto delay = std::min(static_cast<double>(m_base.count()) / servedShare,
                                static_cast<double>(m_max.count()));
    const auto jitter = 0.5 + randomUnit(random) / 2;
    return Duration(std::max(1LL, std::llround(delay * jitter)));
}

} // namespace stairspur::admission
