#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <variant>

#include <stairspur/core/Time.h>
#include <stairspur/quota/GrantWindow.h>

/// Messages between hosts and the grantor of a caller, as CBOR in datagrams.
namespace stairspur::quota {

/// Requests tokens for a caller's requests, or returns unspent ones.
struct TokenRequest
{
    std::uint64_t number = 0; ///< Identifies the message; the grant repeats it.
    std::string caller;
    std::uint32_t wanted = 0;
    std::uint32_t returned = 0; ///< Tokens of earlier grants that are unspent and still valid.
    /// Whether the host's last request for this caller, a short time ago, went to another grantor.
    bool hasChangedGrantor = false;
    /// Epoch of the grantor that the host's last grant for this caller came from; 0 if it came from another node.
    std::uint64_t epoch = 0;
    /// The host requests its tokens from another grantor from now on.
    bool isLeaving = false;
    /// Tokens that the host has used for this caller within the last window, for a grantor that may not have granted them.
    std::optional<GrantWindow::History> history{};
};

/// Response of a grantor to a request for tokens.
struct TokenGrant
{
    std::uint64_t number = 0;
    std::string caller;
    std::uint32_t granted = 0;
    /// Time after which requests without a token may be retried; 0 if all tokens were granted.
    Duration retryAfter{0};
    /// False if the sender's configuration has no quota for the caller, or if the sender doesn't grant it yet after a takeover.
    bool isGrantor = true;
    /// Identifies the time for which the grantor has kept its accounts without a break.
    std::uint64_t epoch = 0;
    /// The sender's accounts are newer than the host assumes. The host must repeat the request with its history.
    bool needsHistory = false;
};

using Message = std::variant<TokenRequest, TokenGrant>;

/// Maximum number of tokens in one message; a message with more is invalid.
inline constexpr auto MaxTokens = std::uint32_t{1'000'000};

/// Returns `message` as CBOR.
auto writeMessage(const Message &message) -> std::string;

/// Returns the message in `bytes`. Throws InputError if they aren't a valid message.
auto readMessage(std::string_view bytes) -> Message;

} // namespace stairspur::quota
