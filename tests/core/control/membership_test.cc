#include <doctest/doctest.h>

#include <algorithm>
#include <cstdlib>
#include <string>
#include <vector>

#include "core/control/controller_fixture.h"

namespace toucandock::core::control::testing {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

struct VoterHistory {
  size_t largest = 0;
  // Number of records that changed more than one voter without creating a new
  // membership.
  size_t multi_voter_changes = 0;
};

VoterHistory HistoryOf(const Fleet& fleet) {
  VoterHistory history;
  ControlState state;
  for (const LogEntry& entry : fleet.log.entries) {
    const std::vector<HostId> before = Voters(state);
    const Offset membership_offset = state.membership_offset;
    ApplyEntry(state, entry);
    const std::vector<HostId> after = Voters(state);
    std::vector<HostId> changed;
    std::set_symmetric_difference(before.begin(), before.end(), after.begin(),
                                  after.end(), std::back_inserter(changed));
    history.largest = std::max(history.largest, after.size());
    if (changed.size() > 1 && state.membership_offset == membership_offset) {
      ++history.multi_voter_changes;
    }
  }
  return history;
}

const ControlState& StateOf(const Fleet& fleet) {
  return fleet.LeaderHost()->controller->replica().state();
}

}  // namespace

// If several voters changed at once, an old and a new majority might have no
// host in common and elect two leaders.
TEST_CASE("voters must stay odd in number and change one at a time") {
  Fleet fleet;
  REQUIRE(fleet.StartFleet(5));
  for (const char* it : {"h6", "h7", "h8", "h9"}) {
    fleet.StartHost(it, {"h1"});
  }
  fleet.RunFor(seconds(5));
  REQUIRE(fleet.LeaderHost() != nullptr);
  CHECK(StateOf(fleet).members.size() == 9);
  CHECK(Voters(StateOf(fleet)).size() == 7);
  CHECK(fleet.IsServing());

  SUBCASE("a voter is lost and another host takes its vote") {
    const std::string leader = fleet.LeaderHost()->info.peer_address;
    for (const std::string it : {"h2", "h3"}) {
      if (it != leader) {
        fleet.Kill(it);
        fleet.RunFor(seconds(8));
        CHECK(Voters(StateOf(fleet)).size() == 7);
      }
    }
    CHECK(fleet.IsServing());
  }

  SUBCASE("all but three hosts are lost one by one") {
    for (int n = 0; n < 6; ++n) {
      const std::string leader = fleet.LeaderHost()->info.peer_address;
      const std::vector<FakeHost*> live = fleet.LiveHosts();
      const auto it = std::find_if(live.begin(), live.end(), [&](auto* host) {
        return host->info.peer_address != leader;
      });
      fleet.Kill((*it)->info.peer_address);
      fleet.RunFor(seconds(8));
      REQUIRE(fleet.LeaderHost() != nullptr);
      CHECK(fleet.IsServing());
    }
    CHECK(Voters(StateOf(fleet)).size() == 3);
  }

  SUBCASE("an evicted host returns") {
    const std::string leader = fleet.LeaderHost()->info.peer_address;
    const std::string cut = leader == "h5" ? "h4" : "h5";
    for (const FakeHost* host : fleet.LiveHosts()) {
      if (host->info.peer_address != cut) {
        fleet.Cut(cut, host->info.peer_address);
      }
    }
    fleet.Cut(cut, "log");
    fleet.RunFor(seconds(8));
    const HostId id = fleet.Host(cut).info.id;
    CHECK_FALSE(StateOf(fleet).members.contains(id));
    fleet.HealLinks();
    fleet.RunFor(seconds(3));
    CHECK(StateOf(fleet).members.contains(id));
    CHECK(fleet.IsServing());
  }

  SUBCASE("the leader's host stops as planned") {
    const std::string leader = fleet.LeaderHost()->info.peer_address;
    const HostId id = fleet.Host(leader).info.id;
    fleet.Stop(leader);
    const auto taken = fleet.RunUntil(
        [&] {
          const FakeHost* now = fleet.LeaderHost();
          return now != nullptr && now->info.id != id;
        },
        seconds(3));
    REQUIRE(taken.has_value());
    CHECK(*taken <= milliseconds(600));
    fleet.Kill(leader);
    fleet.RunFor(seconds(3));
    CHECK_FALSE(StateOf(fleet).members.contains(id));
    CHECK(Voters(StateOf(fleet)).size() == 7);
  }

  const VoterHistory history = HistoryOf(fleet);
  CHECK(history.largest == 7);
  CHECK(history.multi_voter_changes == 0);
  CHECK(fleet.ViolationSummary() == "");
}

