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

} // namespace stairspur::standin
