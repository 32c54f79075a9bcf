#include <stairspur/log/Log.h>

#include <atomic>
#include <chrono>
#include <condition_variable>
#include <mutex>
#include <thread>
#include <vector>

#include <easylogging++.h>

#include <stairspur/core/TokenBucket.h>

INITIALIZE_EASYLOGGINGPP

namespace stairspur::log {

/// Maximum number of lines that wait for the writer. Further lines are dropped and counted, since logging must not
/// delay traffic.
static constexpr auto MaxPendingLines = std::size_t{20000};

/// Audit lines that may be written per second, and those that may be written at once after a quiet time.
static constexpr auto AuditLinesPerSecond = 500.0;
static constexpr auto AuditLineBurst = 5000.0;

/// Time for which the writer collects lines before it writes them in one batch. A wakeup and a system call for each
/// line would cost several times as much as the line itself. Warnings and errors are written immediately.
static constexpr auto BatchInterval = std::chrono::milliseconds(50);

struct PendingLine
{
    Severity severity;
    std::string text;
};

/// Formats and writes lines with easylogging++ on a dedicated thread.
class Writer
{
public:
    auto start(const LogSettings &settings) -> void
    {
        m_minimum = settings.minimum;
        m_decisionSample = settings.decisionSample == 0 ? 1 : settings.decisionSample;
        m_suffix = settings.node.empty() ? std::string() : " node=" + settings.node;
        configureLibrary();
        m_isStopping = false;
        m_thread = std::thread([this] { writeUntilStopped(); });
    }

    auto stop() -> void
    {
        if (!m_thread.joinable())
            return;
        {
            const auto lock = std::scoped_lock(m_mutex);
            m_isStopping = true;
        }
        m_wakeUp.notify_one();
        m_thread.join();
    }

    auto push(Severity severity, LineKind kind, std::string text) -> void
    {
        {
            const auto lock = std::scoped_lock(m_mutex);
            if (!admits(kind))
                return;
            m_pending.push_back({severity, std::move(text)});
            const auto wasUrgent = std::exchange(m_isUrgent, m_isUrgent || isUrgent(severity));
            if (m_pending.size() > 1 && wasUrgent == m_isUrgent)
                return; // The writer is already awake or has already been notified.
        }
        m_wakeUp.notify_one();
    }

    [[nodiscard]] auto isEnabled(Severity severity) const -> bool
    {
        return severity >= m_minimum.load();
    }

    auto isDecisionSampled() -> bool
    {
        return m_decisionCount.fetch_add(1, std::memory_order_relaxed) % m_decisionSample == 0;
    }

    [[nodiscard]] auto suffix() const -> const std::string & { return m_suffix; }

private:
    /// Counts a line against the bound of its kind. Returns whether it may be written.
    auto admits(LineKind kind) -> bool
    {
        if (kind == LineKind::Audit) {
            const auto isAdmitted = m_auditBudget.tryTake(monotonicNow());
            m_droppedAudit += isAdmitted ? 0 : 1;
            return isAdmitted;
        }
        const auto isAdmitted = m_ordinaryPending < MaxPendingLines;
        ++(isAdmitted ? m_ordinaryPending : m_dropped);
        return isAdmitted;
    }

    static auto isUrgent(Severity severity) -> bool { return severity >= Severity::Warning; }

    static auto configureLibrary() -> void
    {
        auto configuration = el::Configurations();
        configuration.setToDefault();
        configuration.setGlobally(el::ConfigurationType::Format,
                                  "time=%datetime{%Y-%M-%dT%H:%m:%s.%g} level=%levshort %msg");
        configuration.setGlobally(el::ConfigurationType::ToFile, "false");
        configuration.setGlobally(el::ConfigurationType::ToStandardOutput, "false");
        configuration.setGlobally(el::ConfigurationType::Enabled, "true");
        el::Loggers::reconfigureAllLoggers(configuration);
        el::Helpers::installLogDispatchCallback<BatchDispatch>("batch");
    }

    /// Collects formatted lines, so that a batch takes one write. By default easylogging++ writes each line separately.
    class BatchDispatch : public el::LogDispatchCallback
    {
    protected:
        auto handle(const el::LogDispatchData *data) -> void override
        {
            const auto *message = data->logMessage();
            batch() += message->logger()->logBuilder()->build(message, true);
        }
    };

    /// Returns the formatted lines of the current batch. Must only be called on the writer thread.
    static auto batch() -> std::string &
    {
        static auto text = std::string();
        return text;
    }

