#include <future>
#include <map>
#include <mutex>

#include "ProcessFleet.h"

/// Real processes: a node that got SIGTERM answers each request that it takes.
using namespace stairspur;
using namespace stairspur::platform;
using Clock = std::chrono::steady_clock;

/// A node that stops while its backend server works on long requests of other hosts' clients.
class StoppingNode
{
public:
    explicit StoppingNode(int network)
        : fleet(network)
        , m_host(fleet.hosts[0])
    {}

    ~StoppingNode()
    {
        for (auto &it : m_requests)
            it.wait();
    }

    StoppingNode(const StoppingNode &) = delete;
    auto operator=(const StoppingNode &) -> StoppingNode & = delete;

    /// Has all backend servers work on requests of another host for `length`.
    auto occupyBackends(std::chrono::milliseconds length) -> void
    {
        static constexpr auto RequestCount = 12;
        for (auto n = 0; n < RequestCount; ++n)
            start(fleet.hosts[1], "GET /v/long", length, 10s);
        ProcessFleet::waitUntil([&] {
            const auto lock = std::scoped_lock(m_mutex);
            return std::ranges::any_of(m_sent, [&](const auto &it) {
                return m_host.backends[0]->server->hasBegun(it.first);
            });
        });
    }

    /// Sends SIGTERM, and for `length` afterwards what `everyPause` sends.
    auto stop(std::chrono::milliseconds length, const std::function<void()> &everyPause) -> void
    {
        static constexpr auto Pause = 50ms;
        m_host.node->signal(SIGTERM);
        auto nextHeartbeat = Clock::now();
        for (const auto end = Clock::now() + length; Clock::now() < end;) {
            if (Clock::now() >= nextHeartbeat) {
                nextHeartbeat += ProcessFleet::HeartbeatInterval;
                fleet.sendOtherHeartbeats();
                if (!m_isSuspended)
                    ProcessFleet::beat(m_host, *m_host.backends[0], "ready");
            }
            everyPause();
            std::this_thread::sleep_for(Pause);
        }
    }

    /// Suspends or resumes the stopping node. Its heartbeats pause meanwhile, since nobody would answer them.
    auto setSuspended(bool isSuspended) -> void
    {
        m_isSuspended = isSuspended;
        m_host.node->signal(isSuspended ? SIGSTOP : SIGCONT);
    }

    auto signal(int number) const -> void { m_host.node->signal(number); }

    /// Sends a request through the stopping node, on a connection of its own.
    auto sendOrder(std::chrono::milliseconds work, std::chrono::milliseconds deadline) -> void
    {
        start(m_host, "POST /o/order", work, deadline);
    }

    /// Sends an order through the stopping node whose last byte follows at `end`.
    auto sendOrderSlowly(Clock::time_point end) -> void
    {
        const auto attempt = "slow" + std::to_string(m_requests.size());
        {
            const auto lock = std::scoped_lock(m_mutex);
            m_sent[attempt] = 0;
        }
        const auto head =
                "POST /o/slow HTTP/1.1\r\nHost: a.example\r\nX-Attempt-Id: " + attempt
                + "\r\nX-Deadline-Ms: 9000\r\nX-Work-Ms: 20\r\nContent-Length: 100\r\n\r\n";
        m_requests.push_back(std::async(std::launch::async, [this, attempt, head, end] {
            const auto status = exchangeSlowly(m_host.address, head, std::string(100, 'u'), end);
            const auto lock = std::scoped_lock(m_mutex);
            m_sent[attempt] = status;
        }));
    }

    /// Expects that each request through the stopping node that was begun has a response, and none a promise that is untrue.
    auto expectNothingLost() -> void
    {
        for (auto &it : m_requests)
            it.wait();
        auto served = 0;
        for (const auto &[attempt, status] : m_sent) {
            const auto hasBegun = std::ranges::any_of(fleet.hosts, [&](const auto &it) {
                return it.backends[0]->server->hasBegun(attempt);
            });
            served += status == 200 ? 1 : 0;
            cr_expect(status != 0 || !hasBegun, "%s was begun and has no response",
                      attempt.c_str());
            cr_expect(status != 503 || !hasBegun, "%s was begun and refused", attempt.c_str());
        }
        cr_assert_gt(served, 0);
    }

    [[nodiscard]] auto countOf(unsigned status) const -> std::ptrdiff_t
    {
        return std::ranges::count_if(m_sent,
                                     [status](const auto &it) { return it.second == status; });
    }

