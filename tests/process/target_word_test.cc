#include <doctest/doctest.h>

#include <algorithm>
#include <chrono>
#include <fstream>
#include <map>
#include <string>
#include <thread>
#include <vector>

#include "absl/strings/match.h"
#include "absl/strings/numbers.h"
#include "absl/strings/str_cat.h"
#include "absl/strings/str_split.h"
#include "codec/json.h"
#include "process/platform_journal.h"

namespace toucandock::process {
namespace {

using std::chrono::microseconds;
using std::chrono::milliseconds;

constexpr milliseconds kRouteTimeout{2'000};
constexpr milliseconds kRecovery{15'000};
// After this time of a target's word, requests that were sent before it have
// arrived.
constexpr milliseconds kDrain{2'000};
// A request that was sent before its host read the word arrives within this
// time.
constexpr milliseconds kInTransit{500};
// The first target of the service without keys.
constexpr size_t kPlainTarget = 4;

// A request that reached a target, or the target's answer to it that says that
// the target leaves or wants a pause.
struct Arrival {
  microseconds at{};
  std::string host;
  bool is_leaving = false;
  milliseconds pause{};
};

// Reads the requests that reached the target. Ids of requests begin with "r-"
// and the number of the host that received them.
std::vector<Arrival> ArrivalsAt(PlatformFleet& fleet, size_t target) {
  std::vector<Arrival> arrivals;
  std::ifstream journal(fleet.target(target).journal_file);
  for (std::string line; std::getline(journal, line);) {
    const auto value = codec::ParseJson(line);
    if (!value.ok() ||
        !absl::StartsWith((*value)["request_id"].asString(), "r-")) {
      continue;
    }
    const std::string event = (*value)["event"].asString();
    if (event != "start" && event != "declared") {
      continue;
    }
    int pause_ms = 0;
    (void)absl::SimpleAtoi((*value)["pause_ms"].asString(), &pause_ms);
    const std::vector<std::string> id =
        absl::StrSplit((*value)["request_id"].asString(), '-');
    arrivals.push_back(
        {.at = microseconds((*value)["at_us"].asInt64()),
         .host = id[1],
         .is_leaving = (*value)["notice"].asString() == "leaving",
         .pause = milliseconds(pause_ms)});
  }
  return arrivals;
}

// Returns the number of requests that reached the target later than the limit
// after it had told their host that it leaves. A host that was restarted
// meanwhile is left out.
size_t CountAfterLeaving(const std::vector<Arrival>& arrivals,
                         absl::string_view restarted_host) {
  std::map<std::string, microseconds> told;
  size_t n = 0;
  for (const Arrival& it : arrivals) {
    if (it.host == restarted_host) {
      continue;
    }
    if (it.is_leaving) {
      told.emplace(it.host, it.at);
    } else if (told.contains(it.host) && it.at > told[it.host] + kInTransit) {
      ++n;
    }
  }
  return n;
}

// Returns the largest number of requests from one host within a pause that the
// target had asked it for, after the first half second.
size_t MostWithinPause(const std::vector<Arrival>& arrivals) {
  size_t most = 0;
  for (const Arrival& refused : arrivals) {
    size_t n = 0;
    for (const Arrival& it : arrivals) {
      n += it.host == refused.host && it.at > refused.at + milliseconds(500) &&
                   it.at < refused.at + refused.pause
               ? 1
               : 0;
    }
    most = std::max(most, n);
  }
  return most;
}

}  // namespace

// Guards against requests that reach a target after it told the host that it
// leaves or wants a pause, while its entry in the store says that it is ready.
TEST_CASE("on the platform, a target's own word must count at once") {
  PlatformFleet fleet({});
  REQUIRE(fleet.PublishConfig(kRouteTimeout));
  fleet.WaitUntilReady();
  PlatformLoad load(fleet, {});
  const auto wait_for_all = [&] {
    for (size_t n = 0; n < fleet.host_count(); ++n) {
      load.WaitForAnswers(n, 50, kRecovery);
    }
  };
  wait_for_all();

  SUBCASE("it leaves") {
    REQUIRE(fleet.SetTargetFault(kPlainTarget, "leaving=1"));
    wait_for_all();
    std::this_thread::sleep_for(kDrain);
    absl::string_view restarted_host;

    SUBCASE("during an outage of the store") {
      REQUIRE(fleet.SetStoreFault("down=1"));
      std::this_thread::sleep_for(kDrain);
      REQUIRE(fleet.SetStoreFault("down=0"));
      wait_for_all();
    }
    SUBCASE("and a host that restarts learns it again") {
      fleet.host(0).process->Kill();
      fleet.StartHost(0);
      wait_for_all();
      std::this_thread::sleep_for(kDrain);
      restarted_host = "0";
    }
    const std::vector<Arrival> arrivals = ArrivalsAt(fleet, kPlainTarget);
    CHECK(std::any_of(arrivals.begin(), arrivals.end(),
                      [](const Arrival& it) { return it.is_leaving; }));
    CHECK(CountAfterLeaving(arrivals, restarted_host) == 0);

    SUBCASE("and its successor at another address is used") {
      fleet.target(kPlainTarget).process->Kill();
      fleet.StartTarget(kPlainTarget);
      std::this_thread::sleep_for(kDrain);
      CHECK(ArrivalsAt(fleet, kPlainTarget).size() > arrivals.size());
    }
  }

  SUBCASE("it asks for pauses") {
    REQUIRE(fleet.SetTargetFault(kPlainTarget, "pause_ms=1500"));
    std::this_thread::sleep_for(3 * kDrain);
    REQUIRE(fleet.SetTargetFault(kPlainTarget, "pause_ms=0"));
    const std::vector<Arrival> arrivals = ArrivalsAt(fleet, kPlainTarget);
    const auto is_refused = [](const Arrival& it) {
      return it.pause.count() > 0;
    };
    // Each host returns after a pause, and is refused again.
    CHECK(std::count_if(arrivals.begin(), arrivals.end(), is_refused) >
          static_cast<std::ptrdiff_t>(fleet.host_count()));
    CHECK(MostWithinPause(arrivals) <= 2);
    std::this_thread::sleep_for(kDrain);
    CHECK(ArrivalsAt(fleet, kPlainTarget).size() > arrivals.size());
  }

  SUBCASE("the owner of keys asks for a pause") {
    size_t owner = 0;
    WaitUntil(
        "a target runs requests for its keys",
        [&] {
          owner = (owner + 1) % kPlainTarget;
          return !ArrivalsAt(fleet, owner).empty();
        },
        kRecovery);
    REQUIRE(fleet.SetTargetFault(owner, "pause_ms=1900"));
    std::this_thread::sleep_for(2 * kDrain);
    REQUIRE(fleet.SetTargetFault(owner, "pause_ms=0"));
    CHECK(MostWithinPause(ArrivalsAt(fleet, owner)) <= 2);
    wait_for_all();
  }

  for (const PlatformRecord& it : load.Stop()) {
    // A caller must never wait for a target that is known not to serve it.
    CHECK(it.reported_outcome != PlatformOutcome::kNoAnswer);
  }
  // Hosts in other failure domains may not have used the target.
  bool is_logged = false;
  for (size_t n = 0; n < fleet.host_count(); ++n) {
    CHECK_FALSE(fleet.host(n).process->exit_code());
    const std::string log =
        ReadFile(fleet.folder().PathOf(fleet.host(n).name + ".out"));
    is_logged = is_logged || absl::StrContains(log, "target_leaving") ||
                absl::StrContains(log, "target_paused");
  }
  CHECK(is_logged);
}

}  // namespace toucandock::process
