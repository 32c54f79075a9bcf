#include "BackendServer.h"

#include <charconv>

#include <nlohmann/json.hpp>

#include <stairspur/core/EnumNames.h>
#include <stairspur/transport/HeaderList.h>

#include "../shared/Answer.h"
#include "../shared/IdempotencyKey.h"

template <>
inline constexpr auto stairspur::enumNames<stairspur::standins::BackendMode> =
        std::array<std::string_view, 3>{"ok", "fail", "hang"};

namespace stairspur::standins {

namespace header = transport::header;
using nlohmann::json;

namespace {

constexpr auto defaultTimeout = Duration(30'000'000);

auto makeAnswer(http::status status, std::string body) -> Response
{
    Response response;
    response.result(status);
    response.set(http::field::content_type, "application/json");
    response.body() = std::move(body);
    return response;
}

/// An answer that says that nothing was begun.
auto makeRefusal(http::status status, const std::string &detail) -> Response
{
    auto response = makeAnswer(status, json{{"detail", detail}}.dump());
    response.set(header::Outcome, "not-run");
    return response;
}

auto timeoutOf(const Request &request) -> Duration
{
    const auto text = std::string_view(request[header::Timeout]);
    std::int64_t milliseconds = 0;
    const auto [end, ec] = std::from_chars(text.data(), text.data() + text.size(), milliseconds);
    return ec == std::errc() ? std::chrono::milliseconds(milliseconds) : defaultTimeout;
}

} // namespace

/// One call, from its arrival to its answer.
struct BackendServer::Call
{
    const Request &request;
    CancellationPtr cancellation;
    TimePoint deadline;
    std::string nonce;
    std::string key;               ///< The call's own Idempotency-Key; may be empty.
    std::string seedKey;           ///< From which the keys of deeper calls derive; may be empty.
    std::vector<std::string> path; ///< Deeper services that the request itself names.
    std::uint64_t runs = 0;
    Duration worked{0}; ///< Own work and that of deeper services.
};

BackendServer::BackendServer(asio::io_context &io, BackendSettings settings)
    : m_io(io)
    , m_settings(std::move(settings))
    , m_slots(io, m_settings.slots, m_settings.queue)
    , m_random(m_settings.seed)
    , m_startedAt(monotonicNow())
{
    if (m_settings.entry)
        m_entry = std::make_unique<HttpPool>(io, *m_settings.entry);
}

auto BackendServer::handle(const Request &request, CancellationPtr cancellation) -> Task<Response>
{
    if (request.target() == "/stats")
        co_return statsAnswer();
    if (request.target() == "/runs")
        co_return runsAnswer();
    if (request.target() == "/control")
        co_return control(request);
    auto body = readRequestBody(request.body());
    const auto key = std::string(request[header::IdempotencyKey]);
    auto call = Call{.request = request,
                     .cancellation = std::move(cancellation),
                     .deadline = monotonicNow() + timeoutOf(request),
                     .nonce = body.nonce,
                     .key = key,
                     .seedKey = key.empty() ? body.key : key,
                     .path = std::move(body.path)};
    co_return co_await serveCall(call);
}

auto BackendServer::serveCall(Call &call) -> Task<Response>
{
    if (m_isDraining) {
        ++m_statistics.shed;
        co_return makeRefusal(http::status::service_unavailable, "draining");
    }
    const auto admission = co_await m_slots.acquire(call.cancellation);
    if (admission == WorkerSlots::Admission::Shed) {
        ++m_statistics.shed;
        co_return makeRefusal(http::status::service_unavailable,
                              "all slots and queue places are taken");
    }
    if (admission == WorkerSlots::Admission::Cancelled) {
        ++m_statistics.cancelled;
        co_return makeRefusal(http::status::service_unavailable, "cancelled while it waited");
    }
    if (monotonicNow() >= call.deadline) {
        m_slots.release();
        ++m_statistics.expired;
        co_return makeRefusal(http::status::gateway_timeout, "its timeout has passed");
    }
    const auto begunAt = monotonicNow();
    auto response = co_await runCall(call);
    const auto busy = (monotonicNow() - begunAt).count();
    m_slots.release();
    m_statistics.busyUs += busy;
    if (call.cancellation->isCancelled()) {
        ++m_statistics.cancelled;
        m_statistics.cancelledBusyUs += busy;
    }
    co_return response;
}

auto BackendServer::runCall(Call &call) -> Task<Response>
{
    call.runs = m_runs.begin(call.key, call.nonce);
    co_await work(call);
    for (const auto &it : deeperServices(call)) {
        if (call.cancellation->isCancelled() || !co_await callDeeper(call, it)) {
            ++m_statistics.failed;
            co_return makeAnswer(http::status::bad_gateway,
                                 json{{"detail", it + " failed"}}.dump());
        }
    }
    if (call.cancellation->isCancelled())
        co_return makeAnswer(http::status::bad_gateway, R"({"detail":"cancelled"})");
    if (m_mode == BackendMode::Fail) {
        ++m_statistics.failed;
        co_return makeAnswer(http::status::internal_server_error,
                             json{{"detail", "told to fail"}}.dump());
    }
    ++m_statistics.answered;
    auto response = makeAnswer(http::status::ok, makeAnswerBody(call.nonce, m_settings.service,
                                                                call.runs, m_settings.answerBytes));
    response.set(bodyHashHeader, toHex(hash64(response.body())));
    response.set(workHeader, std::to_string(call.worked.count()));
    if (m_settings.rateLimit > 0)
        response.set(header::RateLimit, std::to_string(m_settings.rateLimit));
    co_return response;
}

auto BackendServer::work(Call &call) -> Task<void>
{
    const auto begunAt = monotonicNow();
    const auto duration = m_mode == BackendMode::Hang ? Duration::max() : nextServiceTime();
    co_await pause(duration, call.cancellation);
    call.worked += monotonicNow() - begunAt;
}

auto BackendServer::pause(Duration duration, const CancellationPtr &cancellation) -> Task<void>
{
    asio::steady_timer timer(m_io);
    if (duration == Duration::max())
        timer.expires_at(asio::steady_timer::time_point::max());
    else
        timer.expires_after(duration);
    cancellation->onCancel([&timer] { timer.cancel(); });
    if (!cancellation->isCancelled())
        co_await timer.async_wait(asTuple);
    cancellation->onCancel({});
}

auto BackendServer::nextServiceTime() -> Duration
{
    const auto now = monotonicNow();
    const auto isCold = now - m_startedAt < std::chrono::milliseconds(m_settings.coldMs);
    const auto spread = 1.0 + m_settings.serviceJitter * (2.0 * randomUnit(m_random) - 1.0);
    const auto milliseconds =
            m_settings.serviceMs * spread * (isCold ? m_settings.coldFactor : 1.0);
    return Duration(static_cast<Duration::rep>(milliseconds * 1000.0));
}

/// What a call needs below: the next service of its own path, else those of the settings.
auto BackendServer::deeperServices(const Call &call) const -> std::vector<std::string>
{
    if (!m_entry)
        return {};
    if (!call.path.empty())
        return {call.path.front()};
    return m_settings.calls;
}

/// Calls one deeper service through the host's entry. Whether its whole own answer came.
auto BackendServer::callDeeper(Call &call, const std::string &service) -> Task<bool>
{
    const auto nonce = call.nonce + "/" + service;
    auto path = call.path;
    if (!path.empty())
        path.erase(path.begin());
    Request request(http::verb::post, "/call", 11);
    request.set(header::Service, service);
    for (const auto name : {header::Call, header::TraceParent}) {
        if (call.request.find(name) != call.request.end())
            request.set(name, call.request[name]);
    }
    const auto remaining = std::max(call.deadline - monotonicNow(), Duration(0));
    request.set(header::Timeout, std::to_string(toMilliseconds(remaining)));
    const auto key = call.seedKey.empty() ? makeIdempotencyKey(m_random)
                                          : deriveIdempotencyKey(call.seedKey, service);
    if (m_settings.keyed.contains(service))
        request.set(header::IdempotencyKey, key);
    request.body() = writeRequestBody({.nonce = nonce, .key = key, .path = std::move(path)}, 0);
    const auto exchange = co_await m_entry->exchange(request, call.deadline, call.cancellation);
    if (exchange.end != ExchangeEnd::Answered || exchange.response.result() != http::status::ok) {
        ++m_statistics.deeperFailed;
        co_return false;
    }
    const auto &response = exchange.response;
    if (!isAnswerTo(nonce, service, response.body(), std::string_view(response[bodyHashHeader]))) {
        ++m_statistics.deeperWrong;
        co_return false;
    }
    call.worked += Duration(std::strtoll(std::string(response[workHeader]).c_str(), nullptr, 10));
    co_return true;
}

auto BackendServer::control(const Request &request) -> Response
{
    const auto body = json::parse(request.body(), nullptr, false);
    if (!body.is_object())
        return makeAnswer(http::status::bad_request, R"({"detail":"send a JSON object"})");
    if (body.contains("serviceMs") && body["serviceMs"].is_number())
        m_settings.serviceMs = body["serviceMs"].get<double>();
    if (body.contains("rateLimit") && body["rateLimit"].is_number())
        m_settings.rateLimit = body["rateLimit"].get<double>();
    if (body.contains("slots") && body["slots"].is_number_unsigned())
        m_slots.setSlots(body["slots"].get<std::uint32_t>());
    if (body.contains("mode") && body["mode"].is_string()) {
        const auto mode = fromName<BackendMode>(body["mode"].get<std::string>());
        if (!mode)
            return makeAnswer(http::status::bad_request,
                              R"({"detail":"mode is ok, fail or hang"})");
        m_mode = *mode;
    }
    return statsAnswer();
}

auto BackendServer::statsAnswer() const -> Response
{
    json body = m_statistics;
    body["service"] = m_settings.service;
    body["runs"] = m_runs.total;
    body["slots"] = m_slots.slots();
    body["inFlight"] = m_slots.inUse();
    body["queued"] = m_slots.waiting();
    body["serviceMs"] = m_settings.serviceMs;
    body["mode"] = nameOf(m_mode);
    return makeAnswer(http::status::ok, body.dump());
}

auto BackendServer::runsAnswer() const -> Response
{
    const json body = {{"total", m_runs.total}, {"keys", m_runs.keys}, {"nonces", m_runs.nonces}};
    return makeAnswer(http::status::ok, body.dump());
}

} // namespace stairspur::standins
