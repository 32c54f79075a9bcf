#pragma once

#include <array>
#include <memory>

#include "Loop.h"

namespace stairspur::transport::test {

/// Stands between the two ends of a link, and can cut it or swallow what goes over it.
class Relay
{
public:
    Relay(asio::io_context &io, std::uint16_t port);
    ~Relay();
    Relay(const Relay &) = delete;
    Relay(Relay &&) = delete;
    auto operator=(const Relay &) -> Relay & = delete;
    auto operator=(Relay &&) -> Relay & = delete;

    [[nodiscard]] auto port() const -> std::uint16_t;
    /// Passes nothing on from here on, and closes nothing.
    auto mute() -> void;
    /// Reads nothing more of what the far end sends, so that it is stuck there.
    auto stall() -> void;
    auto cut() -> void;

private:
    struct State;
    std::shared_ptr<State> m_state;
};

} // namespace stairspur::transport::test
