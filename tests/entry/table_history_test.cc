#include "entry/table_history.h"

#include <doctest/doctest.h>

namespace toucandock::entry {
namespace {

core::keyspace::OwnershipTable Table(core::Offset offset, bool serving) {
  return {.service = "s",
          .offset = offset,
          .assignments = {{.owner = {.id = "a"}, .serving = serving}}};
}

}  // namespace

// Guards against hosts that keep outdated owners because they were sent changes
// of a table that they do not have.
TEST_CASE("a host must be brought to the newest owners or sent to the store") {
  TableHistory history;
  history.Add(Table(4, false));
  history.Add(Table(6, true));
  // A record that arrives twice, or late, changes nothing.
  history.Add(Table(4, false));

  SUBCASE("it has the table before the newest") {
    const auto update = history.UpdateFrom(5, 7);
    REQUIRE(update);
    CHECK(update->end == 7);
    REQUIRE(update->deltas.size() == 1);
    CHECK(update->deltas[0].base == 4);

    SUBCASE("and applies the change") {
      TableHistory behind;
      behind.Add(Table(4, false));
      const auto table = behind.Apply(update->deltas[0]);
      REQUIRE(table);
      CHECK(table->offset == 6);
      CHECK(table->assignments[0].serving);
    }
    SUBCASE(
        "but has read a later table meanwhile, so that it cannot be applied") {
      CHECK_FALSE(history.Apply(update->deltas[0]));
    }
  }

  SUBCASE("it has the newest table") {
    CHECK(history.UpdateFrom(7, 7)->deltas.empty());
  }

  SUBCASE("its table is not known") {
    CHECK_FALSE(history.UpdateFrom(4, 7));
    CHECK_FALSE(TableHistory().Apply({.base = 4, .changes = Table(6, true)}));
  }

  // Two tables may have the same position of an era whose records were lost.
  SUBCASE("its table belongs to an earlier era of the store") {
    const core::Offset later = core::MakePosition(1, 2);
    history.Add(Table(later, false));
    CHECK_FALSE(history.UpdateFrom(7, later + 1));
    const ReadResult newest = history.Newest(later + 1);
    REQUIRE(newest.records.size() == 1);
    CHECK(newest.records[0].offset == later);
  }

  SUBCASE("its table is too old") {
    for (core::Offset n = 10; n < 30; ++n) {
      history.Add(Table(n, true));
    }
    CHECK_FALSE(history.UpdateFrom(7, 30));
    CHECK(history.UpdateFrom(25, 30));
  }
}

}  // namespace toucandock::entry
