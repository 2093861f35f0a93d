// Compares what callers are told with what targets ran. Aims at 20,000
// responses of targets while targets are killed, targets and entry hosts are
// frozen, and the log fails.
#include <algorithm>
#include <chrono>
#include <csignal>
#include <cstdio>
#include <functional>
#include <random>
#include <string>
#include <thread>
#include <vector>

#include "bench.h"
#include "process/fleet.h"
#include "process/journal.h"
#include "process/load.h"

namespace toucandock::bench {
namespace {

using process::CallerRecord;
using process::Fleet;
using process::ReportedOutcome;

constexpr size_t kRequests = 20'000;
constexpr size_t kAnswersBetweenFaults = 600;
constexpr unsigned kSeed = 1;
// Longer than every lease, so that a frozen process loses its leases.
constexpr std::chrono::milliseconds kFreeze{1'500};
// Limits the number of faults if requests are slow.
constexpr int kMaxFaults = 60;

void FreezeAndResume(process::ChildProcess& process) {
  process.Send(SIGSTOP);
  std::this_thread::sleep_for(kFreeze);
  process.Send(SIGCONT);
}

// Returns one function for each kind of fault. Each ends its fault before it
// returns; only lost responses to appends may follow later.
std::vector<std::function<void(Fleet&, size_t)>> Faults() {
  return {
      [](Fleet& fleet, size_t n) {
        const size_t target = n % fleet.target_count();
        fleet.target(target).process->Kill();
        std::this_thread::sleep_for(kFreeze);
        fleet.RestartTarget(target);
      },
      [](Fleet& fleet, size_t n) {
        FreezeAndResume(*fleet.target(n % fleet.target_count()).process);
      },
      [](Fleet& fleet, size_t n) {
        FreezeAndResume(*fleet.host(n % fleet.host_count()).process);
      },
      [](Fleet& fleet, size_t n) {
        fleet.SetLogFault("down=1");
        FreezeAndResume(*fleet.target(n % fleet.target_count()).process);
        fleet.SetLogFault("down=0");
      },
      [](Fleet& fleet, size_t) { fleet.SetLogFault("lose_answers=3"); },
  };
}

double Count(const std::vector<CallerRecord>& records,
             ReportedOutcome reported_outcome) {
  return static_cast<double>(std::count_if(
      records.begin(), records.end(), [&](const CallerRecord& it) {
        return it.reported_outcome == reported_outcome;
      }));
}

void Run(Report& report) {
  Fleet fleet({.targets = 5});
  fleet.PublishAndWait();
  process::Load load(
      fleet, {.threads_per_host = 6, .pause = std::chrono::milliseconds(1)});
  std::mt19937 generator(kSeed);
  const auto faults = Faults();
  size_t answers = 0;
  int injected = 0;
  while (answers < kRequests && injected < kMaxFaults) {
    load.WaitForAnswers(0, kAnswersBetweenFaults);
    faults[injected % faults.size()](fleet, generator());
    ++injected;
    answers = 0;
    for (size_t host = 0; host < fleet.host_count(); ++host) {
      answers += load.CountAnswers(host);
    }
  }
  const std::vector<CallerRecord> records = load.Stop();
  const std::vector<std::string> wrong =
      process::FindFaults(process::ReadJournals(fleet), records);
  for (size_t n = 0; n < std::min<size_t>(wrong.size(), 5); ++n) {
    std::printf("  %s\n", wrong[n].c_str());
  }
  const auto total = static_cast<double>(records.size());
  report.Add({.name = "requests sent under faults",
              .unit = "requests",
              .values = {total}});
  report.Add({.name = "faults injected",
              .unit = "faults",
              .values = {static_cast<double>(injected)}});
  report.Add({.name = "run twice, lost, crossed or wrongly reported",
              .unit = "requests",
              .values = {static_cast<double>(wrong.size())},
              .target = "0"});
  report.Add({.name = "answered by the target",
              .unit = "part",
              .values = {Count(records, ReportedOutcome::kAnswer) / total}});
  report.Add({.name = "told not-run",
              .unit = "part",
              .values = {Count(records, ReportedOutcome::kNotRun) / total}});
  report.Add({.name = "told unknown, or no answer",
              .unit = "part",
              .values = {(Count(records, ReportedOutcome::kUnknown) +
                          Count(records, ReportedOutcome::kNothing)) /
                         total}});
}

const Registration kRegistration("truth", Run);

}  // namespace
}  // namespace toucandock::bench
