#pragma once

#include <stairspur/keyed/Effects.h>
#include <stairspur/keyed/Guards.h>
#include <stairspur/keyed/SlotState.h>

namespace stairspur::keyed {

/// The witness's part of a slot: records what the primary of its epoch tells it, and acknowledges nothing else.
template <typename Guards = StandardGuards>
class WitnessSlot
{
public:
    explicit WitnessSlot(SlotState &state)
        : m_state(state)
    {}

    auto didReceiveUpdate(const Replica &from, const RecordUpdate &update, Effects &effects)
            -> void;

    /// Answers an entry from the records, without changing them: the recorded answer, or `unknown`.
    auto lookUp(const Waiter &waiter, const Lookup &lookup, Effects &effects) const -> void;

private:
    [[nodiscard]] auto mayAcknowledge(const Replica &from, std::uint64_t epoch) const -> bool;

    SlotState &m_state;
};

} // namespace stairspur::keyed
