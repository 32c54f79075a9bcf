#pragma once

#include <memory>
#include <string>
#include <vector>

#include <stairspur/core/Random.h>
#include <stairspur/core/Time.h>

#include "../shared/HttpPool.h"
#include "BackendSettings.h"
#include "RunRecord.h"
#include "WorkerSlots.h"

namespace stairspur::standins {

/// How a backend server treats the calls that it runs.
enum class BackendMode {
    Ok,
    Fail, ///< Runs, then answers 500.
    Hang, ///< Runs until the caller leaves.
};

/// Serves one service with a limited number of workers: sheds, refuses expired work, notices callers that leave, calls
/// deeper services, and records what it ran.
class BackendServer
{
public:
    BackendServer(asio::io_context &io, BackendSettings settings);

    /// Answers one request; throws nothing.
    auto handle(const Request &request, CancellationPtr cancellation) -> Task<Response>;

    /// From now on nothing more is begun.
    auto drain() -> void { m_isDraining = true; }

    [[nodiscard]] auto isDraining() const -> bool { return m_isDraining; }
    [[nodiscard]] auto inFlight() const -> std::uint64_t
    {
        return m_slots.inUse() + m_slots.waiting();
    }
    [[nodiscard]] auto slots() const -> std::uint32_t { return m_slots.slots(); }
    [[nodiscard]] auto settings() const -> const BackendSettings & { return m_settings; }

private:
    struct Call;

    auto serveCall(Call &call) -> Task<Response>;
    auto runCall(Call &call) -> Task<Response>;
    auto work(Call &call) -> Task<void>;
    auto deeperServices(const Call &call) const -> std::vector<std::string>;
    auto callDeeper(Call &call, const std::string &service) -> Task<bool>;
    auto pause(Duration duration, const CancellationPtr &cancellation) -> Task<void>;
    auto control(const Request &request) -> Response;
    auto statsAnswer() const -> Response;
    auto runsAnswer() const -> Response;
    auto nextServiceTime() -> Duration;

    asio::io_context &m_io;
    BackendSettings m_settings;
    WorkerSlots m_slots;
    std::unique_ptr<HttpPool> m_entry; ///< Null when there are no deeper services.
    Random m_random;
    TimePoint m_startedAt;
    BackendMode m_mode = BackendMode::Ok;
    bool m_isDraining = false;
    RunRecord m_runs;
    BackendStatistics m_statistics;
};

} // namespace stairspur::standins
