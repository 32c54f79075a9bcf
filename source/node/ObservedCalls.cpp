#include "ObservedCalls.h"

#include <algorithm>

namespace stairspur::node {

auto ObservedCalls::didCall(ClassRank rank, const std::string &service, TimePoint now) -> void
{
    auto &calls = m_lastCalls[std::min(rank, MaxClassRank)];
    calls[service] = now;
}

auto ObservedCalls::servicesFor(ClassRank rank, TimePoint now) const -> std::vector<std::string>
{
    auto services = std::vector<std::string>();
    for (const auto &[service, lastCall] : m_lastCalls[std::min(rank, MaxClassRank)]) {
        if (now - lastCall < Memory)
            services.push_back(service);
    }
    return services;
}

} // namespace stairspur::node
