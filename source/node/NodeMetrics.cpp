#include "NodeMetrics.h"

namespace stairspur::node {

template <NamedEnum Enum>
static auto renderCounters(std::string &text, std::string_view name, std::string_view label,
                           const EnumCounters<Enum> &counters) -> void
{
    text.append("# TYPE ").append(name).append(" counter\n");
    for (std::size_t index = 0; index < enumNames<Enum>.size(); ++index) {
        const auto n = counters.count(static_cast<Enum>(index));
        text.append(name)
                .append("{")
                .append(label)
                .append("=\"")
                .append(enumNames<Enum>[index])
                .append("\"} ");
        text.append(std::to_string(n)).append("\n");
    }
}

auto NodeMetrics::render() const -> std::string
{
    auto text = std::string();
    renderCounters(text, "stairspur_entry_refusals_total", "reason", m_entryRefusals);
    renderCounters(text, "stairspur_gate_refusals_total", "reason", m_gateRefusals);
    renderCounters(text, "stairspur_routes_total", "choice", m_routes);
    renderCounters(text, "stairspur_answers_total", "outcome", m_answers);
    renderCounters(text, "stairspur_backend_runs_total", "outcome", m_runs);
    return text;
}

} // namespace stairspur::node
