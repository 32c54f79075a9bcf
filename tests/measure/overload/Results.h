#pragma once

#include <algorithm>
#include <array>
#include <cstdint>
#include <map>
#include <vector>

#include <stairspur/core/Outcome.h>

#include "RootRequest.h"

namespace stairspur::overload {

/// The course of one run, in virtual time.
struct Phases
{
    Duration warmUp{5'000'000};
    Duration before{5'000'000};
    Duration surge{30'000'000};
    Duration after{10'000'000};

    [[nodiscard]] auto surgeStart() const -> TimePoint { return TimePoint(warmUp + before); }
    [[nodiscard]] auto surgeEnd() const -> TimePoint { return surgeStart() + surge; }
    [[nodiscard]] auto end() const -> TimePoint { return surgeEnd() + after; }
};

/// What became of one class during the surge.
struct ClassResult
{
    std::uint64_t offered = 0;  ///< Requests that clients wanted answered.
    std::uint64_t answered = 0; ///< Whole and on time, at the first try or a later one.
    std::uint64_t tries = 0;
    std::map<Reason, std::uint64_t> endings; ///< Of the tries that were not answered.
    std::uint64_t lostBeforeStart =
            0; ///< Tries that ended without an answer and never ran anywhere.
    std::uint64_t lostAfterStart = 0; ///< The same, after a backend server had begun to work.

    [[nodiscard]] auto goodput() const -> double
    {
        return offered == 0 ? 1.0 : static_cast<double>(answered) / static_cast<double>(offered);
    }
};

/// What one run gave.
class Results
{
public:
    Results(const Phases &phases, std::size_t classes)
        : m_phases(phases)
        , m_answers(static_cast<std::size_t>(phases.end().time_since_epoch() / BinLength) + 1)
        , m_classes(classes)
    {}

    auto didOffer(ClassRank rank, TimePoint issuedAt) -> void
    {
        if (isInSurge(issuedAt))
            ++m_classes[rank].offered;
    }

    auto didTry(ClassRank rank, TimePoint issuedAt) -> void
    {
        if (isInSurge(issuedAt))
            ++m_classes[rank].tries;
    }

    auto didAnswer(ClassRank rank, TimePoint issuedAt, TimePoint now) -> void
    {
        if (isInSurge(issuedAt))
            ++m_classes[rank].answered;
        const auto bin = static_cast<std::size_t>(now.time_since_epoch() / BinLength);
        if (bin < m_answers.size())
            ++m_answers[bin];
    }

    auto didFail(ClassRank rank, TimePoint issuedAt, Reason reason) -> void
    {
        if (isInSurge(issuedAt))
            ++m_classes[rank].endings[reason];
    }

    /// All work for a try has been done.
    auto didSettle(const RootRequest &root, bool wasAnswered) -> void
    {
        const auto total = static_cast<double>((root.work + root.lateWork).count());
        m_work += total;
        m_wasted += wasAnswered ? static_cast<double>(root.lateWork.count()) : total;
        ++m_roots;
        m_dispatches += root.dispatches;
        m_maxDispatches = std::max(m_maxDispatches, root.dispatches);
        if (wasAnswered || !isInSurge(root.issuedAt))
            return;
        auto &ofClass = m_classes[root.rank];
        ++(root.dispatches > 0 ? ofClass.lostAfterStart : ofClass.lostBeforeStart);
    }

    [[nodiscard]] auto classes() const -> const std::vector<ClassResult> & { return m_classes; }

    /// Answers per second, whole and on time, over the whole surge.
    [[nodiscard]] auto surgeGoodput() const -> double
    {
        return rate(m_phases.surgeStart(), m_phases.surgeEnd());
    }

    /// Share of the backend servers' work that was done for tries which failed.
    [[nodiscard]] auto wastedShare() const -> double
    {
        return m_work > 0 ? m_wasted / m_work : 0.0;
    }

    [[nodiscard]] auto meanDispatches() const -> double
    {
        return m_roots == 0 ? 0.0
                            : static_cast<double>(m_dispatches) / static_cast<double>(m_roots);
    }

    [[nodiscard]] auto maxDispatches() const -> std::uint32_t { return m_maxDispatches; }

    /// From the surge's end to the start of the first second with 95 % of the answers of before. Negative: never.
    [[nodiscard]] auto recovery() const -> Duration
    {
        const auto wanted = RecoveredShare
                            * rate(m_phases.surgeStart() - m_phases.before, m_phases.surgeStart());
        for (auto it = m_phases.surgeEnd(); it + Second <= m_phases.end(); it += BinLength) {
            if (rate(it, it + Second) >= wanted)
                return it - m_phases.surgeEnd();
        }
        return Duration(-1);
    }

private:
    static constexpr auto BinLength = Duration(50'000);
    static constexpr auto Second = Duration(1'000'000);
    static constexpr auto RecoveredShare = 0.95;

    [[nodiscard]] auto isInSurge(TimePoint time) const -> bool
    {
        return m_phases.surgeStart() <= time && time < m_phases.surgeEnd();
    }

    [[nodiscard]] auto rate(TimePoint from, TimePoint to) const -> double
    {
        auto sum = std::uint64_t{0};
        for (auto bin = from.time_since_epoch() / BinLength;
             bin < to.time_since_epoch() / BinLength; ++bin)
            sum += m_answers[static_cast<std::size_t>(bin)];
        return static_cast<double>(sum) * 1e6 / static_cast<double>((to - from).count());
    }

    Phases m_phases;
    std::vector<std::uint64_t> m_answers; ///< By the time of the answer.
    std::vector<ClassResult> m_classes;
    double m_work = 0;
    double m_wasted = 0;
    std::uint64_t m_roots = 0;
    std::uint64_t m_dispatches = 0;
    std::uint32_t m_maxDispatches = 0;
};

} // namespace stairspur::overload
