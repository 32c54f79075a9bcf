#pragma once

#include <map>
#include <set>
#include <string>
#include <vector>

namespace stairspur::config {

/// The calls between services, over all call paths. The graph never has a cycle.
class CallGraph
{
public:
    /// Adds a call and returns an empty list. A call that would close a cycle isn't added; the services of the cycle
    /// are returned in call order, with the first one again at the end.
    auto addCall(const std::string &from, const std::string &to) -> std::vector<std::string>;

private:
    /// Returns the services on a chain of calls from `from` to `to`, both included; empty when there is none.
    [[nodiscard]] auto findCallChain(const std::string &from, const std::string &to) const
            -> std::vector<std::string>;

    std::map<std::string, std::set<std::string>> m_callees;
};

} // namespace stairspur::config