    ProcessFleet fleet;

private:
    /// Returns the status of the response; 0 without one. The body's bytes are sent one by one until `end`.
    static auto exchangeSlowly(const std::string &address, const std::string &head,
                               const std::string &body, Clock::time_point end) -> unsigned
    {
        auto io = boost::asio::io_context();
        auto socket = boost::asio::ip::tcp::socket(io);
        auto ec = boost::system::error_code();
        socket.connect({boost::asio::ip::make_address(address), EntryPort}, ec);
        const auto timeout = timeval{60, 0};
        ::setsockopt(socket.native_handle(), SOL_SOCKET, SO_RCVTIMEO, &timeout, sizeof(timeout));
        boost::asio::write(socket, boost::asio::buffer(head), ec);
        const auto begin = Clock::now();
        for (auto n = std::size_t{0}; n < body.size() && !ec; ++n) {
            std::this_thread::sleep_until(begin + (end - begin) * (n + 1) / body.size());
            boost::asio::write(socket, boost::asio::buffer(&body[n], 1), ec);
        }
        auto buffer = boost::beast::flat_buffer();
        auto response = PlatformResponse();
        boost::beast::http::read(socket, buffer, response, ec);
        return ec ? 0 : response.result_int();
    }

    auto start(const ProcessFleet::Host &host, const std::string &target,
               std::chrono::milliseconds work, std::chrono::milliseconds deadline) -> void
    {
        const auto attempt =
                target.substr(target.rfind('/') + 1) + std::to_string(m_requests.size());
        {
            const auto lock = std::scoped_lock(m_mutex);
            m_sent[attempt] = 0;
        }
        const auto text = target + " HTTP/1.1\r\nHost: a.example\r\nX-Attempt-Id: " + attempt
                          + "\r\nX-Deadline-Ms: " + std::to_string(deadline.count())
                          + "\r\nX-Work-Ms: " + std::to_string(work.count())
                          + "\r\nContent-Length: 0\r\n\r\n";
        m_requests.push_back(
                std::async(std::launch::async, [this, attempt, text, address = host.address] {
                    const auto response = exchange(address, EntryPort, text);
                    const auto lock = std::scoped_lock(m_mutex);
                    m_sent[attempt] = response ? response->result_int() : 0;
                }));
    }

    ProcessFleet::Host &m_host;
    bool m_isSuspended = false;
    std::mutex m_mutex;
    std::map<std::string, unsigned> m_sent; ///< Status by attempt id; 0 without a response.
    std::vector<std::future<void>> m_requests;
};

/// Guards against requests that are taken shortly before the process ends and end with it, because a long call at the own gate
/// keeps the entry open.
Test(StoppingNode, requestsAreRefusedThatCannotEndBeforeTheProcess)
{
    auto test = StoppingNode(110);
    test.occupyBackends(8s);
    test.stop(6500ms, [&] { test.sendOrder(800ms, 5s); });
    test.expectNothingLost();
    cr_expect_gt(test.countOf(503), 0, "it refuses once its notice is over");
}

/// Guards against requests that run at the end of the grace time and whose connection closes without a response.
Test(StoppingNode, whatRunsAtTheEndOfTheGraceTimeIsAnswered)
{
    auto test = StoppingNode(111);
    for (auto n = 0; n < 3; ++n)
        test.sendOrder(20ms, 5s);
    auto hasSentLongOnes = false;
    test.stop(6500ms, [&] {
        for (auto n = 0; n < 5 && !hasSentLongOnes; ++n)
            test.sendOrder(8s, 10s);
        hasSentLongOnes = true;
    });
    test.expectNothingLost();
    cr_expect_eq(test.countOf(502) + test.countOf(504), 5,
                 "nobody can promise that they did not run");
}

/// Guards against requests whose upload ends shortly before the process and that end with it.
Test(StoppingNode, uploadsThatEndLateInTheGraceTimeAreAnswered)
{
    auto test = StoppingNode(113);
    for (auto n = 0; n < 3; ++n)
        test.sendOrder(20ms, 5s);
    const auto begin = Clock::now();
    for (auto end = 500ms; end < 5'900ms; end += 200ms)
        test.sendOrderSlowly(begin + end);
    test.stop(6500ms, [] {});
    test.expectNothingLost();
    cr_expect_gt(test.countOf(200), 3, "those that end early are served");
}

/// Guards against requests that are lost because the process is suspended, or gets other signals, while it stops.
Test(StoppingNode, answersAllBesideASuspensionAndFurtherSignals)
{
    auto test = StoppingNode(112);
    test.occupyBackends(8s);
    const auto start = Clock::now();
    auto wasSuspended = false;
    auto wasResumed = false;
    test.stop(6500ms, [&] {
        test.sendOrder(800ms, 5s);
        if (!wasSuspended && Clock::now() - start > 2s) {
            wasSuspended = true;
            test.signal(SIGTERM);
            test.signal(SIGHUP);
            test.setSuspended(true);
        }
        if (!wasResumed && Clock::now() - start > 4s) {
            wasResumed = true;
            test.setSuspended(false);
        }
    });
    test.expectNothingLost();
}
