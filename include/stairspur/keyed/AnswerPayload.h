#pragma once

#include <cstdint>
#include <string>

#include <stairspur/keyed/KeyRecord.h>
#include <stairspur/transport/CallMessages.h>

/// Between calls as gates and entries know them and what is recorded of them.
namespace stairspur::keyed {

/// Tells two requests apart that come under one key: their method, target and body.
auto fingerprintOf(const transport::CallRequest &request) -> std::uint64_t;

/// What is recorded of an answer; its headers and body go into the payload.
auto toRecordedAnswer(const transport::CallAnswer &answer) -> RecordedAnswer;

/// The answer that a record replays. One whose payload was not kept becomes `unknown` with Reason::TooLarge and the
/// backend server's status in the header `Stairspur-Recorded-Status`: the caller learns that it ran, and how it ended.
/// Throws InputError when the payload is damaged.
auto toCallAnswer(const RecordedAnswer &recorded) -> transport::CallAnswer;

inline constexpr auto RecordedStatusHeader = std::string_view("Stairspur-Recorded-Status");
/// Carries a Submit to the primary and its Reply back; never leaves the nodes.
inline constexpr auto KeyedHeader = std::string_view("Stairspur-Keyed");

/// Several encoded messages as one.
auto encodeMessages(const std::vector<std::string> &messages) -> std::string;
/// Throws InputError.
auto decodeMessages(std::string_view bytes) -> std::vector<std::string>;

/// Throws InputError on anything but pairs of hexadecimal digits.
auto fromHex(std::string_view digits) -> std::string;

} // namespace stairspur::keyed
