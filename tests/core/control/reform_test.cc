#include <doctest/doctest.h>

#include <algorithm>
#include <map>
#include <string>
#include <variant>
#include <vector>

#include "core/control/controller_fixture.h"

namespace toucandock::core::control::testing {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

std::map<Unit, Fence> Fences(const Fleet& fleet) {
  std::map<Unit, Fence> fences;
  for (const Unit& unit : fleet.Units()) {
    fences[unit] = fleet.LastRun(unit)->fence;
  }
  return fences;
}

bool AreAllHigher(const std::map<Unit, Fence>& before,
                  const std::map<Unit, Fence>& after) {
  return std::all_of(before.begin(), before.end(), [&](const auto& it) {
    return after.at(it.first) > it.second;
  });
}

size_t CountNewMemberships(const Fleet& fleet) {
  return std::count_if(
      fleet.log.entries.begin(), fleet.log.entries.end(),
      [](const LogEntry& it) {
        return std::holds_alternative<NewMembershipRecord>(it.record.body);
      });
}

}  // namespace

// Guards against a second membership beside a majority that works, created by a
// host that reaches neither it nor a host list that names it.
TEST_CASE("a host that is only cut off must not replace the majority") {
  Fleet fleet;
  REQUIRE(fleet.StartFleet(3));
  SUBCASE("when the list still names all hosts") {
    fleet.SetHostList({"h1", "h2", "h3"});
  }
  SUBCASE("when the list is gone") {
    // The platform returns none.
  }
  fleet.RunFor(seconds(1));
  FakeHost* const leader = fleet.LeaderHost();
  REQUIRE(leader != nullptr);
  std::string cut_off;
  for (const FakeHost* it : fleet.LiveHosts()) {
    if (it != leader) {
      cut_off = it->info.peer_address;
    }
  }
  std::vector<std::string> others{"h1", "h2", "h3"};
  std::erase(others, cut_off);

  fleet.Isolate(cut_off, others);
  fleet.RunFor(seconds(15));
  CHECK(CountNewMemberships(fleet) == 0);
  CHECK_FALSE(fleet.HasLease(fleet.Host(cut_off)));
  CHECK(fleet.HasLease(*leader));
  CHECK(fleet.ViolationSummary() == "");
}

// To the survivor, a lost majority looks the same as a majority that it cannot
// reach. If it created a new membership beside a majority that still works,
// there would be two leaders.
TEST_CASE("a lost majority must be replaced on evidence only") {
  Fleet fleet;
  REQUIRE(fleet.StartFleet(3));
  fleet.SetHostList({"h1", "h2", "h3"});
  fleet.RunFor(seconds(1));
  const std::map<Unit, Fence> before = Fences(fleet);
  fleet.Kill("h1");
  fleet.Kill("h2");

  SUBCASE("the host list lags and still names the lost hosts") {
    fleet.RunFor(seconds(15));
    CHECK(CountNewMemberships(fleet) == 0);
    CHECK_FALSE(fleet.HasLease(fleet.Host("h3")));

    SUBCASE("then it drops them") {
      fleet.SetHostList({"h3"});
      CHECK(fleet.RunUntil([&] { return fleet.IsServing(); }, seconds(8)));
      fleet.RunFor(milliseconds(200));
      CHECK(CountNewMemberships(fleet) == 1);
      CHECK(AreAllHigher(before, Fences(fleet)));
    }

    SUBCASE("then new processes answer at their addresses") {
      fleet.StartHost("h1");
      fleet.RunFor(seconds(10));
      CHECK(CountNewMemberships(fleet) == 0);
      fleet.StartHost("h2");
      CHECK(fleet.RunUntil([&] { return fleet.IsServing(); }, seconds(10)));
      fleet.RunFor(milliseconds(200));
      CHECK(CountNewMemberships(fleet) >= 1);
      CHECK(AreAllHigher(before, Fences(fleet)));
    }
  }

  SUBCASE("the log is down: nobody may create a membership") {
    fleet.log.available = false;
    fleet.SetHostList({"h3"});
    fleet.RunFor(seconds(15));
    CHECK_FALSE(fleet.HasLease(fleet.Host("h3")));

    SUBCASE("until it is available again") {
      fleet.log.available = true;
      CHECK(fleet.RunUntil([&] { return fleet.IsServing(); }, seconds(8)));
      fleet.RunFor(milliseconds(200));
      CHECK(AreAllHigher(before, Fences(fleet)));
    }
  }
  CHECK(fleet.ViolationSummary() == "");
}

