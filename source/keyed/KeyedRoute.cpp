#include <stairspur/keyed/KeyedRoute.h>

#include <stairspur/keyed/KeyHome.h>

namespace stairspur::keyed {

auto TableCache::find(const std::string &service, const std::string &domain) const
        -> const PlacementTable *
{
    const auto it = m_tables.find({service, domain});
    return it == m_tables.end() || it->second.slots.empty() ? nullptr : &it->second;
}

auto TableCache::merge(const PlacementTable &table) -> void
{
    auto &cached = m_tables[{table.service, table.domain}];
    if (cached.slots.empty()) {
        cached = table;
        return;
    }
    for (std::uint32_t slot = 0; slot < table.slots.size(); ++slot)
        merge(table.service, table.domain, slot, table.slots[slot]);
}

auto TableCache::merge(const std::string &service, const std::string &domain, std::uint32_t slot,
                       const SlotPlacement &placement) -> void
{
    const auto it = m_tables.find({service, domain});
    if (it == m_tables.end() || slot >= it->second.slots.size())
        return;
    auto &cached = it->second.slots[slot];
    if (placement.epoch > cached.epoch)
        cached = placement;
}

KeyedRoute::KeyedRoute(KeyedCall call, std::uint64_t waiter, RouteSettings settings,
                       TableCache &tables)
    : m_call(std::move(call))
    , m_waiter(waiter)
    , m_settings(settings)
    , m_tables(tables)
{}

auto KeyedRoute::start() -> RouteAction
{
    return submitOrFetch();
}

auto KeyedRoute::placement() const -> const SlotPlacement *
{
    const auto *table = m_tables.find(m_call.service, m_call.home);
    if (!table)
        return nullptr;
    const auto n = static_cast<std::uint32_t>(table->slots.size());
    return &table->slots[slotOf(m_call.service, m_call.key, n)];
}

auto KeyedRoute::submitOrFetch() -> RouteAction
{
    if (++m_steps > m_settings.maxSteps)
        return giveUp(Reason::LinkLost);
    m_isLookingUp = false;
    auto action = RouteAction{RouteStep::FetchTable};
    const auto *placement = this->placement();
    if (m_shouldFetch || !placement) {
        m_shouldFetch = false;
        return action;
    }
    const auto *table = m_tables.find(m_call.service, m_call.home);
    const auto n = static_cast<std::uint32_t>(table->slots.size());
    m_slot = slotOf(m_call.service, m_call.key, n);
    action.step = RouteStep::SendSubmit;
    action.slot = m_slot;
    action.target = placement->primary.node;
    action.submit = Submit{m_waiter, m_call.key, m_call.fingerprint, placement->epoch, m_ticket};
    action.submit.isQuery = m_call.isQuery;
    action.submit.isHomeExplicit = m_call.isHomeExplicit;
    action.notice = std::exchange(m_notice, std::nullopt);
    return action;
}

auto KeyedRoute::didReply(const Reply &reply, Random &random) -> RouteAction
{
    if (m_isLookingUp && reply.answer.outcome == Outcome::Unknown) {
        // The witness has no outcome. The slot may have moved, and its new primary may have one.
        m_shouldFetch = true;
        return wait(random);
    }
    switch (reply.kind) {
    case ReplyKind::Challenge:
        m_ticket = reply.ticket;
        return submitOrFetch();
    case ReplyKind::Moved:
        return didMove(reply, random);
    case ReplyKind::Settled:
        break;
    }
    auto action = RouteAction{RouteStep::Finish, m_slot};
    action.answer = reply.answer;
    action.isReplay = reply.isReplay;
    action.retryAfter = reply.retryAfter;
    return action;
}

auto KeyedRoute::didMove(const Reply &reply, Random &random) -> RouteAction
{
    const auto *cached = placement();
    const auto cachedEpoch = cached ? cached->epoch : 0;
    const auto receivedEpoch = reply.placement ? reply.placement->epoch : 0;
    if (receivedEpoch > cachedEpoch) {
        m_tables.merge(m_call.service, m_call.home, m_slot, *reply.placement);
        return submitOrFetch();
    }
    if (cached && receivedEpoch < cachedEpoch)
        m_notice = PlacementNotice{*cached};
    m_shouldFetch = true; // Neither this entry nor the sender may have the newest epoch.
    return wait(random);
}

auto KeyedRoute::didLoseLink(Random &random) -> RouteAction
{
    m_shouldFetch = true;
    if (m_isLookingUp)
        return wait(random);
    return lookUp(random);
}

auto KeyedRoute::lookUp(Random &random) -> RouteAction
{
    const auto *placement = this->placement();
    if (!placement)
        return wait(random);
    m_isLookingUp = true;
    auto action = RouteAction{RouteStep::SendLookup, m_slot};
    action.target = placement->witness.node;
    action.submit = Submit{m_waiter, m_call.key, m_call.fingerprint};
    return action;
}

auto KeyedRoute::didFetch(Random &random) -> RouteAction
{
    if (placement())
        return submitOrFetch();
    return wait(random);
}

auto KeyedRoute::wait(Random &random) -> RouteAction
{
    auto action = RouteAction{RouteStep::Wait, m_slot};
    const auto half = std::uint64_t(m_settings.retryDelay.count()) / 2;
    action.delay = Duration(half + randomBelow(random, half + 1));
    return action;
}

auto KeyedRoute::didWait() -> RouteAction
{
    return submitOrFetch();
}

auto KeyedRoute::giveUp(Reason reason) const -> RouteAction
{
    auto action = RouteAction{RouteStep::Finish, m_slot};
    action.answer.outcome = Outcome::Unknown;
    action.answer.reason = reason;
    action.retryAfter = m_settings.retryAfter;
    return action;
}

} // namespace stairspur::keyed
