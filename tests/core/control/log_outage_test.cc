#include <doctest/doctest.h>

#include <algorithm>
#include <map>
#include <set>
#include <string>
#include <variant>
#include <vector>

#include "core/control/controller_fixture.h"

namespace toucandock::core::control::testing {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

bool NoHostHasLease(const Fleet& fleet) {
  const std::vector<FakeHost*> live = fleet.LiveHosts();
  return std::none_of(live.begin(), live.end(), [&](const FakeHost* host) {
    return fleet.HasLease(*host);
  });
}

std::map<Unit, TargetId> Owners(const Fleet& fleet) {
  std::map<Unit, TargetId> owners;
  for (const Unit& unit : fleet.Units()) {
    owners[unit] = fleet.OwnerOf(unit);
  }
  return owners;
}

bool IsServedWithout(const Fleet& fleet, const std::set<TargetId>& lost) {
  const std::vector<Unit> units = fleet.Units();
  return fleet.IsServing() &&
         std::none_of(units.begin(), units.end(), [&](const Unit& unit) {
           return lost.contains(fleet.OwnerOf(unit));
         });
}

std::set<std::string> RepeatedRecordIds(const Fleet& fleet) {
  std::set<std::string> seen;
  std::set<std::string> repeated;
  for (const LogEntry& entry : fleet.log.entries) {
    if (!seen.insert(entry.record.id).second) {
      repeated.insert(entry.record.id);
    }
  }
  return repeated;
}

}  // namespace

// Moves that are decided during the outage are not in the log. A successor
// knows them only from the leader state of the hosts that vote for it.
TEST_CASE("decisions of a log outage must survive the loss of the leader") {
  Fleet fleet;
  REQUIRE(fleet.StartFleet(5));
  fleet.log.available = false;
  fleet.RunFor(seconds(60));
  CHECK(fleet.IsServing());

  SUBCASE("a target of each kind is lost") {
    const std::set<TargetId> lost = {fleet.Target("t1").id,
                                     fleet.Target("u1").id};
    fleet.Kill("t1");
    fleet.Kill("u1");
    const auto taken = fleet.RunUntil(
        [&] { return IsServedWithout(fleet, lost); }, seconds(5));
    REQUIRE(taken.has_value());
    CHECK(*taken <= seconds(1));
    const std::map<Unit, TargetId> owners = Owners(fleet);

    SUBCASE("the log is available again and has the same owners") {
      fleet.log.available = true;
      fleet.RunFor(seconds(3));
      CHECK(Owners(fleet) == owners);
      CHECK(IsServedWithout(fleet, lost));
      for (const auto& [unit, owner] : owners) {
        CHECK(fleet.Host("h1")
                  .controller->replica()
                  .state()
                  .assignments.at(unit)
                  .owner == owner);
      }
    }

    SUBCASE("the leader is lost as well") {
      fleet.Kill(fleet.LeaderHost()->info.peer_address);
      CHECK(fleet.RunUntil([&] { return fleet.LeaderHost() != nullptr; },
                           seconds(3)));
      CHECK(fleet.RunUntil([&] { return IsServedWithout(fleet, lost); },
                           seconds(3)));
      CHECK(Owners(fleet) == owners);

      SUBCASE("and then the majority") {
        while (fleet.LiveHosts().size() > 2) {
          fleet.Kill(fleet.LiveHosts().front()->info.peer_address);
        }
        fleet.RunFor(milliseconds(500));
        CHECK(NoHostHasLease(fleet));
        const size_t runs = fleet.journal.size();
        fleet.RunFor(seconds(20));
        CHECK(NoHostHasLease(fleet));
        CHECK(fleet.journal.size() == runs);
      }

      SUBCASE("and the log is available again") {
        fleet.log.available = true;
        fleet.RunFor(seconds(4));
        CHECK(IsServedWithout(fleet, lost));
      }
    }
  }
  CHECK(fleet.ViolationSummary() == "");
}

// A failover that waited for its record would take as long as the log does, and
// a leader that did not get the response to an append might append it again.
TEST_CASE(
    "a slow log or a lost append answer must not hold up a failover or "
    "repeat a record") {
  struct Fault {
    const char* name;
    Duration delay;
    bool loses_answers;
    Duration outage;
  };
  const Fault faults[] = {
      {"every append takes 400 ms", milliseconds(400), false, Duration{}},
      {"every append takes 3 s", seconds(3), false, Duration{}},
      {"append answers are lost", milliseconds(2), true, Duration{}},
      {"appends fail for 700 ms", milliseconds(2), false, milliseconds(700)},
  };
  for (const Fault& fault : faults) {
    SUBCASE(fault.name) {
      Fleet fleet;
      REQUIRE(fleet.StartFleet(3));
      const TargetId lost = fleet.Target("t1").id;
      fleet.log.delay = fault.delay;
      fleet.log.loses_answers = fault.loses_answers;
      fleet.log.available = fault.outage == Duration{};
      fleet.Kill("t1");
      const auto taken = fleet.RunUntil(
          [&] { return IsServedWithout(fleet, {lost}); }, seconds(5));
      REQUIRE(taken.has_value());
      CHECK(*taken <= seconds(1));
      fleet.RunFor(fault.outage);
      fleet.log.available = true;
      const std::string id = fleet.Publish("first", 1);
      fleet.RunFor(seconds(30));
      CHECK(fleet.Host("h1").controller->replica().config_version() == 2);
      CHECK(RepeatedRecordIds(fleet) == std::set<std::string>{});
      CHECK(fleet.ViolationSummary() == "");
    }
  }
}

// No host has acknowledged the moves of this record, so hosts may still send to
// the old owners when the record takes effect.
TEST_CASE(
    "an assignment record of an earlier leader that is appended late must "
    "not give a unit a second owner") {
  Fleet fleet;
  REQUIRE(fleet.StartFleet(3));
  const std::string old = fleet.LeaderHost()->info.peer_address;
  const HostId old_id = fleet.Host(old).info.id;
  // The leader starts to drain two targets while it cannot reach the other
  // hosts.
  for (const std::string other : {"h1", "h2", "h3"}) {
    if (other != old) {
      fleet.Cut(old, other);
    }
  }
  for (const char* it : {"t1", "u1"}) {
    fleet.Target(it).health = TargetHealth::kDraining;
  }

  SUBCASE("it is appended before the election") {
    fleet.RunFor(seconds(4));
    CHECK(fleet.LeaderHost()->info.id != old_id);
  }

  SUBCASE("its append is delayed") {
    fleet.log.delays_append = [&](const Record& record) {
      return record.author == old_id &&
             std::holds_alternative<AssignmentRecord>(record.body);
    };
    fleet.RunFor(milliseconds(300));
    REQUIRE_FALSE(fleet.log.delayed_appends.empty());

    SUBCASE("until after its successor's first record") {
      fleet.RunFor(seconds(3));
      fleet.ReleaseAppends();
      fleet.RunFor(seconds(2));
    }

    SUBCASE("until just before its successor's first record") {
      fleet.log.available = false;
      fleet.Kill(old);
      fleet.RunFor(seconds(3));
      CHECK(fleet.LeaderHost()->info.id != old_id);
      fleet.ReleaseAppends();
      fleet.log.available = true;
      fleet.RunFor(seconds(2));
    }
  }
  CHECK(fleet.RunUntil([&] { return fleet.LeaderHost() != nullptr; },
                       seconds(3)));
  fleet.RunFor(seconds(2));
  CHECK(fleet.UnitsOf(fleet.Target("t1").id).empty());
  CHECK(fleet.ViolationSummary() == "");
}

}  // namespace toucandock::core::control::testing
