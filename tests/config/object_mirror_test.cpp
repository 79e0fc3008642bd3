/// @file
/// The mirror applies readings in any order and never returns to an older state.

#include "config/object_mirror.h"

#include <catch2/catch.hpp>

using namespace hawthornlug;

namespace {

constexpr ObjectKind kKind = ObjectKind::kServer;

StoreReading Reading(StoreRevision aAt, std::vector<StoredObject> aObjects)
{
  return { StoreResult::kDone, std::move(aObjects), aAt };
}

std::string Names(const ObjectMirror& aMirror)
{
  std::string names;
  for (const StoredObject& it : aMirror.All(kKind)) {
    names += it.name + std::to_string(it.revision.Number()) + " ";
  }
  return names;
}

} // namespace

TEST_CASE("a list removes objects that are not in it, a watch adds changes", "[config]")
{
  ObjectMirror mirror;
  CHECK(mirror
          .ApplyList(kKind,
                     Reading(StoreRevision(10),
                             { { "a", StoreRevision(3), false, "{}" },
                               { "b", StoreRevision(9), false, "{}" } }))
          .size() == 2);
  CHECK(mirror
          .ApplyChanges(kKind,
                        StoreRevision(10),
                        Reading(StoreRevision(12), { { "a", StoreRevision(12), false, "{}" } }))
          .size() == 1);
  CHECK(Names(mirror) == "a12 b9 ");
  const auto removals = mirror.ApplyList(
    kKind, Reading(StoreRevision(20), { { "a", StoreRevision(12), false, "{}" } }));
  REQUIRE(removals.size() == 1);
  CHECK(removals[0].name == "b");
  CHECK(removals[0].removed);
  CHECK(mirror.At(kKind) == StoreRevision(20));
}

TEST_CASE("an older reading changes nothing", "[config]")
{
  ObjectMirror mirror;
  mirror.ApplyList(kKind, Reading(StoreRevision(20), { { "a", StoreRevision(15), false, "new" } }));
  CHECK(
    mirror.ApplyList(kKind, Reading(StoreRevision(10), { { "a", StoreRevision(5), false, "old" } }))
      .empty());
  CHECK(mirror
          .ApplyChanges(kKind,
                        StoreRevision(10),
                        Reading(StoreRevision(16), { { "a", StoreRevision(5), false, "old" } }))
          .empty());
  CHECK(Names(mirror) == "a15 ");
  CHECK(mirror.At(kKind) == StoreRevision(20));
}

TEST_CASE("changes that leave a gap are not applied", "[config]")
{
  ObjectMirror mirror;
  mirror.ApplyList(kKind, Reading(StoreRevision(10), {}));
  CHECK(mirror
          .ApplyChanges(kKind,
                        StoreRevision(12),
                        Reading(StoreRevision(15), { { "a", StoreRevision(14), false, "{}" } }))
          .empty());
  CHECK(mirror.At(kKind) == StoreRevision(10));
}

TEST_CASE("a removal carries the last revision of the object, which may be created again",
          "[config]")
{
  ObjectMirror mirror;
  mirror.ApplyList(kKind, Reading(StoreRevision(10), { { "a", StoreRevision(5), false, "{}" } }));
  mirror.ApplyChanges(kKind,
                      StoreRevision(10),
                      Reading(StoreRevision(12), { { "a", StoreRevision(5), true, "null" } }));
  CHECK(Names(mirror).empty());
  // Another daemon sends the older state of the object, late: the object stays removed.
  CHECK(mirror
          .ApplyChanges(kKind,
                        StoreRevision(9),
                        Reading(StoreRevision(11), { { "a", StoreRevision(5), false, "{}" } }))
          .empty());
  CHECK(Names(mirror).empty());
  mirror.ApplyChanges(kKind,
                      StoreRevision(12),
                      Reading(StoreRevision(14), { { "a", StoreRevision(14), false, "{}" } }));
  CHECK(Names(mirror) == "a14 ");
}

TEST_CASE("another daemon reaches the same state from the changes sent to it", "[config]")
{
  ObjectMirror source;
  source.ApplyList(
    kKind,
    Reading(StoreRevision(10),
            { { "a", StoreRevision(5), false, "{}" }, { "b", StoreRevision(6), false, "{}" } }));
  ObjectMirror target;
  target.ApplyList(
    kKind,
    Reading(StoreRevision(10),
            { { "a", StoreRevision(5), false, "{}" }, { "b", StoreRevision(6), false, "{}" } }));
  source.ApplyChanges(
    kKind,
    StoreRevision(10),
    Reading(StoreRevision(20),
            { { "a", StoreRevision(5), true, "" }, { "c", StoreRevision(18), false, "{}" } }));
  const MirrorChanges changes = source.ChangesSince(kKind, StoreRevision(10));
  CHECK_FALSE(changes.whole);
  target.ApplyChanges(kKind, changes.since, Reading(changes.at, changes.objects));
  CHECK(Names(target) == Names(source));
  CHECK(target.At(kKind) == StoreRevision(20));

  ObjectMirror late;
  const MirrorChanges all = source.ChangesSince(kKind, late.At(kKind));
  CHECK(all.whole);
  late.ApplyList(kKind, Reading(all.at, all.objects));
  CHECK(Names(late) == Names(source));
}

TEST_CASE("a list with a gap adds and changes objects, and removes none", "[config]")
{
  ObjectMirror mirror;
  CHECK(
    mirror.ApplyPart(kKind, Reading(StoreRevision(5), { { "a", StoreRevision(3), false, "{}" } }))
      .size() == 1);
  CHECK(mirror.At(kKind) == StoreRevision(0));
  // Changes since then can't be applied: what lies before them isn't known.
  CHECK(mirror
          .ApplyChanges(kKind,
                        StoreRevision(5),
                        Reading(StoreRevision(6), { { "b", StoreRevision(6), false, "{}" } }))
          .empty());
  mirror.ApplyList(
    kKind,
    Reading(StoreRevision(10),
            { { "a", StoreRevision(3), false, "{}" }, { "b", StoreRevision(9), false, "{}" } }));
  const auto changes = mirror.ApplyPart(kKind,
                                        Reading(StoreRevision(20),
                                                { { "a", StoreRevision(3), false, "{}" },
                                                  { "b", StoreRevision(15), false, "x" },
                                                  { "c", StoreRevision(16), false, "" } }));
  CHECK(changes.size() == 2);
  CHECK(mirror.ApplyPart(kKind, Reading(StoreRevision(30), {})).empty());
  CHECK(Names(mirror) == "a3 b15 c16 ");
  CHECK(mirror.At(kKind) == StoreRevision(10));
}
