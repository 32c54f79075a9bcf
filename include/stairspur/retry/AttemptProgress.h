#pragma once

#include <array>
#include <cstdint>
#include <string_view>

#include <stairspur/core/EnumNames.h>
#include <stairspur/core/Error.h>
#include <stairspur/core/Outcome.h>

/// What is known of the runs of one caller's attempt, over all sends of it.
namespace stairspur::retry {

enum class AttemptStage {
    NotSent,    ///< No backend server has received the attempt.
    Sent,       ///< A send is under way, and no earlier one may have run.
    Rejected,   ///< Backend servers have received it, and each has refused to run it.
    MayHaveRun, ///< A send ran, or may still run. Nothing takes this back.
    SentAgain,  ///< A send is under way after one that may have run.
    Answered,   ///< Ended with a backend server's answer.
    Refused,    ///< Ended without a run, now or later.
    GivenUp,    ///< Ended without an answer, and may have run.
};

/// How a send has ended.
enum class SendEnd {
    NotArrived, ///< No backend server has received it, and none can receive it later.
    Rejected,   ///< A backend server has received it and refused to run it.
    MayHaveRun, ///< It failed, or its end is not known.
    Answered,
};

} // namespace stairspur::retry

template <>
inline constexpr auto stairspur::enumNames<stairspur::retry::AttemptStage> =
        std::array<std::string_view, 8>{"not-sent",   "sent",     "rejected", "may-have-run",
                                        "sent-again", "answered", "refused",  "given-up"};

template <>
inline constexpr auto stairspur::enumNames<stairspur::retry::SendEnd> =
        std::array<std::string_view, 4>{"not-arrived", "rejected", "may-have-run", "answered"};

namespace stairspur::retry {

/// An event that the stage of the attempt does not allow, such as a second run of a call that must run once. A fault of the
/// program: the attempt has to end as one that may have run.
class IllegalProgress : public Error
{
public:
    IllegalProgress(AttemptStage stage, std::string_view event);
};

/// State machine of one attempt (docs/design/retries.md has the table). Only the stages NotSent and Rejected lead to Refused.
class AttemptProgress
{
public:
    /// `mustRunOnce`: the attempt is not sent again once it may have run.
    explicit AttemptProgress(bool mustRunOnce)
        : m_mustRunOnce(mustRunOnce)
    {}

    /// From now on the attempt is not sent again once it may have run.
    auto forbidRepeats() -> void { m_mustRunOnce = true; }

    [[nodiscard]] auto stage() const -> AttemptStage { return m_stage; }

    /// Returns the number of sends.
    [[nodiscard]] auto sends() const -> std::uint32_t { return m_sends; }

    /// Returns whether a backend server has received the attempt, whether it ran it or not.
    [[nodiscard]] auto hasArrived() const -> bool { return m_hasArrived; }

    /// Returns whether the attempt has provably not run, and never will if it is not sent again.
    [[nodiscard]] auto isProvenNotRun() const -> bool;

    /// Returns whether a send may start.
    [[nodiscard]] auto maySend() const -> bool;

    /// Records the start of a send. Throws IllegalProgress unless maySend().
    auto didSend() -> void;

    /// Records the end of the send that is under way. Throws IllegalProgress if there is none.
    auto didEnd(SendEnd end) -> void;

    /// Ends the attempt without an answer of a backend server. Returns isProvenNotRun(). Throws IllegalProgress if a send is under
    /// way or the attempt has ended.
    auto finish() -> bool;

private:
    bool m_mustRunOnce;
    AttemptStage m_stage = AttemptStage::NotSent;
    std::uint32_t m_sends = 0;
    bool m_hasArrived = false;
};

/// Returns how a send has ended, from the fields of its answer. `not-run` with `wasDispatched` is a contradiction and counts as a
/// run.
auto sendEndOf(Outcome outcome, Reason reason, bool wasDispatched) -> SendEnd;

} // namespace stairspur::retry