// Elections during a log outage leave no record. A first ballot that followed
// from the last recorded one could be lower than the ballots of the outage.
TEST_CASE(
    "a membership that is created after elections in a log outage must "
    "be accepted by targets and hosts that saw those ballots") {
  Fleet fleet;
  REQUIRE(fleet.StartFleet(3));
  fleet.log.available = false;
  fleet.RunFor(seconds(1));
  for (int n = 0; n < 4; ++n) {
    const std::string leader = fleet.LeaderHost()->info.peer_address;
    fleet.Pause(leader);
    fleet.RunFor(seconds(3));
    fleet.Resume(leader);
    fleet.RunFor(seconds(3));
    REQUIRE(fleet.LeaderHost() != nullptr);
  }
  fleet.Kill(fleet.LeaderHost()->info.peer_address);
  fleet.Kill(fleet.LiveHosts().front()->info.peer_address);
  fleet.SetHostList({fleet.LiveHosts().front()->info.peer_address});
  fleet.log.available = true;
  fleet.RunFor(seconds(1));
  CHECK_FALSE(fleet.IsServing());
  CHECK(fleet.RunUntil([&] { return fleet.IsServing(); }, seconds(8)));
  CHECK(CountNewMemberships(fleet) == 1);
  CHECK(fleet.ViolationSummary() == "");
}

// All hosts find a membership whose voters are lost, and may replace it at the
// same time.
TEST_CASE(
    "a restart of the whole fleet must end in one membership with higher "
    "fences") {
  for (const bool same_addresses : {true, false}) {
    SUBCASE(same_addresses ? "at the same addresses" : "at new addresses") {
      Fleet fleet;
      REQUIRE(fleet.StartFleet(3));
      const std::map<Unit, Fence> before = Fences(fleet);
      for (const char* it : {"h1", "h2", "h3"}) {
        fleet.Kill(it);
      }
      fleet.RunFor(milliseconds(300));
      const std::vector<std::string> addresses =
          same_addresses ? std::vector<std::string>{"h1", "h2", "h3"}
                         : std::vector<std::string>{"h4", "h5", "h6"};
      for (const std::string& it : addresses) {
        fleet.StartHost(it, addresses);
      }
      fleet.SetHostList(addresses);
      CHECK(fleet.RunUntil([&] { return fleet.IsServing(); }, seconds(15)));
      fleet.RunFor(seconds(8));
      CHECK(fleet.IsServing());
      CHECK(AreAllHigher(before, Fences(fleet)));
      const ControlState& state =
          fleet.Host(addresses[0]).controller->replica().state();
      CHECK(Voters(state).size() == 3);
      CHECK(state.members.size() == 3);
      CHECK(fleet.ViolationSummary() == "");
    }
  }
}

// The voter is its own majority, so only the log shows it that it was replaced.
TEST_CASE(
    "a sole voter that was paused while others replaced it must not lead "
    "again") {
  Fleet fleet;
  REQUIRE(fleet.StartFleet(2));
  REQUIRE(Voters(fleet.Host("h1").controller->replica().state()).size() == 1);
  const std::string voter = fleet.LeaderHost()->info.peer_address;
  const std::string other = voter == "h1" ? "h2" : "h1";
  fleet.SetHostList({"h1", "h2"});
  fleet.RunFor(seconds(1));
  fleet.Pause(voter);
  fleet.SetHostList({other});
  CHECK(fleet.RunUntil([&] { return fleet.IsServing(); }, seconds(12)));
  fleet.Kill("u1");
  fleet.RunFor(seconds(2));
  fleet.RestartTarget("u1");

  SUBCASE("and the log is available") {}
  SUBCASE("and the log is slow for it") {
    fleet.log.delay = milliseconds(500);
  }
  SUBCASE("and it cannot reach the log") {
    fleet.Cut(voter, "log");
  }
  SUBCASE("and it cannot reach the log or the others") {
    fleet.Cut(voter, "log");
    fleet.Cut(voter, other);
  }
  fleet.Resume(voter);
  fleet.RunFor(seconds(6));
  CHECK(fleet.ViolationSummary() == "");
}

}  // namespace toucandock::core::control::testing
