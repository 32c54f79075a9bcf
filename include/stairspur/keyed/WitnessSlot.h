#pragma once

#include <stairspur/keyed/Effects.h>
#include <stairspur/keyed/Guards.h>
#include <stairspur/keyed/SlotState.h>

namespace stairspur::keyed {

/// The witness's part of a slot. It records the updates of the primary of its epoch and acknowledges no others.
template <typename Guards = StandardGuards>
class WitnessSlot
{
public:
    explicit WitnessSlot(SlotState &state)
        : m_state(state)
    {}

    /// Stores the update and acknowledges it, or refuses it.
    auto didReceiveUpdate(const Replica &from, const RecordUpdate &update, Effects &effects)
            -> void;

    /// Answers an entry with the recorded answer, or with `unknown`. The records are not changed.
    auto lookUp(const Waiter &waiter, const Lookup &lookup, Effects &effects) const -> void;

private:
    [[nodiscard]] auto mayAcknowledge(const Replica &from, std::uint64_t epoch) const -> bool;

    SlotState &m_state;
};

} // namespace stairspur::keyed
