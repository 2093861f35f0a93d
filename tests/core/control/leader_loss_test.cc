#include <doctest/doctest.h>

#include <algorithm>
#include <string>
#include <vector>

#include "core/control/controller_fixture.h"

namespace toucandock::core::control::testing {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

std::vector<std::string> OtherAddresses(const Fleet& fleet,
                                        const std::string& except) {
  std::vector<std::string> addresses;
  for (const FakeHost* host : fleet.LiveHosts()) {
    if (host->info.peer_address != except) {
      addresses.push_back(host->info.peer_address);
    }
  }
  return addresses;
}

}  // namespace

// While the log is down, a leader that was cut off cannot read that it was
// replaced; only its missing support and leases stop it.
TEST_CASE(
    "a lost leader must be replaced, and never decide beside its "
    "successor") {
  for (const int hosts : {3, 5}) {
    for (const bool log_up : {true, false}) {
      const std::string name = std::to_string(hosts) + " hosts, log " +
                               (log_up ? "available" : "down");
      SUBCASE(name.c_str()) {
        Fleet fleet;
        REQUIRE(fleet.StartFleet(hosts));
        const std::string old = fleet.LeaderHost()->info.peer_address;
        fleet.log.available = log_up;
        fleet.RunFor(milliseconds(500));
        const auto replaced = [&] {
          const FakeHost* leader = fleet.LeaderHost();
          return leader != nullptr && leader->info.peer_address != old &&
                 fleet.IsServing();
        };

        SUBCASE("it is killed") {
          fleet.Kill(old);
          const auto taken = fleet.RunUntil(replaced, seconds(5));
          REQUIRE(taken.has_value());
          CHECK(*taken <= milliseconds(2'000));

          SUBCASE("and its successor as well") {
            if (hosts == 5) {
              fleet.Kill(fleet.LeaderHost()->info.peer_address);
              CHECK(fleet.RunUntil([&] { return fleet.IsServing(); },
                                   seconds(5)));
            }
          }
        }

        SUBCASE("it is paused and returns") {
          fleet.Pause(old);
          CHECK(fleet.RunUntil(replaced, seconds(5)));
          fleet.Kill("t1");
          fleet.RunFor(seconds(2));
          fleet.Resume(old);
          CHECK_FALSE(fleet.HasLease(fleet.Host(old)));
          CHECK(fleet.RunUntil([&] { return fleet.IsServing(); }, seconds(5)));
        }

        SUBCASE("it is cut off from the majority and is reconnected") {
          fleet.Isolate(old, OtherAddresses(fleet, old));
          CHECK(fleet.RunUntil(
              [&] {
                const FakeHost* leader = fleet.LeaderHost();
                return leader != nullptr && leader->info.peer_address != old;
              },
              seconds(5)));
          CHECK_FALSE(fleet.HasLease(fleet.Host(old)));
          fleet.Kill("t1");
          fleet.RunFor(seconds(2));
          fleet.HealLinks();
          CHECK(fleet.RunUntil([&] { return fleet.IsServing(); }, seconds(5)));
        }

        SUBCASE("a minority is cut off from it and is reconnected") {
          const std::string other = OtherAddresses(fleet, old).back();
          fleet.Isolate(other, OtherAddresses(fleet, other));
          fleet.RunFor(milliseconds(600));
          CHECK_FALSE(fleet.HasLease(fleet.Host(other)));
          fleet.Kill("t1");
          fleet.RunFor(seconds(2));
          CHECK(fleet.LeaderHost()->info.peer_address == old);
          fleet.HealLinks();
          CHECK(fleet.RunUntil([&] { return fleet.IsServing(); }, seconds(5)));
        }
        CHECK(fleet.ViolationSummary() == "");
      }
    }
  }
}

// The host gets no replies from the leader and asks for votes, while all other
// voters still support the leader.
TEST_CASE("a host that is cut off from the leader alone must not depose it") {
  Fleet fleet;
  REQUIRE(fleet.StartFleet(5));
  const HostId leader = fleet.LeaderHost()->info.id;
  const std::string address = fleet.LeaderHost()->info.peer_address;
  const std::string other = OtherAddresses(fleet, address).front();
  const Ballot before =
      fleet.LeaderHost()->controller->replica().leader_state().ballot;
  fleet.Cut(other, address);
  fleet.RunFor(seconds(10));
  REQUIRE(fleet.LeaderHost() != nullptr);
  CHECK(fleet.LeaderHost()->info.id == leader);
  CHECK(fleet.LeaderHost()->controller->replica().leader_state().ballot ==
        before);
  fleet.HealLinks();
  CHECK(fleet.RunUntil([&] { return fleet.IsServing(); }, seconds(3)));
  CHECK(fleet.ViolationSummary() == "");
}

// The host checked its lease before the pause, so only the target itself can
// reject the request.
TEST_CASE(
    "an entry host that pauses between its check and its send must not "
    "reach a replaced owner that checks fences") {
  Fleet fleet;
  REQUIRE(fleet.StartFleet(3));
  const TargetId owner = fleet.Target("t1").id;
  const Unit unit = fleet.UnitsOf(owner).front();
  const Fence fence = fleet.LastRun(unit)->fence;
  const std::string paused =
      OtherAddresses(fleet, fleet.LeaderHost()->info.peer_address).front();

  fleet.Pause(paused);
  fleet.Target("t1").health = TargetHealth::kDraining;
  fleet.RunFor(seconds(3));
  REQUIRE(fleet.LastRun(unit)->target != owner);
  fleet.Target("t1").health = TargetHealth::kServing;
  fleet.Resume(paused);
  const size_t before = fleet.journal.size();
  fleet.SendRequest(fleet.Host(paused), owner, unit, fence);
  fleet.RunFor(milliseconds(100));
  const bool ran = std::any_of(
      fleet.journal.begin() + static_cast<long>(before), fleet.journal.end(),
      [&](const Run& run) { return run.unit == unit && run.target == owner; });
  CHECK_FALSE(ran);
  CHECK(fleet.ViolationSummary() == "");
}

}  // namespace toucandock::core::control::testing
