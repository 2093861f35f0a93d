#include "core/control/control_state.h"

#include <doctest/doctest.h>

#include <string>
#include <utility>

namespace toucandock::core::control {
namespace {

// Appends records at rising offsets and folds them.
class Log {
 public:
  FoldResult Add(HostId author,
                 Ballot ballot,
                 Offset builds_on,
                 RecordBody body) {
    const Offset offset = state.next;
    last = offset;
    return Fold(state, {offset, Record{.id = "r" + std::to_string(offset),
                                       .author = std::move(author),
                                       .ballot = std::move(ballot),
                                       .builds_on = builds_on,
                                       .body = std::move(body)}});
  }

  ControlState state;
  Offset last = 0;
};

HostInfo Host(const std::string& id) {
  return {.id = id, .peer_address = id + ":1"};
}

}  // namespace

TEST_CASE("a replaced leader's late records must not change the state") {
  Log log;
  REQUIRE(log.Add("a", {}, 0, JoinRecord{Host("a")}) == FoldResult::kApplied);
  const Ballot first{log.state.ballot.number + 1, "a"};
  REQUIRE(log.Add("a", first, log.state.last_leader_record, TermRecord{}) ==
          FoldResult::kApplied);
  const Offset seen_by_first = log.state.last_leader_record;
  const Unit unit{"callboard", 3};
  REQUIRE(log.Add("a", first, seen_by_first,
                  SettleRecord{{{unit, {"callboard/t1", 100}}}}) ==
          FoldResult::kApplied);

  SUBCASE("a second leader is elected") {
    const Ballot second{first.number + 1, "b"};
    REQUIRE(log.Add("b", second, log.state.last_leader_record, TermRecord{}) ==
            FoldResult::kApplied);

    SUBCASE("a late record of the first one is stale") {
      CHECK(log.Add("a", first, log.state.last_leader_record,
                    SettleRecord{{{unit, {"callboard/t2", 101}}}}) ==
            FoldResult::kStale);
      CHECK(log.state.assignments.at(unit).owner == "callboard/t1");
    }

    SUBCASE("its late term record is stale as well") {
      CHECK(log.Add("a", first, log.state.last_leader_record, TermRecord{}) ==
            FoldResult::kStale);
      CHECK(log.state.ballot == second);
    }

    SUBCASE("a repeated settle record with a lower fence changes nothing") {
      REQUIRE(log.Add("b", second, log.state.last_leader_record,
                      SettleRecord{{{unit, {"callboard/t3", 200}}}}) ==
              FoldResult::kApplied);
      log.Add("b", second, log.state.last_leader_record,
              SettleRecord{{{unit, {"callboard/t1", 100}}}});
      CHECK(log.state.assignments.at(unit) == Assignment{"callboard/t3", 200});
    }
  }

  SUBCASE("the same append arrives twice because its answer was lost") {
    const Offset builds_on = log.state.last_leader_record;
    const SettleRecord move{{{unit, {"callboard/t2", 101}}}};
    CHECK(log.Add("a", first, builds_on, move) == FoldResult::kApplied);
    CHECK(log.Add("a", first, builds_on, move) == FoldResult::kStale);
  }
}

TEST_CASE("two operators who publish at once must not both win") {
  Log log;
  log.Add("a", {}, 0, JoinRecord{Host("a")});
  const Ballot ballot{log.state.ballot.number + 1, "a"};
  log.Add("a", ballot, log.state.last_leader_record, TermRecord{});
  log.Add("x", {}, 0, PublishRecord{"text x", "x", 0});
  const std::string first = "r" + std::to_string(log.last);
  log.Add("y", {}, 0, PublishRecord{"text y", "y", 0});
  const std::string second = "r" + std::to_string(log.last);
  REQUIRE(log.state.proposals.size() == 2);

  SUBCASE("the first is accepted") {
    REQUIRE(log.Add("a", ballot, log.state.last_leader_record,
                    AcceptRecord{first, 1}) == FoldResult::kApplied);
    CHECK(log.state.config_text == "text x");

    SUBCASE("the second was edited from an older version and is void") {
      CHECK(log.Add("a", ballot, log.state.last_leader_record,
                    AcceptRecord{second, 2}) == FoldResult::kVoid);
      CHECK(log.state.config_version == 1);
      CHECK(log.state.config_text == "text x");
    }

    SUBCASE("the second is refused and its author finds the reason") {
      log.Add("a", ballot, log.state.last_leader_record,
              RefuseRecord{second, "config-conflict: version 1"});
      CHECK_FALSE(log.state.verdicts.at(second).accepted);
      CHECK(log.state.verdicts.at(second).version == 1);
    }
  }
}

TEST_CASE("fences must rise when the membership is founded anew") {
  Log log;
  log.Add("a", {}, 0, JoinRecord{Host("a")});
  const Ballot ballot{log.state.ballot.number + 1, "a"};
  log.Add("a", ballot, log.state.last_leader_record, TermRecord{});
  const Fence before = log.state.next_fence + 50;
  log.Add("a", ballot, log.state.last_leader_record,
          SettleRecord{{{{"callboard", 0}, {"callboard/t1", before}}}});

  SUBCASE("every voter is lost and another host reforms the fleet") {
    log.Add("b", {}, 0, JoinRecord{Host("b")});
    REQUIRE(log.Add("b", {}, log.state.last_leader_record,
                    ReformRecord{{Host("b")}}) == FoldResult::kApplied);
    CHECK(log.state.next_fence > before);
    CHECK(Voters(log.state) == std::vector<HostId>{"b"});

    SUBCASE("the old leader's ballot is not valid any more") {
      CHECK(log.Add("a", ballot, log.state.last_leader_record,
                    EvictRecord{"b"}) == FoldResult::kStale);
    }
  }

  SUBCASE("all records are lost to retention, but offsets go on") {
    ControlState empty;
    empty.next = 5'000;
    Fold(empty,
         {5'000,
          Record{.id = "j", .author = "c", .body = JoinRecord{Host("c")}}});
    CHECK(empty.next_fence > before);
  }
}

}  // namespace toucandock::core::control
