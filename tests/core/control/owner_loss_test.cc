#include <doctest/doctest.h>

#include <algorithm>
#include <string>
#include <vector>

#include "core/control/controller_fixture.h"

namespace toucandock::core::control::testing {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// Returns the time until every unit has been run by a target other than the
// lost one.
std::optional<Duration> TimeUntilServedElsewhere(Fleet& fleet,
                                                 const std::vector<Unit>& units,
                                                 const TargetId& lost) {
  const TimePoint start = fleet.now();
  return fleet.RunUntil(
      [&] {
        return std::all_of(units.begin(), units.end(), [&](const Unit& unit) {
          const Run* run = fleet.LastRun(unit);
          return run != nullptr && run->at >= start && run->target != lost;
        });
      },
      seconds(3));
}

}  // namespace

// A killed target refuses connections. A frozen one only stops responding, and
// runs what it received when it resumes.
TEST_CASE("a lost owner must not leave its units unserved or served twice") {
  struct Loss {
    const char* name;
    const char* address;
    bool freezes;
  };
  const Loss losses[] = {
      {"a killed target that checks fences", "t1", false},
      {"a frozen target that checks fences", "t1", true},
      {"a killed target that checks no fences", "u1", false},
      {"a frozen target that checks no fences", "u1", true},
  };
  for (const Loss& loss : losses) {
    SUBCASE(loss.name) {
      Fleet fleet;
      REQUIRE(fleet.StartFleet(3));
      const TargetId lost = fleet.Target(loss.address).id;
      const std::vector<Unit> units = fleet.UnitsOf(lost);
      REQUIRE_FALSE(units.empty());
      const Fence before = fleet.LastRun(units.front())->fence;

      if (loss.freezes) {
        fleet.Pause(loss.address);
      } else {
        fleet.Kill(loss.address);
      }
      const auto taken = TimeUntilServedElsewhere(fleet, units, lost);
      REQUIRE(taken.has_value());
      CHECK(*taken <= seconds(1));
      CHECK(fleet.LastRun(units.front())->fence > before);

      SUBCASE("and it returns with its old state") {
        fleet.RunFor(seconds(2));
        if (loss.freezes) {
          fleet.Resume(loss.address);
        } else {
          fleet.RestartTarget(loss.address);
        }
        fleet.RunFor(seconds(5));
        CHECK(fleet.IsServing());
      }
      CHECK(fleet.ViolationSummary() == "");
    }
  }
}

// When the target resumes, it runs the requests that it received while it was
// frozen. A new owner could run requests for the same units at that time.
TEST_CASE(
    "an owner that freezes for less than the time of loss detection must "
    "not lose its units while it still runs requests") {
  for (const int pause_ms : {50, 150, 300, 450, 600}) {
    SUBCASE(std::to_string(pause_ms).c_str()) {
      Fleet fleet;
      REQUIRE(fleet.StartFleet(3));
      fleet.Pause("t1");
      fleet.Pause("u1");
      fleet.RunFor(milliseconds(pause_ms));
      fleet.Resume("t1");
      fleet.Resume("u1");
      fleet.RunFor(seconds(4));
      CHECK(fleet.IsServing());
      CHECK(fleet.ViolationSummary() == "");
    }
  }
}

// A host acknowledges a move only when it no longer sends requests under an
// earlier leader state. The leader's own host must lose its lease like any
// other host, so that moves do not wait until such requests time out.
TEST_CASE(
    "requests that are stuck in sending on the leader's host must not "
    "keep a lost owner's units unserved") {
  Fleet fleet;
  REQUIRE(fleet.StartFleet(3));
  const TargetId lost = fleet.Target("t1").id;
  const std::vector<Unit> units = fleet.UnitsOf(lost);
  REQUIRE_FALSE(units.empty());
  fleet.work_time = seconds(20);
  fleet.stalled_senders.insert(fleet.LeaderHost()->info.peer_address);
  fleet.RunFor(milliseconds(100));
  fleet.stalled_senders.clear();
  fleet.work_time = milliseconds(2);
  fleet.Kill("t1");
  const auto taken = TimeUntilServedElsewhere(fleet, units, lost);
  REQUIRE(taken.has_value());
  CHECK(*taken <= milliseconds(1'500));
  CHECK(fleet.ViolationSummary() == "");
}

}  // namespace toucandock::core::control::testing
