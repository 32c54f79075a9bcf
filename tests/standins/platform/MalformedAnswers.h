#pragma once

#include <string>
#include <vector>

#include "ScriptedUpstream.h"

namespace stairspur::standin {

/// An answer that breaks HTTP/1.1 (RFC 9110, RFC 9112), as a ScriptedUpstream sends it.
struct MalformedAnswer
{
    std::string name;
    std::string bytes;
};

/// Answers with a malformed status line.
inline auto malformedStatusLines() -> std::vector<MalformedAnswer>
{
    auto answers = std::vector<MalformedAnswer>();
    for (const auto *it :
         {"HTTP/1.1 000 X", "HTTP/1.1 001 X", "HTTP/1.1 099 X", "HTTP/1.1 600 X", "HTTP/1.1 999 X",
          "HTTP/1.1 20 OK", "HTTP/1.1 2000 OK", "HTTP/1.1 +20 OK", "HTTP/1.1 -20 OK",
          "HTTP/1.1 2a0 OK", "HTTP/1.1  200 OK", "HTTP/2.0 200 OK", "HTTP/1.2 200 OK",
          "http/1.1 200 OK", "HTTP/1.1 200 O\x01K", " HTTP/1.1 200 OK"}) {
        answers.push_back({it, answerOf(it, "Content-Length: 5\r\n", "whole")});
    }
    for (const auto *it : {"", "Content-Length: 0\r\n"})
        answers.push_back({"status 000 with '" + std::string(it) + "' before a sound answer",
                           answerOf("HTTP/1.1 000 X", it, "") + wholeAnswer()});
    return answers;
}

/// Answers with a line that is no field.
inline auto malformedFields() -> std::vector<MalformedAnswer>
{
    using namespace std::string_literals;
    auto answers = std::vector<MalformedAnswer>();
    for (const auto &it :
         {"X Y: z"s,     "X\tY: z"s,     "X\x01Y: z"s,      "X\0Y: z"s,   "X\x7fY: z"s,
          "X\x80Y: z"s,  "X\xffY: z"s,   "X : z"s,          "X\t: z"s,    ": z"s,
          "XY"s,         "X(Y): z"s,     " X: z"s,          "\tX: z"s,    " "s,
          "X: a\rb"s,    "X: a\0b"s,     "X: a\x01z"s,      "X: a\x7fz"s, "X: a\nY: b"s,
          "X: a\r\n b"s, "X: a\r\n\tb"s, "X: a\r\n \r\n b"s}) {
        const auto name = "line '" + it + "'";
        answers.push_back(
                {name, answerOf("HTTP/1.1 200 OK", it + "\r\nContent-Length: 5\r\n", "whole")});
    }
    for (const auto &it : {"Content-Length : 5"s, "Content-Length\t: 5"s, " Content-Length: 5"s,
                           "Content\x01-Length: 5"s, "Transfer-Encoding : chunked"s})
        answers.push_back({"line '" + it + "', no other length",
                           answerOf("HTTP/1.1 200 OK", it + "\r\n", "whole")});
    answers.push_back({"first line begins with a blank",
                       "HTTP/1.1 200 OK\r\n X: z\r\n" + std::string(OwnFields)
                               + "Content-Length: 5\r\n\r\nwhole"});
    answers.push_back({"lines that end with LF alone",
                       "HTTP/1.1 200 OK\nX-Server-Seal: s\nContent-Length: 5\n\nwhole"});
    return answers;
}

/// Answers whose end two readers may find in two places.
inline auto malformedFraming() -> std::vector<MalformedAnswer>
{
    static constexpr auto Chunks = "5\r\nwhole\r\n0\r\n\r\n";
    auto answers = std::vector<MalformedAnswer>();
    for (const auto *it : {"Content-Length: 5\r\nContent-Length: 4\r\n", "Content-Length: 5, 4\r\n",
                           "Content-Length: +5\r\n", "Content-Length: -5\r\n",
                           "Content-Length: 0x5\r\n", "Content-Length: 5 5\r\n",
                           "Content-Length: 99999999999999999999\r\n", "Content-Length:\r\n"})
        answers.push_back({it, answerOf("HTTP/1.1 200 OK", it, "whole")});
    for (const auto *it :
         {"Content-Length: 5\r\nTransfer-Encoding: chunked\r\n",
          "Transfer-Encoding: chunked\r\nContent-Length: 5\r\n",
          "Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n",
          "Transfer-Encoding: chunked, chunked\r\n", "Transfer-Encoding: gzip, chunked\r\n",
          "Transfer-Encoding: gzip\r\nTransfer-Encoding: chunked\r\n",
          "Transfer-Encoding: chunked, gzip\r\n", "Transfer-Encoding: gzip\r\n",
          "Transfer-Encoding: identity\r\n", "Transfer-Encoding: xchunked\r\n",
          "Transfer-Encoding:\r\n"})
        answers.push_back({it, answerOf("HTTP/1.1 200 OK", it, Chunks)});
    answers.push_back({"chunks in HTTP/1.0",
                       answerOf("HTTP/1.0 200 OK", "Transfer-Encoding: chunked\r\n", Chunks)});
    for (const auto *it :
         {"fffffffffffffffff\r\nwhole\r\n0\r\n\r\n", "-5\r\nwhole\r\n0\r\n\r\n",
          "0x5\r\nwhole\r\n0\r\n\r\n", "5 \x01\r\nwhole\r\n0\r\n\r\n", "5\nwhole\r\n0\r\n\r\n",
          "5\r\nwhole!\r\n0\r\n\r\n", "\r\n\r\n", "5\r\nwhole\r\n0\r\nX Y: z\r\n\r\n",
          "5\r\nwhole\r\n0\r\n: z\r\n\r\n", "5\r\nwhole\r\n0\r\nContent-Length: 3\r\n\r\n"})
        answers.push_back({"chunks '" + std::string(it) + "'",
                           answerOf("HTTP/1.1 200 OK", "Transfer-Encoding: chunked\r\n", it)});
    for (const auto *it : {"Content-Length: 5\r\n", "Transfer-Encoding: chunked\r\n"})
        answers.push_back({"interim answer with " + std::string(it),
                           answerOf("HTTP/1.1 103 Early Hints", it, "") + wholeAnswer()});
    return answers;
}

} // namespace stairspur::standin
