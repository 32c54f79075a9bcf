// Runs Criterion's tests under ThreadSanitizer. Criterion gives each test a process of its own whose memory it maps at
// addresses that ThreadSanitizer keeps for itself, so that its programs abort before the first test. This runner takes
// the place of those of its functions that the macros call: `PROGRAM --list` prints the names of the tests, and
// `PROGRAM SUITE::TEST` runs one in this process. Every assertion counts as it does with Criterion.
#include <algorithm>
#include <cstdarg>
#include <cstdio>
#include <cstdlib>
#include <span>
#include <string>

#include <criterion/criterion.h>
#include <criterion/event.h>

/// The linker's names for the section in which the macro Test puts a pointer to each test.
extern "C" criterion_test *__start_cr_tst; // NOLINT(bugprone-reserved-identifier)
extern "C" criterion_test *__stop_cr_tst;  // NOLINT(bugprone-reserved-identifier)

static auto failedAsserts = 0;

[[noreturn]] static auto endAsFailed() -> void
{
    std::fflush(nullptr);
    std::_Exit(EXIT_FAILURE);
}

extern "C" auto criterion_send_assert(criterion_assert_stats *stats) -> void
{
    if (stats->passed)
        return;
    ++failedAsserts;
    std::printf("# %s:%u: %s\n", stats->file, stats->line, stats->message);
}

extern "C" auto criterion_abort_test() -> void
{
    endAsFailed();
}

/// After a failed cr_expect the test goes on; the assertion is counted already.
extern "C" auto criterion_continue_test() -> void {}

extern "C" auto criterion_test_die(const char *format, ...) -> void
{
    va_list arguments;
    va_start(arguments, format);
    std::vprintf(format, arguments);
    va_end(arguments);
    endAsFailed();
}

extern "C" auto criterion_internal_test_setup() -> void {}

extern "C" auto criterion_internal_test_main(void (*test)()) -> void
{
    test();
}

extern "C" auto criterion_internal_test_teardown() -> void {}

static auto nameOf(const criterion_test &test) -> std::string
{
    return std::string(test.category) + "::" + test.name;
}

/// Fixtures, expected signals and the like are Criterion's to do; a test that asks for them must not pass without.
static auto isPlain(const criterion_test &test) -> bool
{
    const auto &it = *test.data;
    return it.kind_ == CR_TEST_NORMAL && !it.init && !it.fini && it.signal == 0 && it.exit_code == 0
           && !it.disabled;
}

static auto run(const criterion_test &test) -> int
{
    if (!isPlain(test)) {
        std::puts("# this runner knows neither fixtures nor expected signals");
        return EXIT_FAILURE;
    }
    test.test();
    return failedAsserts == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}

auto main(int argc, char **argv) -> int
{
    const auto wanted = std::string(argc > 1 ? argv[1] : "--list");
    for (auto *it : std::span(&__start_cr_tst, &__stop_cr_tst)) {
        if (!it)
            continue; // Padding of the section.
        if (wanted == "--list")
            std::puts(nameOf(*it).c_str());
        else if (nameOf(*it) == wanted)
            return run(*it);
    }
    return wanted == "--list" ? EXIT_SUCCESS : EXIT_FAILURE;
}
