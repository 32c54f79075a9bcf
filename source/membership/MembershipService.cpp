#include <stairspur/membership/MembershipService.h>

#include <chrono>
#include <utility>

#include <stairspur/log/Log.h>

namespace stairspur::membership {

static constexpr auto Topic = "swim";
static constexpr auto TicksPerPeriod = 10;

auto currentStartIncarnation() -> Incarnation
{
    const auto sinceEpoch = std::chrono::system_clock::now().time_since_epoch();
    return static_cast<Incarnation>(
            std::chrono::duration_cast<std::chrono::milliseconds>(sinceEpoch).count());
}

/// Returns whether a member in this state should get no more calls.
static auto isLeaving(ServingState state) -> bool
{
    return state == ServingState::Draining || state == ServingState::Left;
}

MembershipService::MembershipService(boost::asio::io_context &io,
                                     transport::DatagramChannel &channel,
                                     MembershipSettings settings, std::uint64_t seed)
    : m_channel(channel)
    , m_tickInterval(settings.period / TicksPerPeriod)
    , m_viewPacer(settings.minViewInterval)
    , m_state(std::move(settings), seed, monotonicNow())
    , m_timer(io)
    , m_isRunning(std::make_shared<bool>(false))
    , m_view(std::make_shared<const MembershipView>(m_state.view()))
{
    m_viewPacer.didChange(); // The first view has not been published yet.
}

MembershipService::~MembershipService()
{
    stop();
}

auto MembershipService::setViewCallback(ViewCallback didChange) -> void
{
    m_didChange = std::move(didChange);
}

auto MembershipService::setAnnotationCallback(AnnotationCallback callback) -> void
{
    m_didReceiveAnnotation = std::move(callback);
}

auto MembershipService::start() -> void
{
    *m_isRunning = true;
    const auto didArrive = [this, isRunning = m_isRunning](const NodeId &from,
                                                           const std::string &payload) {
        if (*isRunning)
            didReceive(from, payload);
    };
    m_channel.setHandler(Topic, didArrive);
    scheduleTick();
}

auto MembershipService::stop() -> void
{
    if (!std::exchange(*m_isRunning, false))
        return;
    m_channel.setHandler(Topic, [](const NodeId &, const std::string &) {});
    m_timer.cancel();
}

auto MembershipService::setSelf(const std::string &service, std::uint32_t slots, ServingState state)
        -> void
{
    m_state.setSelf(monotonicNow(), service, slots, state);
    if (isLeaving(state))
        m_viewPacer.didChangeUrgently();
    else
        m_viewPacer.didChange();
    flush();
}

auto MembershipService::setServicesOfInterest(const std::set<std::string> &services) -> void
{
    m_state.setServicesOfInterest(services);
    m_viewPacer.didChange();
}

auto MembershipService::setAnnotation(const std::string &annotation) -> void
{
    m_state.setAnnotation(annotation);
}

auto MembershipService::addHints(const std::vector<NodeId> &nodes) -> void
{
    m_state.addHints(nodes);
}

auto MembershipService::leave() -> void
{
    m_state.leave(monotonicNow());
    m_viewPacer.didChangeUrgently();
    flush();
}

auto MembershipService::view() const -> std::shared_ptr<const MembershipView>
{
    return m_view;
}

auto MembershipService::scheduleTick() -> void
{
    m_timer.expires_after(m_tickInterval);
    m_timer.async_wait([this, isRunning = m_isRunning](const boost::system::error_code &ec) {
        if (ec || !*isRunning)
            return;
        m_state.tick(monotonicNow());
        flush();
        publish();
        scheduleTick();
    });
}

auto MembershipService::didReceive(const NodeId &from, const std::string &payload) -> void
{
    m_state.receive(monotonicNow(), from, payload);
    flush();
}

auto MembershipService::flush() -> void
{
    for (const auto &it : m_state.takeDatagrams())
        m_channel.send(it.to, Topic, it.payload);
    for (const auto &it : m_state.takeEvents())
        report(it);
}

/// Returns the severity of an event. Unplanned changes that move calls elsewhere are warnings.
static auto severityOf(MembershipEventKind kind) -> log::Severity
{
    switch (kind) {
    case MembershipEventKind::Suspect:
    case MembershipEventKind::Dead:
    case MembershipEventKind::ContactLost:
    case MembershipEventKind::Refuted:
    case MembershipEventKind::Paused:
        return log::Severity::Warning;
    default:
        return log::Severity::Info;
    }
}

auto MembershipService::report(const MembershipEvent &event) -> void
{
    if (event.kind == MembershipEventKind::Annotation) {
        if (m_didReceiveAnnotation)
            m_didReceiveAnnotation(event.member.node, event.annotation);
        return;
    }
    recordChange(event);
    auto line = log::Line(severityOf(event.kind), "member");
    line.add("change", nameOf(event.kind));
    if (!event.domain.empty()) {
        line.add("domain", event.domain);
        return;
    }
    const auto &member = event.member;
    line.add("member", member.node).add("service", member.service).add("domain", member.domain);
    line.add("state", nameOf(member.state)).add("liveness", nameOf(member.liveness));
    line.add("slots", member.slots).add("incarnation", member.incarnation);
}

/// Members of other domains get calls only as a last resort, so their changes wait for the end of the pause.
auto MembershipService::recordChange(const MembershipEvent &event) -> void
{
    const auto isOwnDomain = event.member.domain == m_state.self().domain;
    const auto isLeaving =
            event.kind == MembershipEventKind::Draining || event.kind == MembershipEventKind::Left;
    if (isOwnDomain && isLeaving)
        m_viewPacer.didChangeUrgently();
    else
        m_viewPacer.didChange();
}

auto MembershipService::publish() -> void
{
    if (!m_viewPacer.takeDue(monotonicNow()))
        return;
    m_view = std::make_shared<const MembershipView>(m_state.view());
    if (m_didChange)
        m_didChange(m_view);
}

} // namespace stairspur::membership
