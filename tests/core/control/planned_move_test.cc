#include <doctest/doctest.h>

#include <algorithm>
#include <map>
#include <string>
#include <vector>

#include "absl/strings/match.h"
#include "core/control/controller_fixture.h"

namespace toucandock::core::control::testing {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

size_t CountMoves(const Fleet& fleet) {
  return std::count_if(fleet.decisions.begin(), fleet.decisions.end(),
                       [](const std::string& it) {
                         return absl::StrContains(it, " moves from ");
                       });
}

// Returns the time at which the target started its latest run.
TimePoint LastStart(const Fleet& fleet, const TargetId& target) {
  TimePoint last;
  for (const Run& run : fleet.journal) {
    if (run.target == target) {
      last = std::max(last, run.at);
    }
  }
  return last;
}

}  // namespace

// If the unit moved earlier, the old and the new owner would run requests for
// it at the same time. Targets that check no fences cannot prevent this.
TEST_CASE(
    "a leaving target must get no new work after 2 s, and no unit may "
    "move while a request for it is in flight") {
  struct Leave {
    const char* name;
    const char* address;
    bool by_list;
  };
  const Leave leaves[] = {
      {"its health says so", "t1", false},
      {"its health says so, and it checks no fences", "u1", false},
      {"the host list says so", "t1", true},
      {"the host list says so, and it checks no fences", "u1", true},
  };
  for (const Leave& leave : leaves) {
    for (const int work_ms : {2, 800, 3'000}) {
      const std::string name = std::string(leave.name) + ", requests take " +
                               std::to_string(work_ms) + " ms";
      SUBCASE(name.c_str()) {
        Fleet fleet;
        REQUIRE(fleet.StartFleet(3));
        const TargetId id = fleet.Target(leave.address).id;
        REQUIRE_FALSE(fleet.UnitsOf(id).empty());
        fleet.work_time = milliseconds(work_ms);
        fleet.RunFor(milliseconds(500));
        const TimePoint start = fleet.now();
        if (leave.by_list) {
          fleet.SetHostList(
              {"h1", "h2", "h3", std::string("-") + leave.address});
        } else {
          fleet.Target(leave.address).health = TargetHealth::kDraining;
        }
        fleet.RunFor(seconds(8));
        CHECK(LastStart(fleet, id) - start <= seconds(2));
        CHECK(fleet.UnitsOf(id).empty());
        CHECK(fleet.IsServing());
        CHECK(fleet.overlaps == std::vector<std::string>{});
        CHECK(fleet.ViolationSummary() == "");
      }
    }
  }
}

TEST_CASE(
    "a request that never ends must not keep a leaving target's unit "
    "beyond the drain limit") {
  Fleet fleet;
  REQUIRE(fleet.StartFleet(3));
  const TargetId id = fleet.Target("u1").id;
  fleet.work_time = seconds(60);
  fleet.RunFor(milliseconds(500));
  fleet.Target("u1").health = TargetHealth::kDraining;
  fleet.RunFor(seconds(9));
  CHECK(fleet.overlaps.empty());
  CHECK(fleet.RunUntil([&] { return fleet.IsServing(); }, seconds(3)));
  CHECK(fleet.UnitsOf(id).empty());
}

namespace {

// Drains u1 while another host starts one slow request for u1's first unit,
// `start_ms` after the drain (none if negative). Returns the milliseconds until
// that host learned of the move.
int DrainDuringSlowRequest(int start_ms) {
  Fleet fleet;
  REQUIRE(fleet.StartFleet(3));
  fleet.traffic = false;
  fleet.RunFor(seconds(1));
  fleet.link_delay = milliseconds(8);
  fleet.sending_time = milliseconds(100);
  const TargetId id = fleet.Target("u1").id;
  const Unit unit = fleet.UnitsOf(id).front();
  const Fence fence = fleet.LastRun(unit)->fence;
  FakeHost& other =
      fleet.Host(fleet.LeaderHost()->info.peer_address == "h3" ? "h2" : "h3");
  const auto has_owner = [&] {
    return other.snapshot->services.at(unit.service)
               .shards.at(unit.number)
               .target >= 0;
  };
  fleet.Target("u1").health = TargetHealth::kDraining;
  const size_t before = fleet.journal.size();
  int learned_ms = 0;
  for (; learned_ms < 1'000 && has_owner(); ++learned_ms) {
    if (learned_ms == start_ms) {
      fleet.SendRequest(other, id, unit, fence);
    }
    fleet.RunFor(milliseconds(1));
  }
  // No other target may own the unit until the request has arrived.
  for (int n = 0; n < 90 && fleet.journal.size() == before; ++n) {
    const TargetId owner = fleet.OwnerOf(unit);
    CHECK((start_ms < 0 || owner.empty() || owner == id));
    fleet.RunFor(milliseconds(1));
  }
  CHECK(fleet.RunUntil([&] { return fleet.IsServing(); }, seconds(2)));
  CHECK(fleet.OwnerOf(unit) != id);
  CHECK(fleet.ViolationSummary() == "");
  return learned_ms;
}

}  // namespace

// Sending the request takes 100 ms. If the host acknowledged the move before
// that, the new owner would get its grant before the request arrives at the old
// one.
TEST_CASE(
    "a request that starts just before a host learns of a move must not "
    "be overtaken by the new owner") {
  const int learned_ms = DrainDuringSlowRequest(-1);
  for (int n = 1; n <= 20; ++n) {
    CAPTURE(n);
    CHECK(DrainDuringSlowRequest(learned_ms - n) == learned_ms);
  }
}

TEST_CASE(
    "a unit must not get a new owner while the grant of its unreachable old "
    "owner is still valid") {
  Fleet fleet;
  REQUIRE(fleet.StartFleet(3));
  const TargetId id = fleet.Target("t1").id;
  const Unit unit = fleet.UnitsOf(id).front();
  const Fence fence = fleet.LastRun(unit)->fence;
  FakeHost& leader = *fleet.LeaderHost();
  FakeHost& other = fleet.Host(leader.info.peer_address == "h3" ? "h2" : "h3");
  fleet.SetHostList({"h1", "h2", "h3", "-t1"});
  // The move starts right after the target was cut off from the leader. The
  // other host stands for one that passed its lease check long before it sends.
  fleet.OnNextHostList([&] {
    fleet.Cut(leader.info.peer_address, "t1");
    fleet.Pause(other.info.peer_address);
  });
  fleet.RunFor(milliseconds(500));
  for (int n = 0; n < 700; ++n) {
    fleet.SendRequest(other, id, unit, fence);
    fleet.RunFor(milliseconds(1));
  }
  CHECK(fleet.OwnerOf(unit) != id);
  CHECK(fleet.ViolationSummary() == "");
}

// A cut link or an incomplete host list makes a working target look lost to one
// observer.
TEST_CASE("one failed observation alone must not move any unit") {
  Fleet fleet;
  REQUIRE(fleet.StartFleet(3));
  fleet.SetHostList({"h1", "h2", "h3", "t1", "t2", "t3", "u1", "u2", "u3"});
  fleet.RunFor(seconds(1));
  const size_t moves = CountMoves(fleet);
  const std::string leader = fleet.LeaderHost()->info.peer_address;
  const std::string other = leader == "h3" ? "h2" : "h3";

  SUBCASE("one host that is not the leader is cut off from targets") {
    fleet.Isolate(other, {"u1", "t1"});
  }
  SUBCASE("the leader is cut off from a target that checks no fences") {
    fleet.Isolate(leader, {"u1"});
  }
  SUBCASE("the host list omits targets") {
    fleet.SetHostList({"h1", "h2", "h3"});
  }
  fleet.RunFor(seconds(6));
  CHECK(CountMoves(fleet) == moves);
  CHECK(fleet.ViolationSummary() == "");
}

// Each move interrupts the unit, so the units of such a target would be
// interrupted all the time.
TEST_CASE(
    "a target that repeatedly fails and recovers must not move its units each "
    "time") {
  for (const std::string address : {"t1", "u1"}) {
    for (const int period_ms : {800, 1'500, 3'000}) {
      const std::string name =
          address + " every " + std::to_string(period_ms) + " ms";
      SUBCASE(name.c_str()) {
        Fleet fleet;
        REQUIRE(fleet.StartFleet(3));
        const size_t units = fleet.UnitsOf(fleet.Target(address).id).size();
        const size_t moves = CountMoves(fleet);
        for (int n = 0; n < 20; ++n) {
          fleet.Kill(address);
          fleet.RunFor(milliseconds(period_ms / 2));
          fleet.RestartTarget(address);
          fleet.RunFor(milliseconds(period_ms / 2));
        }
        // At most one move there and back in each 5 s, not in each period.
        const size_t limit = units * 2 * (1 + 20 * period_ms / 5'000);
        CHECK(CountMoves(fleet) - moves <= limit);
        CHECK(fleet.ViolationSummary() == "");
      }
    }
  }
}

}  // namespace toucandock::core::control::testing
