// Measures the cost of keyed calls: memory of a record, messages, bytes and processor time of a call, and the writes
// to the store in a day at the size that docs/CAPACITY.md is for. Prints a table; takes no arguments.

#include <malloc.h>

#include <chrono>
#include <cstdio>
#include <ctime>
#include <string>

#include <stairspur/keyed/PlacementKeeper.h>

#include "FleetDay.h"

using namespace stairspur;
using namespace stairspur::keyed;
using namespace stairspur::keyed::measure;

static constexpr auto recordCount = 50'000;
static constexpr auto callCount = 50'000;
static constexpr auto payloadBytes = std::size_t{300};
static constexpr auto wall = WallMilliseconds{1'700'000'000'000};

static auto processorSeconds() -> double
{
    return double(std::clock()) / CLOCKS_PER_SEC;
}

static auto keyOf(int n) -> std::string
{
    char text[64];
    std::snprintf(text, sizeof text, "kitchen-17\x1f%08x-%04x-7000-8000-%012x", 0x018bcfe5,
                  0x6c00 + n % 256, n);
    return text;
}

static auto measureMemory() -> void
{
    for (const auto payload : {std::size_t{0}, payloadBytes, std::size_t{4096}}) {
        auto table = RecordTable({600'000, 30'000, recordCount, 16'384});
        const auto before = mallinfo2().uordblks;
        for (int n = 0; n < recordCount; ++n) {
            auto record = KeyRecord{keyOf(n), 1, KeyState::Settled};
            record.answer.payload = std::string(payload, 'x');
            table.put(std::move(record));
        }
        const auto after = mallinfo2().uordblks;
        std::printf("memory per record, payload %5zu B: %7.0f B\n", payload,
                    double(after - before) / recordCount);
    }
}

/// Two keepers that exchange their messages directly.
class Pair
{
public:
    Pair()
    {
        m_members = {{m_a, "rack-a"}, {m_b, "rack-b"}};
        auto read = TableRead{true, 0, {"order-intake", "centre", {}}};
        for (long long tick = 0; tick < 200; ++tick) {
            for (auto *it : {&m_first, &m_second}) {
                auto effects = KeeperEffects();
                it->tick(at(tick), m_members, effects);
                if (effects.shouldRead)
                    it->didRead(read, at(tick), m_members, effects);
                if (effects.write) {
                    read.table = effects.write->table;
                    it->didWrite(WriteResult::Written, ++read.revision, at(tick), effects);
                }
                settle(std::move(effects));
            }
        }
    }

    /// Runs keyed call `n` from its Submit to its reply.
    auto call(int n) -> void
    {
        const auto &slots = m_first.table().slots;
        const auto slot = std::uint32_t(n % int(slots.size()));
        auto &primary = slots[slot].primary == m_a ? m_first : m_second;
        auto submit = Submit{1, keyOf(n), 7, slots[slot].epoch};
        const auto bytes = encodeMessage({"order-intake", "centre", slot, m_a, m_b, submit});
        callBytes += 2 * bytes.size(); // The header encodes each byte as two hexadecimal digits.
        auto effects = KeeperEffects();
        primary.submit(slot, {{}, 1}, submit, at(1000), effects);
        settle(std::move(effects));
    }

    std::uint64_t messages = 0;
    std::uint64_t controlBytes = 0;
    std::uint64_t callBytes = 0;
    std::uint64_t answered = 0;

private:
    static auto at(long long tick) -> Instant
    {
        return {TimePoint(Duration(tick * 100'000)), wall};
    }

    auto settle(KeeperEffects effects) -> void
    {
        for (const auto &it : effects.messages) {
            const auto bytes = encodeMessage(it);
            ++messages;
            controlBytes += bytes.size();
            auto next = KeeperEffects();
            (it.to == m_a ? m_first : m_second).didReceive(decodeMessage(bytes), at(1000), next);
            settle(std::move(next));
        }
        for (const auto &it : effects.replies)
            answered += it.reply.answer.outcome == Outcome::Answered ? 1 : 0;
        for (const auto &it : effects.dispatches) {
            auto end = DispatchResult{false, {Outcome::Answered, Reason::None, 201}};
            end.answer.payload = std::string(payloadBytes, 'x');
            auto next = KeeperEffects();
            auto &primary = m_first.table().slots[it.slot].primary == m_a ? m_first : m_second;
            primary.didEnd(it.slot, it.order.key, it.order.bind, end, at(1000), next);
            settle(std::move(next));
        }
    }

    Replica m_a{"10.0.1.1:7100", 1};
    Replica m_b{"10.0.2.1:7100", 1};
    std::vector<PlacementMember> m_members;
    PlacementKeeper<> m_first{m_a, "order-intake", "centre", {}, 1};
    PlacementKeeper<> m_second{m_b, "order-intake", "centre", {}, 2};
};

static auto measureCalls() -> void
{
    auto pair = Pair();
    pair.messages = 0;
    pair.controlBytes = 0;
    const auto before = processorSeconds();
    for (int n = 0; n < callCount; ++n)
        pair.call(n);
    const auto seconds = processorSeconds() - before;
    std::printf("keyed calls: %d, answered: %llu, payload %zu B\n", callCount,
                static_cast<unsigned long long>(pair.answered), payloadBytes);
    std::printf("control messages per call: %.2f, bytes: %.0f\n", double(pair.messages) / callCount,
                double(pair.controlBytes) / callCount);
    std::printf("header bytes on the call (submit): %.0f\n", double(pair.callBytes) / callCount);
    std::printf("processor time per call, primary and witness together, codec included: %.1f us\n",
                seconds / callCount * 1e6);
}

auto main() -> int
{
    measureMemory();
    measureCalls();
    for (const auto seed : {1ULL, 2ULL, 3ULL})
        measureFleetDay(seed);
    return 0;
}
