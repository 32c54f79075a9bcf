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

} // namespace stairspur::standin
