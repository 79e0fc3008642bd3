/// @file
/// The mirror applies readings in any order and never returns to an older state.

#include "config/object_mirror.h"

#include <catch2/catch.hpp>

using namespace hawthornlug;

namespace {

constexpr ObjectKind kKind = ObjectKind::kServer;

StoreReading Reading(Version aAt, std::vector<StoredObject> aObjects)
{
  return { StoreResult::kDone, std::move(aObjects), aAt };
}

std::string Names(const ObjectMirror& aMirror)
{
  std::string names;
  for (const StoredObject& it : aMirror.All(kKind)) {
    names += it.name + std::to_string(it.revision) + " ";
  }
  return names;
}

} // namespace

TEST_CASE("a list removes objects that are not in it, a watch adds changes", "[config]")
{
  ObjectMirror mirror;
  CHECK(mirror.ApplyList(kKind, Reading(10, { { "a", 3, false, "{}" }, { "b", 9, false, "{}" } }))
          .size() == 2);
  CHECK(mirror.ApplyChanges(kKind, 10, Reading(12, { { "a", 12, false, "{}" } })).size() == 1);
  CHECK(Names(mirror) == "a12 b9 ");
  const auto removals = mirror.ApplyList(kKind, Reading(20, { { "a", 12, false, "{}" } }));
  REQUIRE(removals.size() == 1);
  CHECK(removals[0].name == "b");
  CHECK(removals[0].removed);
  CHECK(mirror.At(kKind) == 20);
}

TEST_CASE("an older reading changes nothing", "[config]")
{
  ObjectMirror mirror;
  mirror.ApplyList(kKind, Reading(20, { { "a", 15, false, "new" } }));
  CHECK(mirror.ApplyList(kKind, Reading(10, { { "a", 5, false, "old" } })).empty());
  CHECK(mirror.ApplyChanges(kKind, 10, Reading(16, { { "a", 5, false, "old" } })).empty());
  CHECK(Names(mirror) == "a15 ");
  CHECK(mirror.At(kKind) == 20);
}

TEST_CASE("changes that leave a gap are not applied", "[config]")
{
  ObjectMirror mirror;
  mirror.ApplyList(kKind, Reading(10, {}));
  CHECK(mirror.ApplyChanges(kKind, 12, Reading(15, { { "a", 14, false, "{}" } })).empty());
  CHECK(mirror.At(kKind) == 10);
}

TEST_CASE("a removal carries the last revision of the object, which may be created again",
          "[config]")
{
  ObjectMirror mirror;
  mirror.ApplyList(kKind, Reading(10, { { "a", 5, false, "{}" } }));
  mirror.ApplyChanges(kKind, 10, Reading(12, { { "a", 5, true, "null" } }));
  CHECK(Names(mirror).empty());
  // Another daemon sends the older state of the object, late: the object stays removed.
  CHECK(mirror.ApplyChanges(kKind, 9, Reading(11, { { "a", 5, false, "{}" } })).empty());
  CHECK(Names(mirror).empty());
  mirror.ApplyChanges(kKind, 12, Reading(14, { { "a", 14, false, "{}" } }));
  CHECK(Names(mirror) == "a14 ");
}

TEST_CASE("another daemon reaches the same state from the changes sent to it", "[config]")
{
  ObjectMirror source;
  source.ApplyList(kKind, Reading(10, { { "a", 5, false, "{}" }, { "b", 6, false, "{}" } }));
  ObjectMirror target;
  target.ApplyList(kKind, Reading(10, { { "a", 5, false, "{}" }, { "b", 6, false, "{}" } }));
  source.ApplyChanges(kKind, 10, Reading(20, { { "a", 5, true, "" }, { "c", 18, false, "{}" } }));
  const MirrorChanges changes = source.ChangesSince(kKind, 10);
  CHECK_FALSE(changes.whole);
  target.ApplyChanges(kKind, changes.since, Reading(changes.at, changes.objects));
  CHECK(Names(target) == Names(source));
  CHECK(target.At(kKind) == 20);

  ObjectMirror late;
  const MirrorChanges all = source.ChangesSince(kKind, late.At(kKind));
  CHECK(all.whole);
  late.ApplyList(kKind, Reading(all.at, all.objects));
  CHECK(Names(late) == Names(source));
}

TEST_CASE("a list with a gap adds and changes objects, and removes none", "[config]")
{
  ObjectMirror mirror;
  CHECK(mirror.ApplyPart(kKind, Reading(5, { { "a", 3, false, "{}" } })).size() == 1);
  CHECK(mirror.At(kKind) == 0);
  // Changes since then can't be applied: what lies before them isn't known.
  CHECK(mirror.ApplyChanges(kKind, 5, Reading(6, { { "b", 6, false, "{}" } })).empty());
  mirror.ApplyList(kKind, Reading(10, { { "a", 3, false, "{}" }, { "b", 9, false, "{}" } }));
  const auto changes = mirror.ApplyPart(
    kKind,
    Reading(20, { { "a", 3, false, "{}" }, { "b", 15, false, "x" }, { "c", 16, false, "" } }));
  CHECK(changes.size() == 2);
  CHECK(mirror.ApplyPart(kKind, Reading(30, {})).empty());
  CHECK(Names(mirror) == "a3 b15 c16 ");
  CHECK(mirror.At(kKind) == 10);
}
