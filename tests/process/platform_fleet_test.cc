#include <doctest/doctest.h>

#include <algorithm>
#include <csignal>
#include <memory>
#include <string>
#include <thread>
#include <vector>

#include "absl/strings/match.h"
#include "absl/strings/str_cat.h"
#include "process/platform_journal.h"
#include "support/raw_caller.h"

namespace toucandock::process {
namespace {

using std::chrono::milliseconds;
using Clock = std::chrono::steady_clock;

constexpr milliseconds kRouteTimeout{2'000};
// Upper limit for a new leader to replace a killed one, and for the keys of a
// lost target to get another owner.
constexpr milliseconds kRecovery{15'000};

void Prepare(PlatformFleet& fleet) {
  REQUIRE(fleet.PublishConfig(kRouteTimeout));
  fleet.WaitUntilReady();
}

void WaitForAll(PlatformFleet& fleet, PlatformLoad& load, size_t more) {
  for (size_t n = 0; n < fleet.host_count(); ++n) {
    load.WaitForAnswers(n, more, kRecovery);
  }
}

void CheckGuarantees(PlatformFleet& fleet,
                     const std::vector<PlatformRecord>& records,
                     const std::vector<FaultInterval>& faults) {
  // A violated rule is usually violated many times, so a few lines are enough.
  constexpr size_t kShown = 5;
  const std::vector<std::string> found =
      FindPlatformFaults(ReadPlatformJournals(fleet), records, faults);
  for (size_t n = 0; n < std::min(found.size(), kShown); ++n) {
    MESSAGE(found[n]);
  }
  CHECK(found.empty());
}

}  // namespace

// Callers send requests through all hosts while one part at a time is lost.
// Afterwards the journals are checked for keys with two owners, requests that
// ran twice and wrong responses.
TEST_CASE("on the platform, the loss of one part must not stop the rest") {
  PlatformFleet fleet({});
  Prepare(fleet);
  PlatformLoad load(fleet, {});
  WaitForAll(fleet, load, 50);
  const Clock::time_point began = Clock::now();

  SUBCASE("each host is killed in turn, so that leadership moves") {
    for (size_t n = 0; n < fleet.host_count(); ++n) {
      fleet.host(n).process->Kill();
      load.WaitForAnswers((n + 1) % fleet.host_count(), 100, kRecovery);
      fleet.StartHost(n);
      load.WaitForAnswers(n, 50, kRecovery);
    }
  }

  SUBCASE("a target that owns keys is killed") {
    fleet.target(0).process->Kill();
    WaitForAll(fleet, load, 200);

    SUBCASE("and comes back under its id, where it holds nothing") {
      fleet.StartTarget(0);
      WaitForAll(fleet, load, 200);
    }
  }

  SUBCASE("the store is unavailable for longer than a lease lasts") {
    REQUIRE(fleet.SetStoreFault("down=1"));
    std::this_thread::sleep_for(milliseconds(6'000));
    // Only the store is unavailable, so targets must still return responses.
    WaitForAll(fleet, load, 50);
    REQUIRE(fleet.SetStoreFault("down=0"));
    WaitForAll(fleet, load, 50);
  }

  SUBCASE("the store loses its history and chooses a new leader") {
    REQUIRE(fleet.SetStoreFault("forget=1&rebalance=1"));
    REQUIRE(fleet.PublishConfig(kRouteTimeout));
    WaitForAll(fleet, load, 200);
  }

  // Guards against two owners, lower fences and hosts that stay behind because
  // offsets are assigned again.
  SUBCASE("the store comes back from a copy that is some seconds old") {
    fleet.StartTarget(1);
    WaitForAll(fleet, load, 100);
    REQUIRE(fleet.SetStoreFault("restore_ms=4000&away_ms=1200"));
    std::this_thread::sleep_for(milliseconds(1'300));
    WaitForAll(fleet, load, 200);

    SUBCASE("and again, while the leader is replaced") {
      REQUIRE(fleet.SetStoreFault("restore_ms=1000&away_ms=300"));
      fleet.host(0).process->Kill();
      fleet.StartHost(0);
      WaitForAll(fleet, load, 200);
    }
    SUBCASE("and hosts follow what is written from then on") {
      REQUIRE(fleet.PublishConfig(kRouteTimeout));
      fleet.StartTarget(0);
      WaitForAll(fleet, load, 200);
    }
    for (size_t n = 0; n < fleet.host_count(); ++n) {
      CHECK(absl::StrContains(
          ReadFile(fleet.folder().PathOf(fleet.host(n).name + ".out")),
          "store_era"));
    }
  }

  const Clock::time_point ended = Clock::now();
  CheckGuarantees(fleet, load.Stop(), {{.from = began, .to = ended}});
}

// Guards against requests that reach an evacuated failure domain after the
// limit, and against keys that stay without a serving owner because of it.
TEST_CASE("on the platform, an evacuation ends work in a failure domain") {
  // The hosts' limit of an evacuation.
  constexpr milliseconds kLimit{5'000};
  PlatformFleet fleet({});
  Prepare(fleet);
  PlatformLoad load(fleet, {});
  WaitForAll(fleet, load, 50);
  const std::string domain = "lk-west-0";

  const Clock::time_point began = Clock::now();
  REQUIRE(fleet.SetEvacuated(domain, true));
  SUBCASE("while nothing else happens") {}
  SUBCASE("also if the store is unavailable right after it") {
    std::this_thread::sleep_for(milliseconds(2'000));
    REQUIRE(fleet.SetStoreFault("down=1"));
  }
  SUBCASE("also if a host is killed right after it") {
    fleet.host(0).process->Kill();
    fleet.StartHost(0);
  }
  std::this_thread::sleep_until(began + kLimit);
  WaitForAll(fleet, load, 100);
  const Clock::time_point ended = Clock::now();
  REQUIRE(fleet.SetStoreFault("down=0"));
  REQUIRE(fleet.SetEvacuated(domain, false));
  WaitForAll(fleet, load, 200);

  std::vector<std::string> evacuated;
  for (size_t n = 0; n < fleet.target_count(); n += 3) {
    evacuated.push_back(fleet.target(n).id);
  }
  size_t late = 0;
  size_t after = 0;
  for (const PlatformJournalEntry& it : ReadPlatformJournals(fleet)) {
    const bool is_evacuated = std::find(evacuated.begin(), evacuated.end(),
                                        it.target) != evacuated.end();
    if (it.event != PlatformEvent::kStart || !is_evacuated) {
      continue;
    }
    late += it.at > began + kLimit && it.at < ended ? 1 : 0;
    after += it.at > ended ? 1 : 0;
  }
  CHECK(late == 0);
  // The domain is used again after the evacuation.
  CHECK(after > 0);
  CheckGuarantees(fleet, load.Stop(), {{.from = began, .to = ended}});
}

// Guards against a planned stop, or a reload, that cuts answers on their way to
// callers with slow links (an answer takes 2 s at 1.6 Mbit/s).
TEST_CASE("on the platform, a planned stop cuts no answer of a slow caller") {
  constexpr int kCallers = 40;
  constexpr int kReceiveBuffer = 32'768;
  constexpr support::ReadPace kSlowLink{.bytes = 20'000,
                                        .interval = milliseconds(100)};
  PlatformFleet fleet({});
  Prepare(fleet);
  PlatformLoad load(fleet, {});
  WaitForAll(fleet, load, 20);
  const auto request = [](const std::string& query, int n) {
    return absl::StrCat("GET /look/1", query,
                        " HTTP/1.1\r\nHost: a.example\r\nRequest-Id: slow-", n,
                        "\r\nDeadline-Ms: 5000\r\n\r\n");
  };
  std::vector<std::unique_ptr<support::RawCaller>> callers;
  for (int n = 0; n < kCallers; ++n) {
    callers.push_back(std::make_unique<support::RawCaller>(
        fleet.CallerAddress(0), kReceiveBuffer));
    callers.back()->Write(request("", n));
    REQUIRE(support::RawCaller::IsComplete(callers.back()->ReadMessage({})));
  }
  std::atomic<int> whole = 0;
  std::atomic<int> cut = 0;
  std::vector<std::thread> threads;
  const auto call_all = [&] {
    for (int n = 0; n < kCallers; ++n) {
      threads.emplace_back([&, n] {
        callers[n]->Write(request("?size=400000", kCallers + n));
        const std::string answer = callers[n]->ReadMessage(kSlowLink);
        const bool is_complete = support::RawCaller::IsComplete(answer);
        cut += is_complete ? 0 : 1;
        whole +=
            is_complete && absl::StartsWith(answer, "HTTP/1.1 200 ") ? 1 : 0;
      });
    }
  };

  SUBCASE("when the requests arrive after the signal") {
    fleet.host(0).process->Send(SIGTERM);
    std::this_thread::sleep_for(milliseconds(300));
    call_all();
    CHECK(fleet.host(0).process->WaitForExit("a planned stop",
                                             milliseconds(8'000)) == 0);
  }
  SUBCASE("when the signal arrives in the middle of the answers") {
    call_all();
    std::this_thread::sleep_for(milliseconds(500));
    fleet.host(0).process->Send(SIGTERM);
    CHECK(fleet.host(0).process->WaitForExit("a planned stop",
                                             milliseconds(8'000)) == 0);
  }
  SUBCASE("when the settings change in the middle of the answers") {
    call_all();
    std::this_thread::sleep_for(milliseconds(500));
    const std::string file = fleet.host(0).name + ".yaml";
    fleet.folder().WriteFile(file, ReadFile(fleet.folder().PathOf(file)) +
                                       "caller_read_limit: 9s\n");
    fleet.host(0).process->Send(SIGHUP);
  }
  for (std::thread& it : threads) {
    it.join();
  }
  CHECK(cut == 0);
  // Some may be refused while the targets are busy.
  CHECK(whole >= kCallers / 2);
  CheckGuarantees(fleet, load.Stop(), {});
}

// Guards against a host that terminates, or stops following the list of
// targets, when it reads an entry that no correct target writes: deep nesting,
// values out of range, or ids that are not UTF-8 or contain control characters
// (issue 16).
TEST_CASE("on the platform, odd entries of another writer stop no host") {
  PlatformFleet fleet({});
  Prepare(fleet);
  PlatformLoad load(fleet, {});
  WaitForAll(fleet, load, 20);
  const std::string entry =
      R"({"service":"lodger","address":"127.0.0.1:%s","zone":"z","version":)"
      R"("v1","concurrency":%s,"state":"ready","warmupLeft":"%s",)"
      R"("sequence":1,"born":%s})";
  const auto with = [&entry](const char* port, const char* slots,
                             const char* warm_up, const char* start_time_ms) {
    std::string text = entry;
    for (const char* it : {port, slots, warm_up, start_time_ms}) {
      text.replace(text.find("%s"), 2, it);
    }
    return text;
  };
  const std::string deep(20'000, '[');
  REQUIRE(fleet.WriteTargetEntry("odd-1", deep));
  REQUIRE(fleet.WriteTargetEntry("odd-2", with("99999", "4", "0ms", "7")));
  REQUIRE(fleet.WriteTargetEntry("odd-3", with("0", "4", "0ms", "7")));
  REQUIRE(fleet.WriteTargetEntry("odd-4", with("80", "1e400", "0ms", "7")));
  REQUIRE(fleet.WriteTargetEntry("odd-5", with("80", "4", "nans", "7")));
  REQUIRE(fleet.WriteTargetEntry("a b&after=%\r\nX: 1",
                                 with("80", "4", "0ms", "7")));
  REQUIRE(fleet.WriteTargetEntry("\xff\xfe", with("80", "4", "0ms", "7")));
  REQUIRE(fleet.WriteTargetEntry(
      "i-0", with("80", "4", "0ms", "18446744073709551615")));

  SUBCASE("and hosts still follow the list") {
    fleet.target(4).process->Kill();
    fleet.StartTarget(4);
    WaitForAll(fleet, load, 100);
  }
  SUBCASE("and a host that starts reads it") {
    fleet.host(0).process->Kill();
    fleet.StartHost(0);
    load.WaitForAnswers(0, 100, kRecovery);
  }
  for (size_t n = 0; n < fleet.host_count(); ++n) {
    CHECK_FALSE(fleet.host(n).process->exit_code());
  }
  const FaultInterval whole{.from = {}, .to = Clock::time_point::max()};
  CheckGuarantees(fleet, load.Stop(), {whole});
}

// No fault interval excuses a failure here: no request may be cut off or remain
// without a response when a host or a target stops after SIGTERM, or when hosts
// reload their settings.
TEST_CASE("on the platform, a planned stop cuts no request") {
  PlatformFleet fleet({});
  Prepare(fleet);
  PlatformLoad load(fleet, {.work = milliseconds(100)});
  WaitForAll(fleet, load, 20);

  SUBCASE("of a host, while callers continue to use their connections") {
    for (size_t n = 0; n < fleet.host_count(); ++n) {
      fleet.host(n).process->Send(SIGTERM);
      CHECK(fleet.host(n).process->WaitForExit("a planned stop",
                                               milliseconds(8'000)) == 0);
      fleet.StartHost(n);
      load.WaitForAnswers(n, 20, kRecovery);
    }
  }

  SUBCASE("of a target, whose keys move") {
    fleet.target(1).process->Send(SIGTERM);
    CHECK(fleet.target(1).process->WaitForExit("a draining target",
                                               milliseconds(8'000)) == 0);
    WaitForAll(fleet, load, 50);
  }

  SUBCASE("nor does a change of the settings of running hosts") {
    const auto read = [&](size_t n, const char* suffix) {
      return ReadFile(fleet.folder().PathOf(fleet.host(n).name + suffix));
    };
    for (size_t n = 0; n < fleet.host_count(); ++n) {
      fleet.folder().WriteFile(fleet.host(n).name + ".yaml",
                               read(n, ".yaml") + "stop_limit: 5s\n");
      fleet.host(n).process->Send(SIGHUP);
    }
    WaitForAll(fleet, load, 50);
    for (size_t n = 0; n < fleet.host_count(); ++n) {
      CHECK(absl::StrContains(read(n, ".out"), "settings_applied"));
    }
  }

  CheckGuarantees(fleet, load.Stop(), {});
}

}  // namespace toucandock::process
