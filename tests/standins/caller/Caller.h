#pragma once

#include <cstdint>
#include <fstream>
#include <memory>
#include <string>
#include <vector>

#include <nlohmann/json.hpp>

#include <stairspur/core/Random.h>
#include <stairspur/core/Time.h>

#include "../shared/HttpPool.h"
#include "CallerSettings.h"
#include "StreamReport.h"

namespace stairspur::standins {

/// Offers calls at random times that do not wait for answers (open loop), and checks every answer.
class Caller
{
public:
    Caller(asio::io_context &io, CallerSettings settings);

    /// Starts every stream; the io_context's run() ends with the last answer.
    auto start() -> void;

    [[nodiscard]] auto report() const -> nlohmann::json;
    /// Whether every call got exactly one answer, its own.
    [[nodiscard]] auto isSound() const -> bool;

private:
    struct Call;

    struct Target
    {
        Target(asio::io_context &io, const tcp::endpoint &endpoint)
            : pool(io, endpoint)
        {}

        HttpPool pool;
        TimePoint downUntil; ///< It refused a connection; others are tried until then.
    };

    enum class Step {
        Done,
        Again,
    };

    auto offer(std::size_t stream) -> Task<void>;
    auto makeCall(Call call) -> Task<void>;
    auto attempt(Call &call) -> Task<Step>;
    auto chooseTarget() -> Target &;
    auto makeRequest(const Call &call) const -> Request;
    auto judge(Call &call, const Exchange &exchange, Duration took) -> Step;
    auto judgeRefusal(Call &call, const Response &response) -> Step;
    auto finish(Call &call) -> void;
    auto didEndStream() -> void;

    asio::io_context &m_io;
    CallerSettings m_settings;
    std::vector<std::unique_ptr<Target>> m_targets;
    std::vector<StreamReport> m_reports; ///< By stream.
    std::ofstream m_record;
    asio::signal_set m_signals;
    Random m_random;
    TimePoint m_startedAt;
    std::string m_runPrefix; ///< Makes nonces unique between runs.
    std::uint64_t m_nextNonce = 0;
    std::uint32_t m_outstanding = 0;
    std::uint64_t m_notOffered =
            0; ///< Due while too many were outstanding: the caller was too slow.
    std::size_t m_openStreams = 0;
    bool m_isStopped = false;
};

} // namespace stairspur::standins
