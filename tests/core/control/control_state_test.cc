#include "core/control/control_state.h"

#include <doctest/doctest.h>

#include <string>
#include <utility>

namespace toucandock::core::control {
namespace {

// Appends records at rising offsets and applies them.
class Log {
 public:
  ApplyResult Add(HostId author,
                  Ballot ballot,
                  Offset previous_leader_record,
                  RecordBody body) {
    const Offset offset = state.next;
    last = offset;
    return ApplyEntry(
        state, {offset, Record{.id = "r" + std::to_string(offset),
                               .author = std::move(author),
                               .ballot = std::move(ballot),
                               .previous_leader_record = previous_leader_record,
                               .body = std::move(body)}});
  }

  ControlState state;
  Offset last = 0;
};

HostInfo Host(const std::string& id) {
  return {.id = id, .peer_address = id + ":1"};
}

}  // namespace

// An append of the replaced leader may be delayed until after the first record
// of its successor.
TEST_CASE("a replaced leader's late records must not change the state") {
  Log log;
  REQUIRE(log.Add("a", {}, 0, JoinRecord{Host("a")}) == ApplyResult::kApplied);
  const Ballot first{log.state.ballot.number + 1, "a"};
  REQUIRE(log.Add("a", first, log.state.last_leader_record, TermRecord{}) ==
          ApplyResult::kApplied);
  const Offset seen_by_first = log.state.last_leader_record;
  const Unit unit{"callboard", 3};
  REQUIRE(log.Add("a", first, seen_by_first,
                  AssignmentRecord{{{unit, {"callboard/t1", 100}}}}) ==
          ApplyResult::kApplied);

  SUBCASE("a second leader is elected") {
    const Ballot second{first.number + 1, "b"};
    REQUIRE(log.Add("b", second, log.state.last_leader_record, TermRecord{}) ==
            ApplyResult::kApplied);

    SUBCASE("a late record of the first one is stale") {
      CHECK(log.Add("a", first, log.state.last_leader_record,
                    AssignmentRecord{{{unit, {"callboard/t2", 101}}}}) ==
            ApplyResult::kStale);
      CHECK(log.state.assignments.at(unit).owner == "callboard/t1");
    }

    SUBCASE("its late term record is stale as well") {
      CHECK(log.Add("a", first, log.state.last_leader_record, TermRecord{}) ==
            ApplyResult::kStale);
      CHECK(log.state.ballot == second);
    }

    SUBCASE("a repeated assignment record with a lower fence changes nothing") {
      REQUIRE(log.Add("b", second, log.state.last_leader_record,
                      AssignmentRecord{{{unit, {"callboard/t3", 200}}}}) ==
              ApplyResult::kApplied);
      log.Add("b", second, log.state.last_leader_record,
              AssignmentRecord{{{unit, {"callboard/t1", 100}}}});
      CHECK(log.state.assignments.at(unit) == Assignment{"callboard/t3", 200});
    }
  }

  SUBCASE("the same append arrives twice because its answer was lost") {
    const Offset previous_leader_record = log.state.last_leader_record;
    const AssignmentRecord move{{{unit, {"callboard/t2", 101}}}};
    CHECK(log.Add("a", first, previous_leader_record, move) ==
          ApplyResult::kApplied);
    CHECK(log.Add("a", first, previous_leader_record, move) ==
          ApplyResult::kStale);
  }
}

// Both texts are edited from the same version; accepting the second one as well
// would silently undo the changes of the first.
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
                    AcceptRecord{first, 1}) == ApplyResult::kApplied);
    CHECK(log.state.config_text == "text x");

    SUBCASE("the second was edited from an older version and has no effect") {
      CHECK(log.Add("a", ballot, log.state.last_leader_record,
                    AcceptRecord{second, 2}) == ApplyResult::kNoEffect);
      CHECK(log.state.config_version == 1);
      CHECK(log.state.config_text == "text x");
    }

    SUBCASE("the second is refused and its author finds the reason") {
      log.Add("a", ballot, log.state.last_leader_record,
              RefuseRecord{second, "config-conflict: version 1"});
      CHECK_FALSE(log.state.publish_results.at(second).accepted);
      CHECK(log.state.publish_results.at(second).version == 1);
    }
  }
}

// The log does not show every fence that was used. Fences that did not rise
// could not distinguish requests for an earlier owner from current ones.
TEST_CASE("fences must rise when a new membership is created") {
  Log log;
  log.Add("a", {}, 0, JoinRecord{Host("a")});
  const Ballot ballot{log.state.ballot.number + 1, "a"};
  log.Add("a", ballot, log.state.last_leader_record, TermRecord{});
  const Fence before = log.state.next_fence + 50;
  log.Add("a", ballot, log.state.last_leader_record,
          AssignmentRecord{{{{"callboard", 0}, {"callboard/t1", before}}}});

  SUBCASE("every voter is lost and another host creates a new membership") {
    log.Add("b", {}, 0, JoinRecord{Host("b")});
    REQUIRE(log.Add("b", {}, log.state.last_leader_record,
                    NewMembershipRecord{{Host("b")}}) == ApplyResult::kApplied);
    CHECK(log.state.next_fence > before);
    CHECK(Voters(log.state) == std::vector<HostId>{"b"});

    SUBCASE("the old leader's ballot is not valid any more") {
      CHECK(log.Add("a", ballot, log.state.last_leader_record,
                    EvictRecord{"b"}) == ApplyResult::kStale);
    }
  }

  SUBCASE("retention removes all records, but offsets continue") {
    ControlState empty;
    empty.next = 5'000;
    ApplyEntry(empty, {5'000, Record{.id = "j",
                                     .author = "c",
                                     .body = JoinRecord{Host("c")}}});
    CHECK(empty.next_fence > before);
  }
}

}  // namespace toucandock::core::control
