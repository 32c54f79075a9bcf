#pragma once

#include <string_view>

#include <stairspur/core/EnumNames.h>
#include <stairspur/node/NodeSettings.h>

#include "CallIntake.h"
#include "NodeBoard.h"

namespace stairspur::node {

/// Why a call that may have run is not sent again.
enum class RepeatRefusal {
    None,
    MustRunOnce, ///< The configuration at its arrival, or the one in force now, requires it to run at most once.
    OutdatedConfiguration, ///< A newer configuration may require it, since the one in force is not proven to be the newest.
};

/// Decides whether a call that may have run may be sent again. The configuration that the call was read with does not
/// suffice: a node that was suspended or disconnected may take a call for idempotent that a newer configuration requires to
/// run at most once.
class RepeatGuard
{
public:
    RepeatGuard(const NodeSettings &settings, const NodeBoard &board)
        : m_settings(settings)
        , m_board(board)
    {}

    /// Returns None if the call may run again: it is idempotent according to the configuration that it was read with and the
    /// one in force, which was proven to be the newest within the configuration bound before the arrival of the call.
    [[nodiscard]] auto reasonToRefuse(const IncomingCall &call) const -> RepeatRefusal;

private:
    const NodeSettings &m_settings;
    const NodeBoard &m_board;
};

} // namespace stairspur::node

template <>
inline constexpr auto stairspur::enumNames<stairspur::node::RepeatRefusal> =
        std::array<std::string_view, 3>{"none", "must-run-once", "outdated-configuration"};
