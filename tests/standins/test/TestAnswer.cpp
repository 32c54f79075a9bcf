#include <array>
#include <string>
#include <string_view>

#include <criterion/criterion.h>
#include <criterion/new/assert.h>

#include "../shared/Answer.h"
#include "../shared/IdempotencyKey.h"

using namespace stairspur;
using namespace stairspur::standins;

namespace {

constexpr auto nonce = "5f3759df00000001";
constexpr auto service = "order-intake";
constexpr auto answerBytes = 400;

auto hashOf(const std::string &body) -> std::string
{
    return toHex(hash64(body));
}

} // namespace

/// An answer that is whole and the call's own passes; each way in which it can be neither is noticed.
Test(Answer, isTakenOnlyWholeAndByItsOwnCall)
{
    const auto own = makeAnswerBody(nonce, service, 1, answerBytes);
    const auto crossed = makeAnswerBody("5f3759df00000002", service, 1, answerBytes);
    const auto elsewhere = makeAnswerBody(nonce, "courier-maps", 1, answerBytes);
    const auto cut = own.substr(0, own.size() / 2);
    auto damaged = own;
    damaged[own.size() / 2] ^= 1;
    const auto spliced = cut + crossed.substr(crossed.size() / 2);

    struct Case
    {
        std::string_view what;
        std::string body;
        std::string hash;
        bool isTaken;
    };
    const auto cases = std::array{
            Case{"own", own, hashOf(own), true},
            Case{"another call's, with its hash", crossed, hashOf(crossed), false},
            Case{"another call's, with this one's hash", crossed, hashOf(own), false},
            Case{"another service's", elsewhere, hashOf(elsewhere), false},
            Case{"cut short", cut, hashOf(own), false},
            Case{"cut short, hashed anew", cut, hashOf(cut), false},
            Case{"one bit flipped", damaged, hashOf(own), false},
            Case{"two halves of two answers", spliced, hashOf(own), false},
            Case{"without a hash", own, "", false},
            Case{"no JSON", "whole", hashOf("whole"), false},
            Case{"empty", "", hashOf(""), false},
    };
    for (const auto &it : cases)
        cr_expect(isAnswerTo(nonce, service, it.body, it.hash) == it.isTaken, "%s", it.what.data());
}

Test(Answer, hasTheSizeThatWasAskedFor)
{
    for (const auto size : {128U, 129U, 512U, 10'000U})
        cr_expect(eq(sz, makeAnswerBody(nonce, service, 1, size).size(), size));
}

Test(RequestBody, isReadAsWritten)
{
    const auto written =
            RequestBody{.nonce = nonce, .key = "k", .path = {"courier-maps", "courier-payouts"}};
    const auto read = readRequestBody(writeRequestBody(written, 256));
    cr_expect(read.nonce == written.nonce);
    cr_expect(read.key == written.key);
    cr_expect(read.path == written.path);
    cr_expect(readRequestBody("raw-nonce").nonce == "raw-nonce");
}

/// A parent that runs again must repeat its deeper call's key, or that call would run twice.
Test(IdempotencyKey, ofDeeperCallFollowsFromParent)
{
    auto random = Random(1);
    const auto parent = makeIdempotencyKey(random);
    const auto deeper = deriveIdempotencyKey(parent, "courier-payouts");
    cr_expect(deeper == deriveIdempotencyKey(parent, "courier-payouts"));
    cr_expect(deeper != deriveIdempotencyKey(parent, "order-intake"));
    cr_expect(deeper != deriveIdempotencyKey(makeIdempotencyKey(random), "courier-payouts"));
    cr_expect(deeper.substr(0, 13) == parent.substr(0, 13), "the time of making is kept");
    cr_expect(eq(sz, deeper.size(), 36));
    cr_expect(deeper[14] == '7');
    cr_expect(deriveIdempotencyKey("bezigrad/" + parent, "courier-payouts")
              == "bezigrad/" + deeper);
}
