#include <stairspur/cli/CheckCommand.h>

#include <filesystem>
#include <fstream>
#include <iterator>

#include <stairspur/config/ConfigurationReader.h>
#include <stairspur/config/Sections.h>

namespace stairspur::cli {

static constexpr auto StandardInput = "-";

auto readFile(const std::string &file, std::istream &in) -> std::string
{
    if (file == StandardInput)
        return {std::istreambuf_iterator<char>(in), {}};
    auto ec = std::error_code();
    auto stream = std::ifstream(file, std::ios::binary);
    if (!stream || std::filesystem::is_directory(file, ec))
        throw CommandError(ExitCode::Failed, file + " cannot be read",
                           "give the path of a configuration file that you may read");
    return {std::istreambuf_iterator<char>(stream), {}};
}

static auto toJson(const config::Finding &finding) -> nlohmann::json
{
    return {{"file", finding.file},
            {"line", finding.line},
            {"column", finding.column},
            {"problem", finding.problem},
            {"remedy", finding.remedy}};
}

static auto reportFindings(const std::vector<config::Finding> &findings, const std::string &file)
        -> CommandReport
{
    auto report = CommandReport{ExitCode::Failed, {}, {{"file", file}}};
    auto &list = report.json["findings"] = nlohmann::json::array();
    for (const auto &it : findings) {
        report.text += it.toString() + '\n';
        list.push_back(toJson(it));
    }
    report.text += file + ": not usable, " + std::to_string(findings.size())
                   + (findings.size() == 1 ? " finding\n" : " findings\n");
    return report;
}

static auto reportContent(const config::Configuration &configuration, const std::string &file)
        -> CommandReport
{
    const auto hash = config::hashOf(config::splitIntoSections(configuration));
    auto report = CommandReport{ExitCode::Ok, file + ": usable, hash " + hash + '\n', {}};
    report.json = {{"file", file}, {"hash", hash}, {"findings", nlohmann::json::array()}};
    const auto count = [&](const char *name, std::size_t n) {
        report.json[name] = n;
        report.text += "  " + std::string(name) + ": " + std::to_string(n) + '\n';
    };
    count("failure-domains", configuration.domains.size());
    count("classes", configuration.classes.size());
    count("services", configuration.services.size());
    count("call-paths", configuration.paths.size());
    count("callers", configuration.callers.size());
    return report;
}

auto checkText(const std::string &text, const std::string &file) -> CommandReport
{
    const auto checked = config::checkConfiguration(text, file);
    if (!checked.isUsable())
        return reportFindings(checked.findings, file);
    return reportContent(checked.configuration, file);
}

} // namespace stairspur::cli
