#include <doctest/doctest.h>

#include <chrono>
#include <set>
#include <string>
#include <thread>
#include <vector>

#include "process/platform_journal.h"

namespace toucandock::process {
namespace {

using std::chrono::milliseconds;

constexpr milliseconds kRouteTimeout{2'000};
constexpr milliseconds kRecovery{15'000};
// Two targets may hold a key at the same time for no longer than this (OWNER).
constexpr milliseconds kSharedLimit{500};
// Longer than a lease and the move that follows it.
constexpr milliseconds kRefusal{8'000};
constexpr size_t kKeyedTargets = 4;

std::set<std::string> TargetsWithGrants(PlatformFleet& fleet) {
  std::set<std::string> targets;
  for (const PlatformJournalEntry& it : ReadPlatformJournals(fleet)) {
    if (it.event == PlatformEvent::kGrant) {
      targets.insert(it.target);
    }
  }
  return targets;
}

}  // namespace

// Guards against two owners of a key (OWNER, review/6): new connections to a
// target are refused on their way, and the connection for its grants ends,
// while the target runs and requests reach it over open connections.
TEST_CASE(
    "on the platform, a refused connect must not move keys that are held") {
  PlatformFleet fleet({.hosts = 2,
                       .keyed_targets = kKeyedTargets,
                       .plain_targets = 1,
                       .relays = true});
  REQUIRE(fleet.PublishConfig(kRouteTimeout));
  fleet.WaitUntilReady();
  PlatformLoad load(fleet, {});
  const auto wait_for_all = [&] {
    for (size_t n = 0; n < fleet.host_count(); ++n) {
      load.WaitForAnswers(n, 50, kRecovery);
    }
  };
  WaitUntil(
      "all targets hold keys",
      [&] { return TargetsWithGrants(fleet).size() == kKeyedTargets; },
      kRecovery);
  wait_for_all();

  const std::string relay = fleet.target(0).relay_control;
  REQUIRE(fleet.SetRelay(relay, "mode=refuse&from=/grant"));

  SUBCASE("the refusal lasts longer than the leases") {
    std::this_thread::sleep_for(kRefusal);
    REQUIRE(fleet.SetRelay(relay, "mode=pass"));
  }
  SUBCASE("it ends before the leases do") {
    std::this_thread::sleep_for(milliseconds(1'500));
    REQUIRE(fleet.SetRelay(relay, "mode=pass"));
    std::this_thread::sleep_for(kRefusal);
  }
  SUBCASE("a host restarts meanwhile") {
    fleet.host(0).process->Kill();
    fleet.StartHost(0);
    std::this_thread::sleep_for(kRefusal);
    REQUIRE(fleet.SetRelay(relay, "mode=pass"));
  }
  wait_for_all();

  const std::vector<PlatformRecord> records = load.Stop();
  const std::vector<PlatformJournalEntry> journal = ReadPlatformJournals(fleet);
  const std::vector<std::string> shared_keys =
      FindSharedKeys(journal, kSharedLimit);
  CAPTURE((shared_keys.empty() ? std::string() : shared_keys.front()));
  CHECK(shared_keys.empty());
  // Requests to the refusing target may fail at any time of the test.
  const std::vector<std::string> faults = FindPlatformFaults(
      journal, records,
      {{.from = records.front().sent_at, .to = records.back().answered_at}});
  CAPTURE((faults.empty() ? std::string() : faults.front()));
  CHECK(faults.empty());
}

}  // namespace toucandock::process
