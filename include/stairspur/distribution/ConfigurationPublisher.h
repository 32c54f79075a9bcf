#pragma once

#include <string>
#include <utility>

#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <stairspur/core/Error.h>
#include <stairspur/core/Random.h>
#include <stairspur/distribution/PublishProtocol.h>
#include <stairspur/store/Backoff.h>
#include <stairspur/store/PlatformStore.h>
#include <stairspur/transport/Task.h>
#include <stairspur/transport/Timer.h>

namespace stairspur::distribution {

/// Base of the errors of an apply that did not bring its configuration into force.
class PublishError : public Error
{
public:
    using Error::Error;
};

/// Another applier changed the head first. This apply is not in force and cannot come into force later.
class ConflictError : public PublishError
{
public:
    ConflictError(const Head &inForce, const std::string &problem, const std::string &remedy)
        : PublishError(problem, remedy)
        , m_inForce(inForce)
    {}

    /// Returns the head that is in force instead.
    [[nodiscard]] auto inForce() const -> const Head & { return m_inForce; }

private:
    Head m_inForce;
};

/// The store could not be reached. This apply is not in force and cannot come into force later.
class StoreUnavailableError : public PublishError
{
public:
    using PublishError::PublishError;
};

/// The store's answer was lost, and later reads could not determine whether the apply took effect.
class ApplyUnknownError : public PublishError
{
public:
    using PublishError::PublishError;
};

/// The store rejected the configuration, or its head cannot be decoded.
class ApplyRejectedError : public PublishError
{
public:
    using PublishError::PublishError;
};

/// Throws the PublishError that corresponds to the outcome, unless the configuration is in force.
auto ensureInForce(const PublishResult &result) -> void;

/// Applies a configuration through a store. Reports the failure of any step in the result and throws nothing.
template <store::PlatformStore Store>
class ConfigurationPublisher
{
public:
    ConfigurationPublisher(Store &store, std::uint64_t seed)
        : m_store(store)
        , m_random(seed)
    {}

    auto publish(PublishRequest request) -> transport::Task<PublishResult>
    {
        auto protocol = PublishProtocol<>(std::move(request));
        auto backoff = store::Backoff(MinPause, MaxPause);
        while (!protocol.isDone()) {
            if (protocol.isRepeating())
                co_await pause(backoff.next(m_random));
            const auto step = protocol.next();
            if (const auto *range = std::get_if<store::RangeRequest>(&step))
                protocol.didReceiveRange(co_await m_store.range(*range));
            else
                protocol.didReceiveTxn(co_await m_store.txn(std::get<store::Transaction>(step)));
        }
        co_return protocol.result();
    }

private:
    static constexpr auto MinPause = Duration{100'000};
    static constexpr auto MaxPause = Duration{5'000'000};

    static auto pause(Duration time) -> transport::Task<void>
    {
        auto timer = transport::Timer(co_await boost::asio::this_coro::executor, time);
        co_await timer.async_wait(boost::asio::use_awaitable);
    }

    Store &m_store;
    Random m_random;
};

} // namespace stairspur::distribution
