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
    Rejected,   ///< Backend servers have received it, and each has proved that it did not run.
    MayHaveRun, ///< A send ran, or may still run. Nothing takes this back.
    SentAgain,  ///< A send is under way after one that may have run.
    Answered,   ///< The caller gets the backend server's answer.
    Promised,   ///< The caller is told that the attempt has not run and never will.
    GivenUp,    ///< The caller is told that the attempt may have run.
};

/// How a send has ended.
enum class SendEnd {
    NotArrived, ///< No backend server has received it, and none can receive it later.
    Rejected,   ///< A backend server has received it, and says that it did not run.
    MayHaveRun, ///< It failed, or its end is not known.
    Answered,
};

} // namespace stairspur::retry

template <>
inline constexpr auto stairspur::enumNames<stairspur::retry::AttemptStage> =
        std::array<std::string_view, 8>{"not-sent",   "sent",     "rejected", "may-have-run",
                                        "sent-again", "answered", "promised", "given-up"};

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

/// State machine of one attempt (docs/design/retries.md has the table). Only the stages NotSent and Rejected lead to a promise.
class AttemptProgress
{
public:
    /// `mustRunOnce`: the attempt is not sent again once it may have run.
    explicit AttemptProgress(bool mustRunOnce)
        : m_mustRunOnce(mustRunOnce)
    {}

    [[nodiscard]] auto stage() const -> AttemptStage { return m_stage; }

    /// Returns the number of sends.
    [[nodiscard]] auto sends() const -> std::uint32_t { return m_sends; }

    /// Returns whether a backend server has received the attempt, whether it ran it or not.
    [[nodiscard]] auto hasArrived() const -> bool { return m_hasArrived; }

    /// Returns whether the caller may be told that the attempt has not run and never will.
    [[nodiscard]] auto mayPromise() const -> bool;

    /// Returns whether a send may start.
    [[nodiscard]] auto maySend() const -> bool;

    /// Records the start of a send. Throws IllegalProgress unless maySend().
    auto didSend() -> void;

    /// Records the end of the send that is under way. Throws IllegalProgress if there is none.
    auto didEnd(SendEnd end) -> void;

    /// Records that the caller gets an answer without a send under way: a promise if one may be given. Returns whether it is.
    /// Throws IllegalProgress if the caller has its answer already.
    auto finish() -> bool;

private:
    bool m_mustRunOnce;
    AttemptStage m_stage = AttemptStage::NotSent;
    std::uint32_t m_sends = 0;
    bool m_hasArrived = false;
};

/// Returns how a send has ended, by what its answer says. An answer that contradicts itself counts as a run.
auto sendEndOf(Outcome outcome, Reason reason, bool wasDispatched) -> SendEnd;

} // namespace stairspur::retry
