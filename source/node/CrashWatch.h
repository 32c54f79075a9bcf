#pragma once

#include <memory>
#include <optional>

#include <boost/asio/io_context.hpp>

#include <stairspur/core/Identifiers.h>
#include <stairspur/quarantine/CrashDetector.h>
#include <stairspur/transport/HttpClient.h>
#include <stairspur/transport/Task.h>
#include <stairspur/transport/Timer.h>

#include "BackendAnswer.h"
#include "NodeBoard.h"
#include "QuarantineService.h"

namespace stairspur::node {

/// Detects crashes of the host's backend server when the connection of a call breaks, and reports the requests that ran to the
/// quarantine. Belongs to the gate's thread.
class CrashWatch
{
public:
    CrashWatch(transport::asio::io_context &io, QuarantineService &quarantine)
        : m_io(io)
        , m_quarantine(quarantine)
    {}

    /// Records that the backend server `former` has restarted or was replaced by another one.
    auto didReplace(const LocalBackend &former) -> void;

    /// Records that a call is sent to the current backend server.
    auto didSend(CallId id, const quarantine::RequestFingerprint &request) -> void
    {
        m_detector.didSend(id, request);
    }

    /// Records that a call has ended at `backend`, which is the current one. `failure` is set if it has no response.
    auto didEnd(CallId id, quarantine::RequestFingerprint request, const BackendResult &result,
                std::optional<transport::HttpFailure> failure, const LocalBackend &backend)
            -> transport::Task<void>;

private:
    auto probeBackend(const LocalBackend &backend) -> transport::Task<void>;

    transport::asio::io_context &m_io;
    QuarantineService &m_quarantine;
    quarantine::CrashDetector m_detector;
    std::uint64_t m_replacements = 0;
    /// Set while a probe of the backend server runs; cancelled once its result is available.
    std::shared_ptr<transport::Timer> m_probe;
};

} // namespace stairspur::node
