#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <utility>

#include <stairspur/core/Random.h>
#include <stairspur/keyed/KeyedMessages.h>

namespace stairspur::keyed {

/// The newest placement tables that an entry knows. Being behind costs a detour, never safety.
class TableCache
{
public:
    [[nodiscard]] auto find(const std::string &service, const std::string &domain) const
            -> const PlacementTable *;
    /// Takes over every slot of which `table` has a newer epoch.
    auto merge(const PlacementTable &table) -> void;
    auto merge(const std::string &service, const std::string &domain, std::uint32_t slot,
               const SlotPlacement &placement) -> void;

private:
    std::map<std::pair<std::string, std::string>, PlacementTable> m_tables;
};

enum class RouteStep {
    SendSubmit, ///< Send `submit` to `target`; report didReply or didLoseLink.
    SendLookup, ///< Ask the witness `target`; report didReply or didLoseLink.
    FetchTable, ///< Ask some node of the home domain; report didFetch.
    Wait,       ///< Call didWait after `delay`.
    Finish,     ///< `answer` is for the caller.
};

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
    std::optional<PlacementNotice> notice{}; ///< For `target`, which is behind.
};

struct RouteSettings
{
    std::uint32_t maxSteps = 80;  ///< Of one attempt; it is answered `unknown` after them.
    Duration retryDelay{100'000}; ///< Before asking again, with jitter between half and the whole.
    Duration retryAfter{1'000'000}; ///< Told with `unknown`.
};

/// What a call under a key is, as its entry sees it.
struct KeyedCall
{
    std::string service;
    std::string home{};
    std::string key{}; ///< As scopedKey() makes it.
    std::uint64_t fingerprint = 0;
    bool isHomeExplicit = false;
    bool isQuery = false;
};

/// One attempt of one caller at a keyed call, seen from its entry: finds the primary, follows it when it moves, asks the
/// witness when the primary is lost. It never has a call dispatched anew by itself: whatever it sends again, the primary
/// recognises. Only the primary says `not-run`; what the entry can't find out is `unknown`.
///
/// Feed it until it says Finish. After the caller's deadline, or when the caller is gone, call giveUp() and nothing else:
/// that no step follows then is what makes a later `not-run` true.
class KeyedRoute
{
public:
    KeyedRoute(KeyedCall call, std::uint64_t waiter, RouteSettings settings, TableCache &tables);

    auto start() -> RouteAction;
    auto didReply(const Reply &reply, Random &random) -> RouteAction;
    /// The link to the action's target is lost, or could not be opened.
    auto didLoseLink(Random &random) -> RouteAction;
    /// The fetched table has been merged into the cache, or none could be had.
    auto didFetch(Random &random) -> RouteAction;
    auto didWait() -> RouteAction;
    /// `unknown`, with `reason`.
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
    bool m_shouldFetch = false; ///< The table looks outdated.
    std::optional<PlacementNotice> m_notice;
};

} // namespace stairspur::keyed
