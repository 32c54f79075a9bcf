#include <criterion/criterion.h>

#include <sstream>

#include <gflags/gflags.h>

#include <stairspur/cli/HelpCommand.h>
#include <stairspur/cli/Run.h>

#include "config/ConfigurationTexts.h"

using namespace stairspur;
using namespace stairspur::cli;

/// What a run of the program gave.
struct Outcome
{
    int exitCode = 0;
    std::string out;
    std::string error;
    std::vector<node::NodeSettings> nodes; ///< Those that were run.
};

static auto runWith(const Arguments &arguments, const Environment &environment = {},
                    const std::string &input = {}) -> Outcome
{
    static constexpr auto NodeExitCode = 42;
    const auto saver = gflags::FlagSaver(); // A process runs one command; a test runs several.
    auto outcome = Outcome();
    auto in = std::istringstream(input);
    auto out = std::ostringstream();
    auto error = std::ostringstream();
    outcome.exitCode = run(arguments, environment, {in, out, error}, [&](const auto &settings) {
        outcome.nodes.push_back(settings);
        return NodeExitCode;
    });
    outcome.out = out.str();
    outcome.error = error.str();
    return outcome;
}

Test(Run, nodeIsRunWithItsSettings)
{
    const auto outcome =
            runWith({"node", "--peer-port=7200"}, {{"STAIRSPUR_FAILURE_DOMAIN", "bezigrad"},
                                                   {"STAIRSPUR_SEEDS", "192.0.2.8:7100"},
                                                   {"STAIRSPUR_PEER_PORT", "7300"}});
    cr_assert_eq(outcome.exitCode, 42);
    cr_assert_eq(outcome.nodes.size(), 1);
    cr_assert_eq(outcome.nodes.front().peerPort, 7200);
    cr_assert_eq(outcome.nodes.front().failureDomain, "bezigrad");
}

Test(Run, wrongSettingsEndWithTwoAndRunNothing)
{
    for (const auto &it :
         {Arguments{}, Arguments{"node"}, Arguments{"node", "--peer-port=x"},
          Arguments{"help", "nod"}, Arguments{"check"}, Arguments{"drain", "--admin=x"},
          Arguments{"check", "--json", "--peer-port=1", "f"}, Arguments{"apply", "-"},
          Arguments{"apply", "-", "--store=x"},
          Arguments{"apply", "-", "--store=http://192.0.2.1:1", "--expect-version=x"},
          Arguments{"apply", "-", "--store=http://192.0.2.1:1", "--minimum-version="},
          Arguments{"apply", "-", "--store=http://192.0.2.1:1", "--store-timeout=1"},
          Arguments{"status", "--watch", "--json"}, Arguments{"drain", "--watch"}}) {
        const auto outcome = runWith(it);
        cr_assert_eq(outcome.exitCode, 2);
        cr_assert(outcome.nodes.empty());
        cr_assert(outcome.out.empty());
        cr_assert(outcome.error.starts_with("stairspur: "));
        cr_assert(outcome.error.find("; ") != std::string::npos);
    }
}

Test(Run, checkSaysWhatItFound)
{
    const auto usable = runWith({"check", "-"}, {}, config::smallFile);
    cr_assert_eq(usable.exitCode, 0);
    cr_assert(usable.out.starts_with("-: usable, hash 12abd880"), "%s", usable.out.c_str());

    const auto faulty = runWith({"check", "-"}, {}, config::smallFile + "x = 1\n");
    cr_assert_eq(faulty.exitCode, 1);
    cr_assert_eq(faulty.error,
                 "-:7:1: service \"a\" has an unknown key \"x\"; remove it or use one of "
                 "idempotent, key-lifetime, limits, name\n-: not usable, 1 finding\n");
    cr_assert(faulty.out.empty());

    const auto missing = runWith({"check", "/no/such/file"});
    cr_assert_eq(missing.exitCode, 1);
    cr_assert_eq(missing.error, "stairspur: /no/such/file cannot be read; give the path of a "
                                "configuration file that you may read\n");
}

Test(Run, checkWritesJson)
{
    const auto faulty = runWith({"check", "--json", "-"}, {}, config::smallFile + "x = 1\n");
    cr_assert_eq(faulty.exitCode, 1);
    const auto json = nlohmann::json::parse(faulty.out);
    cr_assert_eq(json.at("outcome"), "failed");
    cr_assert_eq(json.at("findings").size(), 1);
    cr_assert_eq(json.at("findings")[0].at("line"), 7);
    cr_assert_eq(json.at("findings")[0].at("column"), 1);

    const auto missing = runWith({"check", "/no/such/file"}, {{"STAIRSPUR_JSON", "true"}});
    cr_assert_eq(missing.exitCode, 1);
    cr_assert_eq(nlohmann::json::parse(missing.out).at("outcome"), "failed");
}

Test(Run, helpAndVersionAreShown)
{
    cr_assert_eq(runWith({"--version"}).out, "stairspur 0.1.0\n");
    cr_assert_eq(nlohmann::json::parse(runWith({"version", "--json"}).out).at("version"), "0.1.0");
    const auto help = runWith({"help"});
    cr_assert_eq(help.exitCode, 0);
    for (const auto &it : commandDescriptions()) {
        const auto name = std::string(nameOf(it.command));
        cr_assert_neq(help.out.find("\n  " + name), std::string::npos, "%s", name.c_str());
        cr_assert_eq(runWith({"help", name}).exitCode, 0);
    }
}

Test(Run, aNodeOfTheSurroundingsIsRunInPlaceOfFlagsAndHelpTellsOfIt)
{
    auto out = std::stringstream();
    auto boot = BootNode{{}, "settings come from a file"};
    const auto run = [&](const Arguments &arguments) {
        out.str("");
        return cli::run(
                arguments, {}, {out, out, out}, [](const auto &) { return 8; }, boot);
    };
    cr_assert_eq(run({"help", "node"}), 0);
    cr_assert_neq(out.str().find(boot.help), std::string::npos);
    cr_assert_eq(run({"help", "apply"}), 0);
    cr_assert_eq(out.str().find(boot.help), std::string::npos);
    cr_assert_eq(run({"node", "--failure-domain=centre", "--seeds=192.0.2.8:7100"}), 8, "%s",
                 out.str().c_str());
    boot.run = [] { return 9; };
    cr_assert_eq(run({"node"}), 9);
}

Test(Run, environmentIsSplitAtTheFirstEqualsSign)
{
    const char *variables[] = {"A=b=c", "EMPTY=", "none", nullptr};
    const auto environment = readEnvironment(variables);
    cr_assert(environment == Environment({{"A", "b=c"}, {"EMPTY", ""}}));
}

Test(SettingsReference, pageIsCurrent)
{
    cr_assert_eq(config::readRepositoryFile("docs/operations/settings.md"), settingsReference(),
                 "run Meta/settings-reference.sh");
}
