#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <utility>

#include <stairspur/core/Random.h>
#include <stairspur/keyed/KeyedMessages.h>

namespace stairspur::keyed {

/// The newest placement tables that an entry has received. An outdated table costs extra messages but is safe.
class TableCache
{
public:
    /// Returns the cached table, or null if there is none.
    [[nodiscard]] auto find(const std::string &service, const std::string &domain) const
            -> const PlacementTable *;
    /// Replaces every slot for which `table` has a newer epoch.
    auto merge(const PlacementTable &table) -> void;
    /// Replaces the placement of one slot if `placement` has a newer epoch.
    auto merge(const std::string &service, const std::string &domain, std::uint32_t slot,
               const SlotPlacement &placement) -> void;

private:
    std::map<std::pair<std::string, std::string>, PlacementTable> m_tables;
};

/// The next step of a KeyedRoute, which its owner carries out.
enum class RouteStep {
    SendSubmit, ///< Sends `submit` to `target`; didReply or didLoseLink follows.
    SendLookup, ///< Sends a Lookup to the witness `target`; didReply or didLoseLink follows.
    FetchTable, ///< Requests the table from a node of the home domain; didFetch follows.
    Wait,       ///< Waits for `delay`; didWait follows.
    Finish,     ///< Returns `answer` to the caller and ends the attempt.
};

/// A step and its parameters.
struct RouteAction
{
    RouteStep step = RouteStep::Finish;
    std::uint32_t slot = 0;
    NodeId target{};
    Submit submit{};
    Duration delay{0};
    RecordedAnswer answer{};
    bool isReplay = false;
    Duration retryAfter{0};
    std::optional<PlacementNotice>
            notice{}; ///< Newer placement for `target`, which has an older one.
};

struct RouteSettings
{
    std::uint32_t maxSteps = 80; ///< Steps of one attempt, after which it is answered `unknown`.
    Duration retryDelay{
            100'000}; ///< Upper bound of the delay before a repeated request; the lower bound is half of it.
    Duration retryAfter{1'000'000}; ///< Retry delay that is sent with `unknown`.
};

/// A call with an idempotency key at its entry.
struct KeyedCall
{
    std::string service;
    std::string home{};
    std::string key{}; ///< Key that scopedKey() returned.
    std::uint64_t fingerprint = 0;
    bool isHomeExplicit = false;
    bool isQuery = false;
};

/// State machine of one attempt at a keyed call, run by the entry. It finds the primary, follows it when the slot moves
/// and queries the witness when the primary can't be reached. A repeated Submit never causes a second dispatch, since
/// the primary recognises it. Only the primary reports `not-run`; an outcome that the entry can't determine is
/// `unknown`.
///
/// The owner carries out each action and reports its result until the step is Finish. After the caller's deadline, or
/// when the caller has cancelled, it must call giveUp() and nothing else: a later `not-run` is only true if no step
/// follows.
class KeyedRoute
{
public:
    KeyedRoute(KeyedCall call, std::uint64_t waiter, RouteSettings settings, TableCache &tables);

    /// Returns the first action.
    auto start() -> RouteAction;
    /// Handles a reply of the primary or the witness.
    auto didReply(const Reply &reply, Random &random) -> RouteAction;
    /// Handles the loss of the link to the action's target, or the failure to open it.
    auto didLoseLink(Random &random) -> RouteAction;
    /// Continues after a table was merged into the cache or could not be fetched.
    auto didFetch(Random &random) -> RouteAction;
    /// Continues after the delay of a Wait action.
    auto didWait() -> RouteAction;
    /// Returns the action that ends the attempt as `unknown` with `reason`.
    [[nodiscard]] auto giveUp(Reason reason) const -> RouteAction;

    [[nodiscard]] auto call() const -> const KeyedCall & { return m_call; }

private:
    [[nodiscard]] auto placement() const -> const SlotPlacement *;
    auto submitOrFetch() -> RouteAction;
    auto didMove(const Reply &reply, Random &random) -> RouteAction;
    auto wait(Random &random) -> RouteAction;
    auto lookUp(Random &random) -> RouteAction;

    KeyedCall m_call;
    std::uint64_t m_waiter;
    RouteSettings m_settings;
    TableCache &m_tables;
    std::uint32_t m_slot = 0;
    std::uint32_t m_steps = 0;
    std::uint64_t m_ticket = 0;
    bool m_isLookingUp = false;
    bool m_shouldFetch = false; ///< Whether the cached table may be outdated.
    std::optional<PlacementNotice> m_notice;
};

} // namespace stairspur::keyed
