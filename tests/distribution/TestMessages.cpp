#include <vector>

#include <stairspur/core/Cbor.h>
#include <stairspur/core/Error.h>
#include <stairspur/distribution/Messages.h>

#include <criterion/criterion.h>

using namespace stairspur;
using namespace stairspur::distribution;
using Json = nlohmann::json;

static auto digest() -> Json
{
    const auto bytes = Digest().encode();
    return Json::binary(std::vector<std::uint8_t>(bytes.begin(), bytes.end()));
}

Test(DistributionMessages, aNumberThatIsNoIntegerIsRefused)
{
    const auto delta = static_cast<int>(DatagramKind::Delta);
    const auto confirm = static_cast<int>(DatagramKind::Confirm);
    const auto changes = Json::array({Json::object(), Json::array()});
    for (const auto &number : {Json(1e300), Json(-1e300), Json(-1), Json(0.5)}) {
        const Json datagrams[] = {{number, digest()},
                                  {delta, digest(), number, changes},
                                  {confirm, digest(), {number, 1, 1}},
                                  {confirm, digest(), {1, number, 1}},
                                  {confirm, digest(), {1, 1, 1e300}}};
        for (const auto &it : datagrams)
            cr_expect_throw(decodeDatagram(toCbor(it)), InputError, "%s", it.dump().c_str());
        cr_expect_throw(decodePullRequest(toCbor({number, "cursor"})), InputError);
        cr_expect_throw(decodePullReply(toCbor({digest(), number, changes, "", true})), InputError);
    }
}
