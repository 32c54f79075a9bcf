#pragma once

#include <concepts>
#include <deque>
#include <unordered_set>
#include <vector>

#include <stairspur/admission/AdmissionController.h>

namespace stairspur::overload {

using admission::AdmissionActions;
using admission::AdmissionSettings;
using admission::CallOffer;
using admission::Completion;
using admission::LoadReport;

/// What the driver asks of a gate: the real controller, or one of the two below that it is compared with.
template <typename Gate>
concept AdmissionGate =
        std::constructible_from<Gate, const AdmissionSettings &>
        && requires(Gate gate, CallOffer offer, CallId id, TimePoint now, Random random,
                    std::vector<Level> floors, std::vector<PathFloor> pathFloors) {
               {
                   gate.offer(offer, now, random)
               } -> std::same_as<AdmissionActions>;
               {
                   gate.didComplete(id, Completion::Succeeded, Duration(0), now, random)
               } -> std::same_as<AdmissionActions>;
               {
                   gate.cancel(id, now, random)
               } -> std::same_as<AdmissionActions>;
               {
                   gate.advanceTo(now, random)
               } -> std::same_as<AdmissionActions>;
               {
                   gate.report(now)
               } -> std::same_as<LoadReport>;
               gate.setDeeperFloors(floors, pathFloors);
           };

/// A FIFO gate with a fixed limit and a bounded queue, which knows neither classes nor waits.
class FixedGate
{
public:
    explicit FixedGate(const AdmissionSettings &settings)
        : m_settings(settings)
    {}

    auto offer(const CallOffer &offer, TimePoint now, Random & /*random*/) -> AdmissionActions
    {
        auto actions = AdmissionActions();
        if (m_queue.size() >= m_settings.maxQueue)
            actions.refuse.push_back({offer.id, Reason::QueueFull, m_settings.retryAfterBase});
        else
            m_queue.push_back(offer);
        dispatch(now, actions);
        return actions;
    }

    auto didComplete(CallId id, Completion /*completion*/, Duration /*latency*/, TimePoint now,
                     Random & /*random*/) -> AdmissionActions
    {
        m_running.erase(id);
        auto actions = AdmissionActions();
        dispatch(now, actions);
        return actions;
    }

    auto cancel(CallId id, TimePoint /*now*/, Random & /*random*/) -> AdmissionActions
    {
        std::erase_if(m_queue, [&](const CallOffer &it) { return it.id == id; });
        return {};
    }

    auto advanceTo(TimePoint now, Random & /*random*/) -> AdmissionActions
    {
        auto actions = AdmissionActions();
        dispatch(now, actions);
        return actions;
    }

    auto setDeeperFloors(const std::vector<Level> & /*floors*/,
                         const std::vector<PathFloor> & /*pathFloors*/) -> void
    {}

    auto report(TimePoint /*now*/) -> LoadReport
    {
        auto report = LoadReport();
        report.sequence = ++m_sequence;
        report.limit = m_settings.reportedSlots;
        report.inFlight = static_cast<std::uint32_t>(m_running.size());
        report.queued = static_cast<std::uint32_t>(m_queue.size());
        return report;
    }

private:
    auto dispatch(TimePoint now, AdmissionActions &actions) -> void
    {
        while (!m_queue.empty() && m_running.size() < m_settings.reportedSlots) {
            const auto call = m_queue.front();
            m_queue.pop_front();
            if (call.deadline <= now) {
                actions.refuse.push_back(
                        {call.id, Reason::DeadlineExceeded, m_settings.retryAfterBase});
                continue;
            }
            m_running.insert(call.id);
            actions.dispatch.push_back(call.id);
        }
    }

    AdmissionSettings m_settings;
    std::deque<CallOffer> m_queue;
    std::unordered_set<CallId> m_running;
    std::uint64_t m_sequence = 0;
};

/// A gate that passes everything on: the backend server's own queue is the only one.
class OpenGate : public FixedGate
{
public:
    explicit OpenGate(const AdmissionSettings &settings)
        : FixedGate(withoutLimit(settings))
    {}

private:
    static auto withoutLimit(AdmissionSettings settings) -> AdmissionSettings
    {
        settings.reportedSlots = 1'000'000;
        return settings;
    }
};

static_assert(AdmissionGate<admission::AdmissionController>);
static_assert(AdmissionGate<FixedGate> && AdmissionGate<OpenGate>);

} // namespace stairspur::overload
