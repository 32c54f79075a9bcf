#include <cstdlib>
#include <filesystem>
#include <fstream>

#include <platform/LiveSettings.h>

#include <criterion/criterion.h>

using namespace stairspur;
using namespace stairspur::platform;
using node::ReloadCause;

static constexpr auto Boot = R"(
node: n1
ip: 10.0.0.1
zone: centre
region: r
listen: {outbound: "10.0.0.1:1", ready: "10.0.0.1:2", control: "10.0.0.1:3"}
internal_ports: [7000]
app_addr: "10.0.0.1:4"
platform: {address: "10.0.0.2:5"}
service: menu
limits: {memory_mb: 260, max_fds: 4100}
heartbeat_s: 1.5
)";

/// A settings file of its own for a test.
class SettingsFile
{
public:
    SettingsFile()
    {
        auto pattern = (std::filesystem::temp_directory_path() / "settings-XXXXXX").string();
        m_directory = ::mkdtemp(pattern.data());
    }
    ~SettingsFile() { std::filesystem::remove_all(m_directory); }
    SettingsFile(const SettingsFile &) = delete;
    auto operator=(const SettingsFile &) -> SettingsFile & = delete;

    [[nodiscard]] auto path() const -> std::string { return m_directory / "node.yaml"; }
    auto write(const std::string &text) const -> void { std::ofstream(path()) << text; }

private:
    std::filesystem::path m_directory;
};

static auto withSlack(int slack) -> std::string
{
    return std::string(Boot) + "bounds: [\"retry_slack=" + std::to_string(slack) + "\"]\n";
}

Test(LiveSettings, theRetryAllowanceIsTakenOverWithAndWithoutASignal)
{
    const auto file = SettingsFile();
    file.write(withSlack(49));
    auto live = LiveSettings(file.path(), readBootFile(file.path()));
    cr_assert_eq(live.retries().slack, 49);
    for (const auto cause : {ReloadCause::Timer, ReloadCause::Signal}) {
        const auto slack = cause == ReloadCause::Timer ? 60 : 70;
        file.write(withSlack(slack));
        cr_assert_neq(live.retries().slack, slack, "nobody has looked yet");
        live.reload(cause);
        cr_assert_eq(live.retries().slack, slack);
    }
}

Test(LiveSettings, aFileThatCannotBeUsedChangesNothing)
{
    const auto file = SettingsFile();
    file.write(withSlack(49));
    auto live = LiveSettings(file.path(), readBootFile(file.path()));
    for (const auto *text : {"", "[", "node: n1", "bounds: 7"}) {
        file.write(text);
        for (const auto cause : {ReloadCause::Timer, ReloadCause::Signal}) {
            live.reload(cause);
            cr_assert_eq(live.retries().slack, 49, "after '%s'", text);
        }
    }
    std::filesystem::remove(file.path());
    live.reload(ReloadCause::Timer);
    cr_assert_eq(live.retries().slack, 49);
    file.write(withSlack(50));
    live.reload(ReloadCause::Timer);
    cr_assert_eq(live.retries().slack, 50, "it is taken over once it can be read again");
}
