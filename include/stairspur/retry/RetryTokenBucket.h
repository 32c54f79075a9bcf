#pragma once

namespace stairspur::retry {

/// Bounds retries to a share of the successes of a service, so that a failing service is not flooded by retries.
class RetryTokenBucket
{
public:
    /// `successShare` tokens come with each success, up to `size`; each retry takes one.
    RetryTokenBucket(double successShare, double size);

    /// Other limits from a newer configuration; tokens above the new size are lost.
    auto setLimits(double successShare, double size) -> void;

    auto didSucceed() -> void;

    /// Takes a token, or says that none is left.
    auto tryTake() -> bool;

    [[nodiscard]] auto tokens() const -> double { return m_tokens; }

private:
    double m_successShare;
    double m_size;
    double m_tokens;
};

} // namespace stairspur::retry
