// Fuzzes the datagrams between a host and the replicas of its leaving instances, as they are read after the check of their HMAC.
#include <cstddef>
#include <cstdint>
#include <string_view>

#include "../Samples.h"
#include <stairspur/core/Error.h>
#include <stairspur/membership/LeavingReplication.h>

using namespace stairspur;
using namespace stairspur::membership;

static auto makeView() -> std::shared_ptr<const MembershipView>
{
    auto view = MembershipView();
    for (const auto *it : {"10.0.0.1:7100", "10.0.0.2:7100"}) {
        auto member = Member();
        member.node = it;
        member.domain = "centre";
        view.members.push_back(member);
    }
    return std::make_shared<const MembershipView>(std::move(view));
}

static auto makeSamples() -> std::vector<std::string>
{
    return {writeLeavingMessage({false, {1, 2}, {}}),
            writeLeavingMessage({true, {1, UINT64_MAX}, {"10.0.0.3:7100"}})};
}

extern "C" auto LLVMFuzzerTestOneInput(const std::uint8_t *data, std::size_t size) -> int
{
    static const auto start = TimePoint{Duration{1'000'000'000}};
    auto replication = LeavingReplication("10.0.0.1:7100", "centre", start);
    replication.setView(makeView(), start);
    try {
        const auto message = readLeavingMessage({reinterpret_cast<const char *>(data), size});
        replication.receive("10.0.0.2:7100", message, start);
    } catch (const InputError &) {
        return 0; // The service catches only this error.
    }
    replication.tick(start + std::chrono::seconds(1));
    for (const auto &[to, message] : replication.takeMessages())
        readLeavingMessage(writeLeavingMessage(message));
    return 0;
}

extern "C" auto LLVMFuzzerCustomMutator(std::uint8_t *data, std::size_t size, std::size_t maxSize,
                                        unsigned seed) -> std::size_t
{
    static const auto samples = makeSamples();
    return fuzz::mutateOrSample(samples, data, size, maxSize, seed);
}
