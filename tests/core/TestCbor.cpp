#include <criterion/criterion.h>

#include <limits>
#include <string>

#include <stairspur/core/Cbor.h>
#include <stairspur/core/Error.h>

using namespace stairspur;

Test(Cbor, decodesEncodedValue)
{
    const auto value = nlohmann::json{{"a", {1, -2, 3.5, true, nullptr}},
                                      {"b", nlohmann::json::binary({1, 2})},
                                      {"c", std::string(300, 'x')}};
    cr_assert(fromCbor(toCbor(value)) == value);
}

Test(Cbor, malformedBytesThrowOnlyInputError)
{
    static constexpr auto NestingDepth = std::size_t{1'000'000};
    struct
    {
        const char *name;
        std::string bytes;
    } cases[] = {
            {"nothing", ""},
            {"truncated text", "\x65"
                               "ab"},
            {"two items", "\x01\x02"},
            {"nested arrays", std::string(NestingDepth, '\x81')},
            {"nested maps", std::string(NestingDepth, '\xa1')},
            {"nested tags", std::string(NestingDepth, '\xc1')},
            {"nested indefinite arrays", std::string(NestingDepth, '\x9f')},
            {"nested indefinite texts", std::string(NestingDepth, '\x7f')},
            {"nested indefinite byte strings", std::string(NestingDepth, '\x5f')},
            {"an array of 2^63 items", "\x9b\x80" + std::string(7, '\0')},
            {"a map of 2^63 pairs", "\xbb\x80" + std::string(7, '\0')},
            {"a text of 2^63 bytes", "\x7b\x80" + std::string(7, '\0')},
            {"a byte string of 2^64-1 bytes", "\x5b" + std::string(8, '\xff')},
            {"a map whose key is a number", "\xa1\x01\x01"},
    };
    for (const auto &it : cases) {
        auto isRejected = false;
        try {
            fromCbor(it.bytes);
        } catch (const InputError &) {
            isRejected = true;
        }
        cr_expect(isRejected, "%s", it.name);
    }
}

Test(Cbor, onlyIntegersAreReadAsIntegers)
{
    const auto most = std::numeric_limits<std::uint64_t>::max();
    cr_assert_eq(readUnsigned(most), most);
    cr_assert_eq(readSigned(-5), -5);
    cr_assert_eq(readSigned(5U), 5);
    for (const auto &it : {nlohmann::json(1e300), nlohmann::json(-1), nlohmann::json(1.5),
                           nlohmann::json("1"), nlohmann::json(true), nlohmann::json()})
        cr_expect_throw(readUnsigned(it), InputError, "%s", it.dump().c_str());
    for (const auto &it :
         {nlohmann::json(1e300), nlohmann::json(most), nlohmann::json(1.5), nlohmann::json("1")})
        cr_expect_throw(readSigned(it), InputError, "%s", it.dump().c_str());
}
