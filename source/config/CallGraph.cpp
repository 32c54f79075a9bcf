#include "CallGraph.h"

#include <algorithm>
#include <deque>

namespace stairspur::config {

auto CallGraph::addCall(const std::string &from, const std::string &to) -> std::vector<std::string>
{
    const auto callees = m_callees.find(from);
    if (callees != m_callees.end() && callees->second.contains(to))
        return {};
    auto cycle = findCallChain(to, from);
    if (!cycle.empty()) {
        cycle.push_back(to);
        return cycle;
    }
    m_callees[from].insert(to);
    return {};
}

auto CallGraph::findCallChain(const std::string &from, const std::string &to) const
        -> std::vector<std::string>
{
    auto callers = std::map<std::string, std::string>{{from, std::string()}};
    auto waiting = std::deque<std::string>{from};
    while (!waiting.empty() && !callers.contains(to)) {
        const auto service = waiting.front();
        waiting.pop_front();
        const auto callees = m_callees.find(service);
        if (callees == m_callees.end())
            continue;
        for (const auto &it : callees->second) {
            if (callers.emplace(it, service).second)
                waiting.push_back(it);
        }
    }
    if (!callers.contains(to))
        return {};
    auto chain = std::vector<std::string>();
    for (auto it = to; !it.empty(); it = callers.at(it))
        chain.push_back(it);
    std::ranges::reverse(chain);
    return chain;
}

} // namespace stairspur::config
