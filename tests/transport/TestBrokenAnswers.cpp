#include <criterion/criterion.h>

#include <random>
#include <vector>

#include <stairspur/transport/HttpClient.h>

#include "../standins/platform/MalformedAnswers.h"
#include "../standins/platform/ScriptedUpstream.h"
#include "Loop.h"

/// Answers that are cut off or malformed, and what the client makes of them.
using namespace stairspur;
using namespace stairspur::transport;
using namespace stairspur::transport::test;
using standin::Ending;
using standin::Script;
using standin::ScriptedUpstream;
using std::chrono::milliseconds;

/// Longer than the socket buffers of both ends together.
static constexpr auto UploadBytes = std::size_t{24} << 20U;
static constexpr auto UnacknowledgedTimeout = Duration(300'000);

/// A request with its answer, or with what went wrong.
struct Result
{
    std::optional<HttpResponse> response;
    std::optional<HttpFailure> failure;
    Duration duration{0};
};

/// Sends one request to a server that follows `script`.
static auto send(const Script &script, HttpRequest request) -> Result
{
    auto io = asio::io_context();
    auto server = ScriptedUpstream(io, "127.0.0.1");
    server.setScript(script);
    auto client =
            HttpClient(io, {.port = server.port(), .unacknowledgedTimeout = UnacknowledgedTimeout});
    const auto begin = monotonicNow();
    auto result = Result();
    try {
        result.response =
                runTask(io, client.send(std::move(request), Duration(10'000'000), nullptr));
    } catch (const HttpClientError &error) {
        result.failure = error.failure();
    }
    result.duration = monotonicNow() - begin;
    return result;
}

static auto upload(std::size_t bytes = UploadBytes) -> HttpRequest
{
    return {.method = "POST",
            .target = "/",
            .headers = {},
            .body = std::string(bytes, 'u'),
            .remoteAddress = {}};
}

static auto get() -> HttpRequest
{
    return {.method = "GET", .target = "/", .headers = {}, .body = {}, .remoteAddress = {}};
}

struct Case
{
    const char *name;
    Script script;
};

static auto cutAnswers() -> std::vector<Case>
{
    const auto part = std::string("HTTP/1.1 200 OK\r\n\r\npart");
    return {
            {"reset at once", {.answer = part, .ending = Ending::Reset}},
            {"reset later",
             {.answer = part, .ending = Ending::Reset, .pauseBeforeEnd = milliseconds(50)}},
            {"reset after some of the upload was read",
             {.answer = part, .ending = Ending::Reset, .readBytes = std::size_t{1} << 20U}},
            {"long part",
             {.answer = part + std::string(std::size_t{256} << 10U, 'p'),
              .ending = Ending::Reset,
              .pauseBeforeEnd = milliseconds(20)}},
            {"closed with unread bytes",
             {.answer = part, .ending = Ending::Close, .pauseBeforeEnd = milliseconds(5)}},
            {"HTTP/1.0", {.answer = "HTTP/1.0 200 OK\r\n\r\npart", .ending = Ending::Reset}},
            {"failure",
             {.answer = "HTTP/1.1 500 Internal Server Error\r\n\r\npart", .ending = Ending::Reset}},
            {"no body yet", {.answer = "HTTP/1.1 200 OK\r\n\r\n", .ending = Ending::Reset}},
            {"only a part of the head",
             {.answer = "HTTP/1.1 200 OK\r\nX: y\r\n", .ending = Ending::Reset}},
            {"part of the length",
             {.answer = "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\npart",
              .ending = Ending::Reset}},
            {"part of the chunks",
             {.answer = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\npart\r\n",
              .ending = Ending::Reset}},
    };
}

Test(BrokenAnswers, anAnswerWithoutALengthThatIsResetDuringTheUploadIsNotWhole, .timeout = 300)
{
    static constexpr auto Tries = 6;
    static constexpr auto PauseRange = 12;
    auto random = std::mt19937_64(66);
    for (auto &it : cutAnswers()) {
        for (auto n = 0; n < Tries; ++n) {
            it.script.pauseBeforeAnswer = milliseconds(random() % PauseRange);
            const auto result = send(it.script, upload());
            cr_expect(result.failure == HttpFailure::Broken, "%s, try %d", it.name, n);
        }
    }
}

Test(BrokenAnswers, anAnswerThatIsResetWithoutAnUploadIsNotWhole, .timeout = 300)
{
    static constexpr auto SmallUpload = std::size_t{900};
    for (const auto &it : cutAnswers()) {
        if (it.script.ending != Ending::Reset)
            continue; // There are no unread bytes that would turn a close into a reset.
        auto script = it.script;
        script.readBytes = 0;
        cr_expect(send(script, get()).failure == HttpFailure::Broken, "%s", it.name);
        script.readBytes = SmallUpload;
        cr_expect(send(script, upload(SmallUpload)).failure == HttpFailure::Broken, "%s", it.name);
    }
}

/// The kernel gives up a connection whose far end takes no more bytes; that is no end of the server's answer either.
Test(BrokenAnswers, anAnswerWithoutALengthOnAConnectionThatFellSilentIsNotWhole, .timeout = 300)
{
    const auto result =
            send({.answer = "HTTP/1.1 200 OK\r\n\r\npart", .ending = Ending::Keep}, upload());
    cr_assert(result.failure == HttpFailure::Broken);
}

Test(BrokenAnswers, anAnswerThatProvesItsEndIsWholeDespiteAReset, .timeout = 300)
{
    static constexpr auto Tries = 6;
    const auto answers = {
            std::string("HTTP/1.1 413 Content Too Large\r\nContent-Length: 5\r\n\r\nwhole"),
            std::string("HTTP/1.1 413 Content Too Large\r\nTransfer-Encoding: chunked\r\n\r\n"
                        "5\r\nwhole\r\n0\r\n\r\n"),
    };
    for (const auto &it : answers) {
        for (auto n = 0; n < Tries; ++n) {
            const auto result = send(
                    {.answer = it, .ending = Ending::Reset, .pauseBeforeEnd = milliseconds(20)},
                    upload());
            cr_assert(result.response.has_value(), "%s", it.c_str());
            cr_expect_eq(result.response->status, 413);
            cr_expect_eq(result.response->body, "whole");
        }
    }
}

Test(BrokenAnswers, anAnswerWithoutALengthIsWholeIfTheServerClosesInOrder, .timeout = 300)
{
    const auto answer = std::string("HTTP/1.1 200 OK\r\n\r\nwhole");
    const auto uploaded = send({.answer = answer, .ending = Ending::ReadRestThenClose}, upload());
    cr_assert(uploaded.response.has_value());
    cr_expect_eq(uploaded.response->body, "whole");
    const auto read = send({.answer = answer, .ending = Ending::Close}, get());
    cr_assert(read.response.has_value());
    cr_expect_eq(read.response->body, "whole");
}

/// Expects that each answer is refused at once, although the server keeps the connection open.
static auto expectRefused(const std::vector<standin::MalformedAnswer> &answers) -> void
{
    static constexpr auto AtOnce = Duration(1'000'000);
    for (const auto &it : answers) {
        const auto result = send({.answer = it.bytes, .ending = Ending::Keep}, get());
        cr_expect(result.failure == HttpFailure::Broken, "%s", it.name.c_str());
        cr_expect(result.duration < AtOnce, "%s took %lld us", it.name.c_str(),
                  static_cast<long long>(result.duration.count()));
    }
}

Test(BrokenAnswers, malformedStatusLinesAreRefused, .timeout = 300)
{
    expectRefused(standin::malformedStatusLines());
}

/// A length on a folded line is part of the field before it, and the answer would end wherever its connection does.
Test(BrokenAnswers, aLengthOnAFoldedLineIsNotIgnored)
{
    const auto result = send({.answer = "HTTP/1.1 200 OK\r\nX: y\r\n Content-Length: 9\r\n\r\npart",
                              .ending = Ending::Close},
                             get());
    cr_assert(result.failure == HttpFailure::Broken);
}

Test(BrokenAnswers, malformedFieldsAreRefused, .timeout = 300)
{
    expectRefused(standin::malformedFields());
}

Test(BrokenAnswers, malformedFramingIsRefused, .timeout = 300)
{
    expectRefused(standin::malformedFraming());
}

/// Trailers come after the fields by which an answer is recognized (RFC 9110, section 6.5.1).
Test(BrokenAnswers, trailersDoNotBecomeFieldsOfTheAnswer)
{
    const auto result =
            send({.answer = "HTTP/1.1 200 OK\r\nX: head\r\nTransfer-Encoding: chunked\r\n"
                            "\r\n5\r\nwhole\r\n0\r\nX: trailer\r\nY: trailer\r\n\r\n",
                  .ending = Ending::Keep},
                 get());
    cr_assert(result.response.has_value());
    cr_expect_eq(result.response->body, "whole");
    cr_expect_eq(result.response->headers.find("X"), "head");
    cr_expect(!result.response->headers.contains("Y"));
}

Test(BrokenAnswers, soundAnswersOfUnusualFormAreAccepted)
{
    for (const auto *it :
         {"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwhole",
          "HTTP/1.1 200 \r\nContent-Length: 5\r\n\r\nwhole",
          "HTTP/1.1 599 Own\r\nContent-Length: 5\r\n\r\nwhole",
          "HTTP/1.1 200 OK\r\nX:\r\ny:  \tz \t\r\nContent-Length: 5\r\n\r\nwhole",
          "HTTP/1.1 200 OK\r\nContent-Length: 5\r\nContent-Length: 5\r\n\r\nwhole",
          "HTTP/1.1 200 OK\r\nTransfer-Encoding: Chunked\r\n\r\n5;a=b\r\nwhole\r\n0\r\n\r\n",
          "HTTP/1.1 100 Continue\r\nContent-Length: 0\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: "
          "5\r\n\r\nwhole",
          "HTTP/1.1 103 Early Hints\r\nX: y\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: "
          "5\r\n\r\nwhole"}) {
        const auto result = send({.answer = it, .ending = Ending::Keep}, get());
        cr_assert(result.response.has_value(), "%s", it);
        cr_expect_eq(result.response->body, "whole", "%s", it);
    }
}
