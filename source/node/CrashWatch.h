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

/// Finds out whether the host's backend server has ended, when the connection of a call breaks, and tells the quarantine under which
/// requests. Belongs to the gate's thread.
class CrashWatch
{
public:
    CrashWatch(transport::asio::io_context &io, QuarantineService &quarantine)
        : m_io(io)
        , m_quarantine(quarantine)
    {}

    /// Another life of the backend server, or another server, stands here from now on.
    auto didReplace(const LocalBackend &former) -> void;

    /// A call is sent to the present backend server.
    auto didSend(CallId id, const quarantine::RequestFingerprint &request) -> void
    {
        m_detector.didSend(id, request);
    }

    /// A call has ended at `backend`, which is the present one; `failure`: it has no answer.
    auto didEnd(CallId id, quarantine::RequestFingerprint request, const BackendVerdict &verdict,
                std::optional<transport::HttpFailure> failure, const LocalBackend &backend)
            -> transport::Task<void>;

private:
    auto lookForCrash(const LocalBackend &backend) -> transport::Task<void>;

    transport::asio::io_context &m_io;
    QuarantineService &m_quarantine;
    quarantine::CrashDetector m_detector;
    std::uint64_t m_replacements = 0;
    /// While it is being found out whether the backend server has ended; cancelled when that is known.
    std::shared_ptr<transport::Timer> m_probe;
};

} // namespace stairspur::node
