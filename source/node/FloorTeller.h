#pragma once

#include <functional>

#include <boost/asio/io_context.hpp>

#include <stairspur/core/Level.h>
#include <stairspur/core/Time.h>
#include <stairspur/transport/Timer.h>

#include "NodeBoard.h"
#include "ObservedCalls.h"

namespace stairspur::node {

/// Tells the gate which floors the calls of this host's backend server meet at deeper services, so that it can advertise
/// them. Belongs to the entry's thread.
class FloorTeller
{
public:
    /// The floor that a call of class `rank` meets at a deeper service, as the entry's pools know it.
    using FloorAt = std::function<Level(const DeeperCall &call, ClassRank rank, TimePoint now)>;

    FloorTeller(boost::asio::io_context &io, NodeBoard &board, const ObservedCalls &observedCalls,
                FloorAt floorAt);

    /// Tells the floors if it is time to. Calls bring what floors are made of, so that their ends are the time to look: a
    /// timer would wake an idle node fifty times a second for nothing.
    auto refresh(TimePoint now) -> void;

private:
    auto ensureTimer() -> void;
    auto tell(TimePoint now) -> void;
    [[nodiscard]] auto floorsByRank(const config::ConfigurationIndex &configuration,
                                    const std::string &service, TimePoint now) const
            -> std::vector<Level>;
    [[nodiscard]] auto floorsByPath(TimePoint now) const -> std::vector<PathFloor>;

    NodeBoard &m_board;
    const ObservedCalls &m_observedCalls;
    FloorAt m_floorAt;
    transport::Timer m_timer;
    bool m_hasTimer = false;
    DeeperFloorsHeard m_told;
    TimePoint m_toldAt;
    TimePoint m_refreshedAt;
};

} // namespace stairspur::node
