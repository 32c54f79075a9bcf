#include <criterion/criterion.h>

#include <string>

#include <stairspur/blackboard/Blackboard.h>

using namespace stairspur::blackboard;

Test(Blackboard, snapshotsStayUnchangedAfterPublish)
{
    auto entry = Entry<std::string>();
    entry.publish("first");
    const auto snapshot = entry.read();
    const auto generation = entry.generation();
    entry.publish("second");
    cr_assert_eq(*snapshot, "first");
    cr_assert_eq(*entry.read(), "second");
    cr_assert_gt(entry.generation(), generation);
}

Test(Blackboard, sharedSnapshotIsNotCopied)
{
    auto entry = Entry<std::string>();
    const auto generation = entry.generation();
    const auto snapshot = std::make_shared<const std::string>("large");
    entry.publishSnapshot(snapshot);
    cr_assert_eq(entry.read().get(), snapshot.get());
    cr_assert_gt(entry.generation(), generation);
}
