#pragma once

#include <string>
#include <string_view>

#include <stairspur/transport/CallMessages.h>

/// The fields of the messages on a peer link, bodies apart. Reading throws InputError on anything but what was written.
namespace stairspur::transport {

auto writeCall(const CallRequest &request) -> std::string;
auto readCall(std::string_view fields) -> CallRequest;

auto writeAnswer(const CallAnswer &answer) -> std::string;
auto readAnswer(std::string_view fields) -> CallAnswer;

auto writeRequest(std::string_view topic) -> std::string;
auto readRequest(std::string_view fields) -> std::string;

/// Whether the request failed; the body then is the error's message.
auto writeReply(bool hasFailed) -> std::string;
auto readReply(std::string_view fields) -> bool;

} // namespace stairspur::transport
