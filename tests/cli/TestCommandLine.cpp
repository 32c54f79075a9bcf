#include <criterion/criterion.h>

#include <stairspur/cli/CommandLine.h>
#include <stairspur/cli/Flags.h>

using namespace stairspur;
using namespace stairspur::cli;

Test(CommandLine, flagsAndOperandsAreRead)
{
    struct
    {
        const char *name;
        Arguments arguments;
        Command command;
        std::string operand;
        std::vector<Assignment> assignments;
    } cases[] = {
            {"a value behind =",
             {"node", "--peer-port=1"},
             Command::Node,
             "",
             {{"peer-port", "1", "--peer-port"}}},
            {"a value of its own",
             {"node", "--peer-port", "1"},
             Command::Node,
             "",
             {{"peer-port", "1", "--peer-port"}}},
            {"with underscores",
             {"node", "--peer_port=1"},
             Command::Node,
             "",
             {{"peer-port", "1", "--peer-port"}}},
            {"an empty value", {"node", "--rack="}, Command::Node, "", {{"rack", "", "--rack"}}},
            {"a value with =",
             {"node", "--rack=a=b"},
             Command::Node,
             "",
             {{"rack", "a=b", "--rack"}}},
            {"no value needed",
             {"check", "--json", "f"},
             Command::Check,
             "f",
             {{"json", "true", "--json"}}},
            {"negated",
             {"check", "f", "--nojson"},
             Command::Check,
             "f",
             {{"json", "false", "--nojson"}}},
            {"behind --", {"check", "--", "--json"}, Command::Check, "--json", {}},
            {"standard input", {"check", "-"}, Command::Check, "-", {}},
            {"help by flag", {"--help"}, Command::Help, "", {}},
            {"help by letter", {"-h"}, Command::Help, "", {}},
            {"version by flag", {"--version"}, Command::Version, "", {}},
            {"help on a command", {"help", "node"}, Command::Help, "node", {}},
    };
    for (const auto &it : cases) {
        const auto line = parseCommandLine(it.arguments, {});
        cr_assert(line.command == it.command, "%s", it.name);
        cr_assert_eq(line.operand, it.operand, "%s", it.name);
        cr_assert(line.assignments == it.assignments, "%s", it.name);
    }
}

Test(CommandLine, whatIsUnknownIsRefusedWithItsRemedy)
{
    struct
    {
        Arguments arguments;
        Environment environment;
        const char *message;
    } cases[] = {
            {{}, {}, "no command is given; see stairspur help"},
            {{"nod"}, {}, "unknown command nod; see stairspur help"},
            {{"node", "--prt=1"}, {}, "unknown flag --prt; see stairspur help node"},
            {{"node", "-peer-port=1"},
             {},
             "unknown flag -peer-port=1; write flags with two hyphens; see stairspur help node"},
            {{"node", "--noseeds"}, {}, "unknown flag --noseeds; see stairspur help node"},
            {{"node", "--nojson"}, {}, "unknown flag --nojson; see stairspur help node"},
            {{"check", "--seeds=a", "f"},
             {},
             "flag --seeds is not one of the command check; see stairspur help check"},
            {{"node", "--flagfile=f"}, {}, "unknown flag --flagfile; see stairspur help node"},
            {{"node", "--seeds"}, {}, "flag --seeds has no value; write --seeds=VALUE"},
            {{"node", "--seeds", "--rack=a"}, {}, "flag --seeds has no value; write --seeds=VALUE"},
            {{"node", "--rack=a", "--rack=a"}, {}, "flag --rack stands twice; give it once"},
            {{"node", "f"}, {}, "surplus argument 'f'; remove it; see stairspur help node"},
            {{"check", "f", "g"}, {}, "surplus argument 'g'; remove it; see stairspur help check"},
            {{"check", ""}, {}, "surplus argument ''; remove it; see stairspur help check"},
            {{"check"}, {}, "no FILE is given; see stairspur help check"},
            {{"apply"}, {}, "no FILE is given; see stairspur help apply"},
            {{"version"},
             {{"STAIRSPUR_PRT", "1"}},
             "unknown environment variable STAIRSPUR_PRT; unset it, or see "
             "docs/operations/settings.md for its right name"},
            {{"node"},
             {{"STAIRSPUR_peer_port", "1"}},
             "unknown environment variable STAIRSPUR_peer_port; unset it, or see "
             "docs/operations/settings.md for its right name"},
            {{"node"},
             {{"STAIRSPUR_", "1"}},
             "unknown environment variable STAIRSPUR_; unset it, or see "
             "docs/operations/settings.md for its right name"},
            {{"node"},
             {{"STAIRSPUR_NOJSON", "1"}},
             "unknown environment variable STAIRSPUR_NOJSON; unset it, or see "
             "docs/operations/settings.md for its right name"},
    };
    for (const auto &it : cases) {
        try {
            parseCommandLine(it.arguments, it.environment);
            cr_assert_fail("accepted what should give: %s", it.message);
        } catch (const UsageError &error) {
            cr_assert_str_eq(error.what(), it.message);
        }
    }
}

Test(CommandLine, flagsWinOverVariablesAndVariablesOverDefaults)
{
    const auto environment = Environment{{"STAIRSPUR_PEER_PORT", "2"},
                                         {"STAIRSPUR_ENTRY_PORT", "3"},
                                         {"STAIRSPUR_JSON", "true"},
                                         {"HOME", "/"}};
    const auto line = parseCommandLine({"node", "--peer-port=1"}, environment);
    const auto wanted = std::vector<Assignment>{{"peer-port", "1", "--peer-port"},
                                                {"entry-port", "3", "STAIRSPUR_ENTRY_PORT"}};
    cr_assert(line.assignments == wanted);
    applyAssignments(line.assignments);
    cr_assert_eq(FLAGS_peer_port, 1);
    cr_assert_eq(FLAGS_entry_port, 3);
    cr_assert_eq(FLAGS_admin_port, 7102);
    cr_assert(!FLAGS_json); // `node` has no such flag.
}

Test(CommandLine, valuesThatATypeCannotHoldAreRefused)
{
    struct
    {
        Assignment assignment;
        const char *message;
    } cases[] = {
            {{"peer-port", "", "--peer-port"},
             "the value of --peer-port cannot be read; give a whole number from 0 on"},
            {{"peer-port", "7x", "--peer-port"},
             "the value of --peer-port cannot be read; give a whole number from 0 on"},
            {{"peer-port", "-1", "STAIRSPUR_PEER_PORT"},
             "the value of STAIRSPUR_PEER_PORT cannot be read; give a whole number from 0 on"},
            {{"peer-port", "4294967296", "--peer-port"},
             "the value of --peer-port cannot be read; give a whole number from 0 on"},
            {{"json", "perhaps", "STAIRSPUR_JSON"},
             "the value of STAIRSPUR_JSON cannot be read; give true or false"},
    };
    for (const auto &it : cases) {
        try {
            applyAssignments({it.assignment});
            cr_assert_fail("accepted %s", it.assignment.value.c_str());
        } catch (const SettingError &error) {
            cr_assert_str_eq(error.what(), it.message);
        }
    }
}

Test(CommandLine, everyFlagOfEveryCommandIsDefinedAndExplained)
{
    for (const auto &command : commandDescriptions()) {
        for (const auto &it : command.flags) {
            const auto flag = findFlag(it);
            cr_assert(flag && !flag->help.empty(), "%s", std::string(it).c_str());
        }
    }
}
