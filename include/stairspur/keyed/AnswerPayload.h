#pragma once

#include <cstdint>
#include <string>

#include <stairspur/keyed/KeyRecord.h>
#include <stairspur/transport/CallMessages.h>

/// Conversions between the calls of gates and entries and the records of keyed calls.
namespace stairspur::keyed {

/// Returns a hash of the request's method, target and body, which distinguishes two requests with the same key.
auto fingerprintOf(const transport::CallRequest &request) -> std::uint64_t;

/// Returns the record of an answer. The answer's headers and body are encoded in the payload.
auto toRecordedAnswer(const transport::CallAnswer &answer) -> RecordedAnswer;

/// Returns the answer that a record replays. If the payload was not kept, the answer is `unknown` with Reason::TooLarge
/// and carries the backend server's status in the header `Stairspur-Recorded-Status`, so that the caller learns that
/// the call ran and with which status it ended. Throws InputError if the payload is damaged.
auto toCallAnswer(const RecordedAnswer &recorded) -> transport::CallAnswer;

inline constexpr auto RecordedStatusHeader = std::string_view("Stairspur-Recorded-Status");
/// Header that carries a Submit to the primary and the Reply back. It is only used between nodes.
inline constexpr auto KeyedHeader = std::string_view("Stairspur-Keyed");

/// Encodes several encoded messages as one byte string.
auto encodeMessages(const std::vector<std::string> &messages) -> std::string;
/// Returns the messages that encodeMessages() encoded. Throws InputError if `bytes` is malformed.
auto decodeMessages(std::string_view bytes) -> std::vector<std::string>;

/// Decodes pairs of hexadecimal digits. Throws InputError for any other text.
auto fromHex(std::string_view digits) -> std::string;

} // namespace stairspur::keyed
