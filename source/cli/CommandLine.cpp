#include <stairspur/cli/CommandLine.h>

#include <algorithm>
#include <optional>

#include <stairspur/cli/Flags.h>

namespace stairspur::cli {

static constexpr auto VariablePrefix = std::string_view("STAIRSPUR_");
static constexpr auto FlagPrefix = std::string_view("--");
static constexpr auto NegationPrefix = std::string_view("no");

static auto seeHelp(Command command) -> std::string
{
    return "see stairspur help " + std::string(nameOf(command));
}

static auto parseCommand(const Arguments &arguments) -> Command
{
    if (arguments.empty())
        throw UsageError("no command is given", "see stairspur help");
    const auto &name = arguments.front();
    if (name == "--help" || name == "-h")
        return Command::Help;
    if (name == "--version")
        return Command::Version;
    const auto command = fromName<Command>(name);
    if (!command)
        throw UsageError("unknown command " + name, "see stairspur help");
    return *command;
}

/// Goes through what stands behind the command.
class ArgumentReader
{
public:
    ArgumentReader(Command command, const Arguments &arguments)
        : m_command(command)
        , m_arguments(arguments)
    {}

    auto read() -> CommandLine
    {
        auto line = CommandLine{m_command, {}, {}};
        for (m_index = 1; m_index < m_arguments.size(); ++m_index) {
            const auto &it = m_arguments[m_index];
            if (!m_isBehindFlags && it == FlagPrefix)
                m_isBehindFlags = true;
            else if (!m_isBehindFlags && it.size() > 1 && it.front() == '-')
                addFlag(line, it);
            else
                addOperand(line, it);
        }
        if (line.operand.empty() && describe(m_command).isOperandNeeded)
            throw UsageError("no " + std::string(describe(m_command).operand) + " is given",
                             seeHelp(m_command));
        return line;
    }

private:
    auto addOperand(CommandLine &line, const std::string &operand) const -> void
    {
        if (operand.empty() || !line.operand.empty() || describe(m_command).operand.empty())
            throw UsageError("surplus argument '" + operand + "'",
                             "remove it; " + seeHelp(m_command));
        line.operand = operand;
    }

    auto addFlag(CommandLine &line, const std::string &argument) -> void
    {
        if (!argument.starts_with(FlagPrefix))
            throw UsageError("unknown flag " + argument,
                             "write flags with two hyphens; " + seeHelp(m_command));
        const auto text = std::string_view(argument).substr(FlagPrefix.size());
        const auto name = std::string(text.substr(0, text.find('=')));
        auto value = std::optional<std::string>();
        if (name.size() < text.size())
            value = text.substr(name.size() + 1);
        auto assignment = makeAssignment(name, value);
        if (std::ranges::find(line.assignments, assignment.flag, &Assignment::flag)
            != line.assignments.end())
            throw UsageError("flag --" + assignment.flag + " stands twice", "give it once");
        line.assignments.push_back(std::move(assignment));
    }

    auto makeAssignment(const std::string &name, const std::optional<std::string> &value)
            -> Assignment
    {
        if (const auto flag = findOwnFlag(name))
            return {flag->name, value ? *value : takeValue(*flag), "--" + flag->name};
        // `--nojson` stands for `--json=false`.
        const auto negated = name.starts_with(NegationPrefix) && !value
                                     ? findOwnFlag(name.substr(NegationPrefix.size()))
                                     : std::nullopt;
        if (negated && negated->isBoolean)
            return {negated->name, "false", "--" + name};
        if (findFlag(name))
            throw UsageError("flag --" + name + " is not one of the command "
                                     + std::string(nameOf(m_command)),
                             seeHelp(m_command));
        throw UsageError("unknown flag --" + name, seeHelp(m_command));
    }

    [[nodiscard]] auto findOwnFlag(std::string_view name) const -> std::optional<FlagDescription>
    {
        auto flag = findFlag(name);
        if (!flag || !hasFlag(describe(m_command), flag->name))
            return std::nullopt;
        return flag;
    }

    auto takeValue(const FlagDescription &flag) -> std::string
    {
        if (flag.isBoolean)
            return "true";
        if (m_index + 1 >= m_arguments.size() || m_arguments[m_index + 1].starts_with(FlagPrefix))
            throw UsageError("flag --" + flag.name + " has no value",
                             "write --" + flag.name + "=VALUE");
        return m_arguments[++m_index];
    }

    Command m_command;
    const Arguments &m_arguments;
    std::size_t m_index = 1;
    bool m_isBehindFlags = false;
};

/// The name of a variable's flag, or of none: `peer-port` of `STAIRSPUR_PEER_PORT`.
static auto flagOfVariable(const std::string &variable) -> std::string
{
    auto name = std::string();
    for (const auto it : variable.substr(VariablePrefix.size()))
        name.push_back(it >= 'A' && it <= 'Z' ? static_cast<char>(it - 'A' + 'a') : it);
    return name;
}

static auto addVariables(CommandLine &line, const Environment &environment) -> void
{
    for (const auto &[variable, value] : environment) {
        if (!variable.starts_with(VariablePrefix))
            continue;
        const auto flag = findFlag(flagOfVariable(variable));
        if (!flag || variableOf(flag->name) != variable)
            throw UsageError("unknown environment variable " + variable,
                             "unset it, or see docs/operations/settings.md for its right name");
        const auto isSet = std::ranges::find(line.assignments, flag->name, &Assignment::flag)
                           != line.assignments.end();
        // A variable may serve several commands: one without the flag passes it over.
        if (!isSet && hasFlag(describe(line.command), flag->name))
            line.assignments.push_back({flag->name, value, variable});
    }
}

auto parseCommandLine(const Arguments &arguments, const Environment &environment) -> CommandLine
{
    auto line = ArgumentReader(parseCommand(arguments), arguments).read();
    addVariables(line, environment);
    return line;
}

auto applyAssignments(const std::vector<Assignment> &assignments) -> void
{
    for (const auto &it : assignments) {
        if (setFlag(it.flag, it.value))
            continue;
        throw SettingError("the value of " + it.origin + " cannot be read",
                           findFlag(it.flag)->isBoolean ? "give true or false"
                                                        : "give a whole number from 0 on");
    }
}

} // namespace stairspur::cli