// The host can write its join record but cannot reach the leader yet. If it
// were evicted at once, it would join again and again.
TEST_CASE(
    "a host that has just joined must not be evicted before its first "
    "renewal") {
  Fleet fleet;
  REQUIRE(fleet.StartFleet(3));
  fleet.Isolate("h4", {"h1", "h2", "h3"});
  fleet.StartHost("h4");
  fleet.RunFor(seconds(3));
  const HostId id = fleet.Host("h4").info.id;
  const size_t joins = fleet.log.entries.size();
  CHECK(StateOf(fleet).members.contains(id));
  fleet.HealLinks();
  fleet.RunFor(seconds(2));
  CHECK(fleet.IsServing());
  CHECK(fleet.log.entries.size() == joins);
}

// Candidates that ask for votes at the same time split the votes, and might do
// so in every further election.
TEST_CASE("hosts that campaign at once must end with one leader") {
  for (const int delay_ms : {1, 20, 60}) {
    SUBCASE(std::to_string(delay_ms).c_str()) {
      Fleet fleet;
      REQUIRE(fleet.StartFleet(5));
      fleet.link_delay = milliseconds(delay_ms);
      fleet.RunFor(seconds(1));
      const std::string leader = fleet.LeaderHost()->info.peer_address;
      // Host n waits n steps of 150 ms longer before it campaigns. Each host is
      // cut off from the leader earlier by as much, so they all campaign
      // together.
      const std::vector<std::string> order = {"h5", "h4", "h3", "h2", "h1"};
      for (const std::string& it : order) {
        if (it != leader) {
          fleet.Cut(it, leader);
        }
        fleet.RunFor(milliseconds(150));
      }
      fleet.Kill(leader);
      CHECK(fleet.RunUntil([&] { return fleet.IsServing(); }, seconds(6)));
      fleet.RunFor(seconds(10));
      CHECK(fleet.IsServing());
      CHECK(fleet.ViolationSummary() == "");
    }
  }
}

// An eviction needs a record, so a host that is lost during a log outage stays
// a member. Requests that need its reply would be delayed.
TEST_CASE("requests must not wait for a lost host that cannot be evicted") {
  Fleet fleet;
  REQUIRE(fleet.StartFleet(3));
  fleet.RunFor(seconds(3));
  fleet.log.available = false;
  const std::string leader = fleet.LeaderHost()->info.peer_address;
  const std::string lost = leader == "h1" ? "h2" : "h1";
  const HostId id = fleet.Host(lost).info.id;
  // Whether every live host has the lost host in its routing snapshot.
  const auto is_in_every_snapshot = [&] {
    const std::vector<FakeHost*> live = fleet.LiveHosts();
    return std::all_of(live.begin(), live.end(), [&](const FakeHost* host) {
      const auto& hosts = host->snapshot->hosts;
      return std::any_of(hosts.begin(), hosts.end(),
                         [&](const HostInfo& it) { return it.id == id; });
    });
  };
  REQUIRE(is_in_every_snapshot());
  fleet.Pause(lost);
  fleet.RunFor(seconds(2));
  CHECK_FALSE(is_in_every_snapshot());
  CHECK(fleet.IsServing());

  SUBCASE(
      "it returns and is used again after it learned that it was unavailable") {
    fleet.Resume(lost);
    const auto took = fleet.RunUntil(is_in_every_snapshot, seconds(5));
    REQUIRE(took);
    CHECK(*took >= seconds(1));
  }

  SUBCASE("the leader is lost as well: its successor has no majority") {
    fleet.Kill(leader);
    fleet.RunFor(seconds(3));
    CHECK_FALSE(fleet.IsServing());
    CHECK(fleet.ViolationSummary() == "");
  }
}

}  // namespace toucandock::core::control::testing
