#pragma once

#include <map>
#include <set>
#include <string>
#include <vector>

namespace stairspur::config {

/// Which service calls which, over all call paths. Stays free of cycles.
class CallGraph
{
public:
    /// Adds a call. When it would close a cycle it is left out, and the services of the cycle are returned in order,
    /// the first one again at the end; else nothing.
    auto addCall(const std::string &from, const std::string &to) -> std::vector<std::string>;

private:
    /// The services on a way from `from` to `to`, both included; empty when there is none.
    [[nodiscard]] auto findWay(const std::string &from, const std::string &to) const
            -> std::vector<std::string>;

    std::map<std::string, std::set<std::string>> m_callees;
};

} // namespace stairspur::config
