#pragma once

#include <cstdint>
#include <unordered_map>
#include <vector>

#include <stairspur/core/Identifiers.h>
#include <stairspur/quarantine/RequestFingerprint.h>

namespace stairspur::quarantine {

/// Who ran at one life of a backend server when it ended. The gate tells what it sees of each call and, once it knows, that the
/// process has gone.
///
/// A connection that breaks proves nothing by itself: resets, garbled answers and idle timeouts break connections of servers
/// that live on. So broken calls are only kept in mind until it shows which it was.
class CrashDetector
{
public:
    auto didSend(CallId id, const RequestFingerprint &fingerprint) -> void;
    /// A whole answer: neither this call nor one that had broken before it was sent has ended the server.
    auto didAnswer(CallId id) -> void;
    /// The call's connection ended without a whole answer. Whether the end of the server would explain it: not if that end
    /// was taken already.
    auto didBreak(CallId id) -> bool;
    /// It ended in another way: cancelled, timed out, never connected.
    auto didEndOtherwise(CallId id) -> void;

    /// The server's port refuses connections: it has ended under all calls that run or have broken. Gives their requests, each
    /// once, and starts anew.
    auto takeCrash() -> std::vector<RequestFingerprint>;
    /// Another life stands in its place, or it has left as it said before: with calls broken unexplained, its end explains
    /// them. Gives the requests of these, if `wasExpected` is not set, and starts anew.
    auto didReplace(bool wasExpected) -> std::vector<RequestFingerprint>;

private:
    struct Call
    {
        RequestFingerprint fingerprint;
        std::uint64_t breaksBefore = 0; ///< Breaks of this life when the call was sent.
    };
    struct Break
    {
        RequestFingerprint fingerprint;
        std::uint64_t ordinal = 0;
    };

    auto clear() -> void;

    std::unordered_map<CallId, Call> m_calls;
    std::vector<Break> m_broken;
    std::uint64_t m_breaks = 0;
};

} // namespace stairspur::quarantine
