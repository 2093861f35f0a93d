#include <doctest/doctest.h>

#include <algorithm>
#include <memory>
#include <string>
#include <variant>
#include <vector>

#include "core/control/controller_fixture.h"
#include "core/control/replica.h"

namespace toucandock::core::control::testing {
namespace {

using std::chrono::milliseconds;
using std::chrono::minutes;
using std::chrono::seconds;

size_t CountCheckpoints(const Fleet& fleet) {
  return std::count_if(
      fleet.log.entries.begin(), fleet.log.entries.end(),
      [](const LogEntry& it) {
        return std::holds_alternative<CheckpointRecord>(it.record.body);
      });
}

bool HaveSameState(const Fleet& fleet,
                   const std::string& a,
                   const std::string& b) {
  const ControlState& x = fleet.Host(a).controller->replica().state();
  const ControlState& y = fleet.Host(b).controller->replica().state();
  return x.next == y.next && x.members == y.members &&
         x.assignments == y.assignments &&
         x.membership_offset == y.membership_offset &&
         x.last_leader_record == y.last_leader_record && x.ballot == y.ballot &&
         x.config_version == y.config_version;
}

}  // namespace

// The host can only start from a checkpoint or from the state of a peer. If it
// took what is left of the log for a new one, it would create a second fleet.
TEST_CASE(
    "a host that starts after retention has removed the first records "
    "must find the fleet's state") {
  Fleet fleet;
  REQUIRE(fleet.StartFleet(3));

  SUBCASE("retention removes everything at once") {
    fleet.log.first_retained = fleet.log.entries.size();

    SUBCASE("and the host starts at that moment") {
      fleet.StartHost("h4");
    }
    SUBCASE("and the host starts when the leader has written a checkpoint") {
      fleet.RunFor(seconds(1));
      CHECK(CountCheckpoints(fleet) == 1);
      fleet.StartHost("h4");
    }
    SUBCASE("and the leader cannot reach the log for a while") {
      const std::string leader = fleet.LeaderHost()->info.peer_address;
      fleet.Cut(leader, "log");
      fleet.StartHost("h4", {"h1", "h2"});
      fleet.RunFor(seconds(2));
      CHECK(fleet.Host("h4").controller->replica().state().membership_offset ==
            fleet.Host("h1").controller->replica().state().membership_offset);
      CHECK(fleet.log.entries.size() == fleet.log.first_retained);
      fleet.HealLinks();
    }
    SUBCASE("and a running host was cut off from the log meanwhile") {
      fleet.Cut("h3", "log");
      fleet.RunFor(seconds(1));
      fleet.Publish("first", 1);
      fleet.RunFor(seconds(1));
      fleet.log.first_retained = fleet.log.entries.size();
      fleet.RunFor(seconds(1));
      fleet.HealLinks();
      fleet.StartHost("h4");
    }
    CHECK(fleet.RunUntil([&] { return fleet.IsServing(); }, seconds(8)));
    fleet.RunFor(seconds(1));
    CHECK(HaveSameState(fleet, "h1", "h4"));
    CHECK(HaveSameState(fleet, "h1", "h3"));
  }

  SUBCASE("a quiet fleet writes checkpoints by time") {
    fleet.traffic = false;
    fleet.RunFor(minutes(21));
    CHECK(CountCheckpoints(fleet) == 2);
  }
  CHECK(fleet.ViolationSummary() == "");
}

// A delayed append of the replaced leader may be the last checkpoint in the
// log, without the records of its successor.
TEST_CASE("an invalid checkpoint of a replaced leader must not be used") {
  std::vector<LogEntry> entries;
  ControlState state;
  const auto add = [&](const HostId& author, const Ballot& ballot,
                       Offset previous_leader_record, RecordBody body) {
    const Offset offset = entries.size();
    entries.push_back(
        {offset, Record{.id = "r" + std::to_string(offset),
                        .author = author,
                        .ballot = ballot,
                        .previous_leader_record = previous_leader_record,
                        .body = std::move(body)}});
    return ApplyEntry(state, entries.back());
  };
  add("a", {}, 0, JoinRecord{{.id = "a", .peer_address = "a"}});
  const Ballot first{state.ballot.number + 1, "a"};
  REQUIRE(add("a", first, state.last_leader_record, TermRecord{}) ==
          ApplyResult::kApplied);
  const auto early = std::make_shared<const ControlState>(state);
  const Ballot second{first.number + 1, "b"};
  const Offset first_term = state.last_leader_record;
  REQUIRE(add("b", second, first_term, TermRecord{}) == ApplyResult::kApplied);
  const Unit unit{"callboard", 1};
  add("b", second, state.last_leader_record,
      AssignmentRecord{{{unit, {"callboard/t2", state.next_fence + 5}}}});

  SUBCASE("it is the last record") {
    REQUIRE(add("a", first, first_term, CheckpointRecord{early}) ==
            ApplyResult::kStale);
  }
  SUBCASE("it is followed by records of its successor") {
    REQUIRE(add("a", first, first_term, CheckpointRecord{early}) ==
            ApplyResult::kStale);
    add("b", second, state.last_leader_record,
        AssignmentRecord{{{unit, {"callboard/t3", state.next_fence + 5}}}});
  }
  SUBCASE("a valid one precedes it, and a join lies between") {
    const auto whole = std::make_shared<const ControlState>(state);
    add("c", {}, 0, JoinRecord{{.id = "c", .peer_address = "c"}});
    REQUIRE(add("b", second, state.last_leader_record,
                CheckpointRecord{whole}) == ApplyResult::kApplied);
    add("a", first, first_term, CheckpointRecord{early});
  }

  const ControlHooks hooks = {
      .parse_config = [](const std::string&) -> absl::StatusOr<config::Config> {
        return config::Config{};
      },
      .new_record_id = [] { return "x"; }};
  Replica replica(hooks);
  REQUIRE(replica.AddEntries(LogReadEvent{
      .first_retained = 0, .end = entries.size(), .entries = entries}));
  replica.ApplyAll();
  CHECK(replica.state().ballot == second);
  CHECK(replica.state().assignments == state.assignments);
  CHECK(replica.state().members == state.members);
  CHECK(replica.state().last_leader_record == state.last_leader_record);
  CHECK(replica.state().next == state.next);
}

// The host cannot write its join record during the outage, so it gets the state
// and a lease from the leader before it is a member.
TEST_CASE("a new empty host must serve during a log outage and join after it") {
  Fleet fleet;
  REQUIRE(fleet.StartFleet(3));
  fleet.log.available = false;
  fleet.RunFor(seconds(2));
  fleet.StartHost("h4", {"h1"});
  CHECK(fleet.RunUntil([&] { return fleet.IsServing(); }, seconds(5)));
  const HostId learner = fleet.Host("h4").info.id;
  CHECK_FALSE(
      fleet.Host("h1").controller->replica().state().members.contains(learner));

  SUBCASE("an owner and then the leader are lost while it serves") {
    fleet.Kill("u1");
    fleet.RunFor(seconds(2));
    CHECK(fleet.IsServing());
    fleet.Kill(fleet.LeaderHost()->info.peer_address);
    fleet.Kill("u2");
    CHECK(fleet.RunUntil([&] { return fleet.IsServing(); }, seconds(5)));
  }

  SUBCASE("the log is available again") {
    fleet.log.available = true;
    fleet.RunFor(seconds(2));
    CHECK(fleet.Host("h1").controller->replica().state().members.contains(
        learner));
    CHECK(HaveSameState(fleet, "h1", "h4"));
  }
  CHECK(fleet.ViolationSummary() == "");
}

}  // namespace toucandock::core::control::testing