    auto writeUntilStopped() -> void
    {
        auto lock = std::unique_lock(m_mutex);
        while (true) {
            m_wakeUp.wait(lock, [this] { return m_isStopping || !m_pending.empty(); });
            m_wakeUp.wait_for(lock, BatchInterval, [this] { return m_isStopping || m_isUrgent; });
            if (m_pending.empty())
                return;
            auto lines = std::move(m_pending);
            m_pending.clear();
            m_isUrgent = false;
            m_ordinaryPending = 0;
            const auto dropped = std::exchange(m_dropped, 0);
            const auto droppedAudit = std::exchange(m_droppedAudit, 0);
            lock.unlock();
            for (const auto &it : lines)
                writeLine(it);
            if (dropped + droppedAudit > 0)
                writeLine({Severity::Warning,
                           "event=log-dropped lines=" + std::to_string(dropped)
                                   + " audit_lines=" + std::to_string(droppedAudit) + m_suffix});
            std::fwrite(batch().data(), 1, batch().size(), stdout);
            std::fflush(stdout);
            batch().clear();
            lock.lock();
        }
    }

    static auto writeLine(const PendingLine &line) -> void
    {
        switch (line.severity) {
        case Severity::Debug:
            LOG(DEBUG) << line.text;
            return;
        case Severity::Info:
            LOG(INFO) << line.text;
            return;
        case Severity::Warning:
            LOG(WARNING) << line.text;
            return;
        case Severity::Error:
            LOG(ERROR) << line.text;
            return;
        }
    }

    std::atomic<Severity> m_minimum = Severity::Info;
    std::atomic<std::uint32_t> m_decisionSample = 1;
    std::atomic<std::uint64_t> m_decisionCount = 0;
    std::string m_suffix;
    std::mutex m_mutex;
    std::condition_variable m_wakeUp;
    std::vector<PendingLine> m_pending;
    std::uint64_t m_ordinaryPending = 0;
    std::uint64_t m_dropped = 0;
    std::uint64_t m_droppedAudit = 0;
    TokenBucket m_auditBudget{AuditLinesPerSecond, AuditLineBurst};
    bool m_isUrgent = false;
    bool m_isStopping = false;
    std::thread m_thread;
};

static auto writer() -> Writer &
{
    static auto instance = Writer();
    return instance;
}

auto start(const LogSettings &settings) -> void
{
    writer().start(settings);
}

auto stop() -> void
{
    writer().stop();
}

auto isEnabled(Severity severity) -> bool
{
    return writer().isEnabled(severity);
}

auto isDecisionSampled() -> bool
{
    return writer().isDecisionSampled();
}

Line::Line(Severity severity, std::string_view event, LineKind kind)
    : m_severity(severity)
    , m_kind(kind)
    , m_isEnabled(log::isEnabled(severity))
{
    add("event", event);
}

Line::~Line()
{
    if (m_isEnabled)
        writer().push(m_severity, m_kind, std::move(m_text) + writer().suffix());
}

/// Returns whether `c` is printable ASCII. Other bytes are escaped, since some log readers break lines at U+0085 or
/// U+2028, and a caller's bytes may not be valid UTF-8.
static auto isPrintable(char c) -> bool
{
    return c >= ' ' && c <= '~';
}

static auto needsQuotes(std::string_view value) -> bool
{
    if (value.empty())
        return true;
    for (const auto it : value) {
        if (!isPrintable(it) || it == ' ' || it == '"' || it == '=' || it == '\\')
            return true;
    }
    return false;
}

static auto appendQuoted(std::string &text, std::string_view value) -> void
{
    static constexpr auto Digits = std::string_view("0123456789abcdef");
    text.push_back('"');
    for (const auto it : value) {
        const auto byte = static_cast<unsigned char>(it);
        if (it == '"' || it == '\\') {
            text.push_back('\\');
            text.push_back(it);
        } else if (!isPrintable(it)) {
            text += "\\x";
            text.push_back(Digits[byte >> 4]);
            text.push_back(Digits[byte & 0xf]);
        } else {
            text.push_back(it);
        }
    }
    text.push_back('"');
}

auto Line::add(std::string_view key, std::string_view value) -> Line &
{
    if (!m_isEnabled)
        return *this;
    if (!m_text.empty())
        m_text.push_back(' ');
    m_text.append(key).push_back('=');
    if (needsQuotes(value))
        appendQuoted(m_text, value);
    else
        m_text.append(value);
    return *this;
}

auto Line::add(std::string_view key, double value) -> Line &
{
    static constexpr auto BufferSize = 32;
    char buf[BufferSize];
    const auto n = std::snprintf(buf, sizeof buf, "%.6g", value);
    return add(key, std::string_view(buf, static_cast<std::size_t>(n)));
}

} // namespace stairspur::log
