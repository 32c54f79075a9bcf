#pragma once

#include <cstdint>
#include <unordered_map>
#include <vector>

#include <stairspur/core/Identifiers.h>
#include <stairspur/quarantine/RequestFingerprint.h>

namespace stairspur::quarantine {

/// Finds the requests that were running at one process instance of a backend server when it crashed. The gate reports how
/// each call ended and, once it has detected it, that the process has exited.
///
/// A broken connection alone is no evidence of a crash: resets, malformed responses and idle timeouts also break connections
/// of servers that keep running. Calls with a broken connection are therefore recorded until a later event shows whether the
/// server crashed.
class CrashDetector
{
public:
    /// Records that a call was sent to the backend server.
    auto didSend(CallId id, const RequestFingerprint &fingerprint) -> void;
    /// Records that the call received a complete response. Neither this call nor one whose connection broke before this
    /// one was sent has crashed the server.
    auto didAnswer(CallId id) -> void;
    /// Records that the call's connection broke before a complete response. Returns whether a crash of the server could be
    /// the cause; false when the call was already reported as part of a crash.
    auto didLoseConnection(CallId id) -> bool;
    /// Records that the call ended in another way: it was cancelled, timed out, or never connected.
    auto didEndOtherwise(CallId id) -> void;

    /// Records that the server's port refuses connections: the server has crashed, and every running or broken call may have
    /// caused it. Returns their requests, sorted and each once, and removes all calls.
    auto takeSuspects() -> std::vector<RequestFingerprint>;
    /// Records that another process instance has replaced the server, or that the server has left. If connections of calls
    /// broke before and the replacement was not announced (`wasExpected` is false), the server crashed: returns the requests
    /// of all running and all broken calls, sorted and each once. Removes all calls.
    auto didReplaceBackend(bool wasExpected) -> std::vector<RequestFingerprint>;

private:
    struct Call
    {
        RequestFingerprint fingerprint;
        std::uint64_t breaksBefore = 0; ///< Value of m_breaks when the call was sent.
    };
    struct BrokenCall
    {
        RequestFingerprint fingerprint;
        std::uint64_t ordinal = 0; ///< Value of m_breaks that counts this one.
    };

    auto clear() -> void;

    std::unordered_map<CallId, Call> m_calls;
    std::vector<BrokenCall> m_broken;
    std::uint64_t m_breaks = 0; ///< Number of connections that broke.
};

} // namespace stairspur::quarantine
