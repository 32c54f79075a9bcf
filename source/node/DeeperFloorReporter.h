#pragma once

#include <functional>

#include <boost/asio/io_context.hpp>

#include <stairspur/core/Level.h>
#include <stairspur/core/Time.h>
#include <stairspur/transport/Timer.h>

#include "NodeBoard.h"
#include "ObservedCalls.h"

namespace stairspur::node {

/// Publishes to the gate the floors that calls of this host's backend server encounter at deeper services, so that the gate
/// can advertise them. Belongs to the entry's thread.
class DeeperFloorReporter
{
public:
    /// Returns the floor of a deeper service for calls of class `rank`, as recorded in the entry's upstream pools.
    using FloorAt = std::function<Level(const DeeperCall &call, ClassRank rank, TimePoint now)>;

    DeeperFloorReporter(boost::asio::io_context &io, NodeBoard &board,
                        const ObservedCalls &observedCalls, FloorAt floorAt);

    /// Publishes the floors if the interval has passed. Called when a call ends, since only the outcomes of calls change the
    /// floors. A timer would wake an idle node fifty times a second to no effect.
    auto refresh(TimePoint now) -> void;

private:
    auto ensureTimer() -> void;
    auto publishFloors(TimePoint now) -> void;
    [[nodiscard]] auto floorsByRank(const config::ConfigurationIndex &configuration,
                                    const std::string &service, TimePoint now) const
            -> std::vector<Level>;
    [[nodiscard]] auto floorsByPath(TimePoint now) const -> std::vector<PathFloor>;

    NodeBoard &m_board;
    const ObservedCalls &m_observedCalls;
    FloorAt m_floorAt;
    transport::Timer m_timer;
    bool m_hasTimer = false;
    ReportedDeeperFloors m_published;
    TimePoint m_publishedAt;
    TimePoint m_refreshedAt;
};

} // namespace stairspur::node
