#include "core/keyspace/ownership_delta.h"

#include <doctest/doctest.h>

#include <random>

namespace toucandock::core::keyspace {
namespace {

OwnershipTable Table(Offset offset, std::vector<Assignment> assignments) {
  return {.service = "s",
          .writer = "w",
          .offset = offset,
          .assignments = std::move(assignments)};
}

Assignment Range(std::uint32_t first, std::uint32_t last, const char* owner) {
  return {.keys = {.first = first, .last = last},
          .owner = {.id = owner, .start_time_ms = 1},
          .serving = true};
}

}  // namespace

// Seen in kc-brama-grown quiet-1: complete tables for 65 hosts saturated the
// network link of the leader, so that its grants arrived too late.
TEST_CASE("a move must not send the whole table to every host") {
  const OwnershipTable base = Table(
      7, {Range(0, 99, "a"), Range(100, 199, "b"), Range(200, kLastKey, "c")});

  SUBCASE("a piece of one range moves: only that range is sent") {
    OwnershipTable next =
        Table(9, {Range(0, 99, "a"), Range(100, 149, "b"), Range(150, 199, "a"),
                  Range(200, kLastKey, "c")});
    next.assignments[2].previous = {{.id = "b", .start_time_ms = 1}};
    const OwnershipDelta delta = ComputeDelta(base, next);
    CHECK(delta.changes.assignments.size() == 2);
    const auto applied = ApplyDelta(base, delta);
    REQUIRE(applied);
    CHECK(applied->assignments == next.assignments);
    CHECK(applied->offset == 9);

    SUBCASE("it is refused for another table") {
      CHECK_FALSE(ApplyDelta(Table(8, base.assignments), delta));
    }
    SUBCASE("it is refused for another service") {
      OwnershipTable other = base;
      other.service = "t";
      CHECK_FALSE(ApplyDelta(other, delta));
    }
  }

  SUBCASE("neighbouring ranges are merged") {
    const OwnershipTable next =
        Table(9, {Range(0, 199, "a"), Range(200, kLastKey, "c")});
    CHECK(ApplyDelta(base, ComputeDelta(base, next))->assignments ==
          next.assignments);
  }

  SUBCASE("only the writer changes") {
    OwnershipTable next = base;
    next.offset = 9;
    next.writer = "x";
    const OwnershipDelta delta = ComputeDelta(base, next);
    CHECK(delta.changes.assignments.empty());
    CHECK(ApplyDelta(base, delta)->writer == "x");
  }

  SUBCASE("a delta that leaves a gap is refused") {
    OwnershipDelta delta = ComputeDelta(base, base);
    delta.changes.assignments = {Range(50, 60, "x")};
    CHECK_FALSE(ApplyDelta(base, delta));
  }

  SUBCASE("the delta of any two tables yields the later one") {
    std::minstd_rand random(1);
    const auto any = [&random](Offset offset) {
      std::vector<Assignment> ranges;
      for (std::uint32_t first = 0; first <= kLastKey;) {
        const std::uint32_t last =
            std::min<std::uint32_t>(kLastKey, first + random() % 9'000);
        ranges.push_back(Range(first, last, random() % 2 == 0 ? "a" : "b"));
        first = last + 1;
      }
      return Table(offset, std::move(ranges));
    };
    for (int n = 0; n < 200; ++n) {
      const OwnershipTable from = any(1);
      const OwnershipTable to = any(2);
      const auto applied = ApplyDelta(from, ComputeDelta(from, to));
      REQUIRE(applied);
      CHECK(applied->assignments == to.assignments);
    }
  }
}

}  // namespace toucandock::core::keyspace
