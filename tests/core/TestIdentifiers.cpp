#include <criterion/criterion.h>

#include <stairspur/core/Error.h>
#include <stairspur/core/Identifiers.h>
#include <stairspur/core/Level.h>
#include <stairspur/core/Outcome.h>

using namespace stairspur;

Test(Identifiers, rootIdRoundTripsThroughText)
{
    const auto *text = "4bf92f3577b34da6a3ce929d0e0e4736";
    const auto id = parseRootId(text);
    cr_assert_eq(id.toString(), text);
    cr_assert_eq(id.hash(), parseRootId(text).hash());
}

Test(Identifiers, malformedRootIdsAreRejected)
{
    const char *cases[] = {"", "4bf9", "00000000000000000000000000000000",
                           "4bf92f3577b34da6a3ce929d0e0e473z", "4bf92f3577b34da6a3ce929d0e0e47360"};
    for (const auto *it : cases)
        cr_assert_throw(parseRootId(it), InputError, "accepted '%s'", it);
}

Test(Level, classTakesPrecedenceOverHash)
{
    cr_assert(makeLevel(0, 0) > makeLevel(1, 127));
    cr_assert(makeLevel(1, 1) > makeLevel(1, 0));
    cr_assert(makeLevel(0, 127) < ClosedLevel);
    cr_assert_eq(makeLevel(3, 5).rank(), 3);
}

Test(EnumNames, valuesConvertToAndFromNames)
{
    cr_assert_eq(nameOf(Outcome::NotRun), "not-run");
    cr_assert_eq(nameOf(Reason::DamagedAnswer), "damaged-answer");
    cr_assert(fromName<Outcome>("unknown") == Outcome::Unknown);
    cr_assert(!fromName<Outcome>("perhaps"));
}
