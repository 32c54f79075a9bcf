#include <criterion/criterion.h>

#include <filesystem>
#include <fstream>
#include <iterator>
#include <regex>
#include <set>
#include <string>

/// Returns the root of the repository that this program was built in.
static auto repository() -> std::filesystem::path
{
    auto folder = std::filesystem::read_symlink("/proc/self/exe").parent_path();
    while (!std::filesystem::exists(folder / "docs/operations/logs.md"))
        folder = folder.parent_path();
    return folder;
}

static auto readFile(const std::filesystem::path &path) -> std::string
{
    auto file = std::ifstream(path);
    return {std::istreambuf_iterator<char>(file), {}};
}

/// Returns the row of `event` in the page, or an empty string.
static auto rowOf(const std::string &page, const std::string &event) -> std::string
{
    const auto at = page.find("\n| `" + event + "` |");
    return at == std::string::npos ? "" : page.substr(at + 1, page.find('\n', at + 1) - at - 1);
}

Test(LogPage, listsEachEventAndItsKeys)
{
    static const auto lines = std::regex(R"(log::Line\([^"]*"([^"]+)\"(?:,[^)]*)?\)([^;]*);)");
    static const auto keys = std::regex(R"(\.add\("([^"]+)\")");
    const auto root = repository();
    const auto page = readFile(root / "docs/operations/logs.md");
    auto found = std::set<std::string>();
    for (const auto &file : std::filesystem::recursive_directory_iterator(root / "source")) {
        if (!file.is_regular_file())
            continue;
        const auto text = readFile(file.path());
        for (auto it = std::sregex_iterator(text.begin(), text.end(), lines);
             it != std::sregex_iterator(); ++it) {
            const auto event = (*it)[1].str();
            const auto row = rowOf(page, event);
            found.insert(event);
            cr_expect(!row.empty(), "no row for %s", event.c_str());
            const auto calls = (*it)[2].str();
            for (auto key = std::sregex_iterator(calls.begin(), calls.end(), keys);
                 key != std::sregex_iterator(); ++key)
                cr_expect_neq(row.find("`" + (*key)[1].str() + "`"), std::string::npos,
                              "%s: no key %s", event.c_str(), (*key)[1].str().c_str());
        }
    }
    cr_assert_gt(found.size(), 20);
    cr_assert(found.contains("member"));
    cr_assert(found.contains("link-lost"));
}
