#include <criterion/criterion.h>

#include <stairspur/transport/HeaderList.h>

using namespace stairspur::transport;

Test(HeaderList, namesAreComparedWithoutRegardToCase)
{
    auto list = HeaderList();
    list.add("Accept", "a");
    list.add("ACCEPT", "b");
    list.add("Accept-Language", "c");
    cr_assert_eq(list.find("accept"), "a");
    cr_assert(list.contains("aCCEPT-language"));
    cr_assert(!list.contains("Accep"));
    cr_assert_eq(list.find("Host"), "");

    list.set("accept", "d");
    cr_assert_eq(list.fields().size(), 2);
    cr_assert_eq(list.find("Accept"), "d");

    list.remove("ACCEPT");
    cr_assert(!list.contains("Accept"));
    cr_assert_eq(list.fields().size(), 1);
}
