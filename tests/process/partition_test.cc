#include "process/scenario.h"

namespace toucandock::process {
namespace {

// Long enough for the host that cannot reach the leader to start an election.
constexpr std::chrono::milliseconds kCut{2'500};

}  // namespace

// The host that cannot reach the leader may start an election, while the third
// host reaches both. Two leaders at a time could each assign the key to another
// target.
TEST_CASE("a cut between two entry hosts gives no key two owners") {
  Fleet fleet({.relays = true});
  fleet.PublishAndWait();
  const size_t leader = fleet.Leader({0, 1, 2});
  const size_t cut_off = fleet.HostsExcept(leader)[0];
  const size_t third = fleet.HostsExcept(leader)[1];
  Load load(fleet, {.deadline = std::chrono::milliseconds(1'000)});
  load.WaitForAnswers(cut_off, 50);

  const auto cut = [&](const std::string& mode) {
    fleet.Cut(leader, cut_off, mode);
    WaitUntil("one of the two hosts has no lease", [&] {
      return !fleet.Status(cut_off)["has_lease"].asBool() ||
             !fleet.Status(leader)["has_lease"].asBool();
    });
    std::this_thread::sleep_for(kCut);
    // Whichever of the two is the leader now, the third host can reach it.
    load.WaitForAnswers(third, 100);
    fleet.Heal();
  };
  SUBCASE("connections are closed") {
    cut("drop");
  }
  SUBCASE("connections stay open and carry nothing") {
    cut("hold");
  }
  SUBCASE("an owner is lost during the cut") {
    fleet.Cut(leader, cut_off, "drop");
    const std::string owner = fleet.OwnerOf(third, "key-1");
    fleet.target(fleet.TargetNamed(owner)).process->Kill();
    WaitUntil("a successor of " + owner,
              [&] { return fleet.OwnerOf(third, "key-1") != owner; });
    fleet.Heal();
  }
  fleet.WaitUntilReady({0, 1, 2});
  for (const size_t n : {leader, cut_off, third}) {
    load.WaitForAnswers(n, 100);
  }
  CheckAgainstJournals(fleet, load.Stop());
}

}  // namespace toucandock::process
