// Measures how long a key is unavailable after the loss of its owner, how long
// a publication takes to reach all hosts, and the cost of control traffic on
// idle hosts.
#include <algorithm>
#include <atomic>
#include <chrono>
#include <csignal>
#include <map>
#include <mutex>
#include <optional>
#include <sstream>
#include <string>
#include <thread>
#include <vector>

#include "absl/strings/match.h"
#include "absl/strings/numbers.h"
#include "absl/strings/str_cat.h"
#include "absl/strings/str_join.h"
#include "bench.h"
#include "process/fleet.h"
#include "process/load.h"

namespace toucandock::bench {
namespace {

using process::CallerRecord;
using process::Fleet;
using process::FleetOptions;
using process::ReportedOutcome;
using std::chrono::milliseconds;
using std::chrono::steady_clock;

constexpr int kLossesOfEachKind = 10;
constexpr int kBaselineLosses = 6;
// How long the host list of the stand-in continues to show a lost target, and
// the interval at which hosts read the list.
constexpr milliseconds kListLag{3'000};
constexpr const char* kListInterval = "250ms";
constexpr size_t kProbeThreads = 6;
constexpr milliseconds kProbeDeadline{150};
constexpr milliseconds kProbePause{5};
constexpr milliseconds kProbeLimit{20'000};
constexpr int kPublishes = 10;
constexpr int kCostWindows = 5;
constexpr milliseconds kCostWindow{4'000};

double Milliseconds(steady_clock::duration duration) {
  return std::chrono::duration<double, std::milli>(duration).count();
}

double Quantile(std::vector<double> values, double q) {
  std::sort(values.begin(), values.end());
  const auto n = static_cast<size_t>(q * static_cast<double>(values.size()));
  return values[std::min(n, values.size() - 1)];
}

// Sets the host list to the fleet's hosts and all targets except `lost`.
void ListTargetsExcept(Fleet& fleet, std::optional<size_t> lost) {
  std::vector<std::string> lines;
  for (size_t n = 0; n < fleet.target_count(); ++n) {
    if (n != lost) {
      lines.push_back(absl::StrCat("{\"address\":\"", fleet.target(n).address,
                                   "\",\"state\":\"live\"}"));
    }
  }
  for (size_t n = 0; n < fleet.host_count(); ++n) {
    lines.push_back(absl::StrCat("{\"address\":\"", fleet.host(n).peer_address,
                                 "\",\"state\":\"live\"}"));
  }
  fleet.SetHostList(absl::StrCat("[", absl::StrJoin(lines, ","), "]"));
}

// Returns the milliseconds from `lost_at` until the first response of another
// target. Several requests with short deadlines overlap, so that a request that
// waits for the lost target does not delay the measurement.
double ProbeUntilServed(Fleet& fleet,
                        const std::string& key,
                        const std::string& old_owner,
                        steady_clock::time_point lost_at) {
  std::atomic<bool> served = false;
  std::mutex mutex;
  steady_clock::time_point first = steady_clock::time_point::max();
  std::vector<std::thread> threads;
  for (size_t n = 0; n < kProbeThreads; ++n) {
    threads.emplace_back([&, n] {
      while (!served && steady_clock::now() - lost_at < kProbeLimit) {
        const CallerRecord record = process::Call(
            fleet, n % fleet.host_count(),
            {.key = key, .request_id = "probe", .deadline = kProbeDeadline});
        if (record.reported_outcome == ReportedOutcome::kAnswer &&
            record.target != old_owner) {
          const std::lock_guard<std::mutex> lock(mutex);
          first = std::min(first, record.answered_at);
          served = true;
        }
        std::this_thread::sleep_for(kProbePause);
      }
    });
  }
  for (std::thread& it : threads) {
    it.join();
  }
  return Milliseconds(std::min(first, lost_at + kProbeLimit) - lost_at);
}

// Kills or freezes the owner of one key and returns the milliseconds until the
// key is served again.
double MeasureOwnerLoss(Fleet& fleet, int run, bool freeze, bool list_lags) {
  const std::string key = absl::StrCat("key-", run);
  const std::string owner = fleet.OwnerOf(0, key);
  const size_t n = fleet.TargetNamed(owner);
  const auto lost_at = steady_clock::now();
  if (freeze) {
    fleet.target(n).process->Send(SIGSTOP);
  } else {
    fleet.target(n).process->Kill();
  }
  std::thread list;
  if (list_lags) {
    list = std::thread([&fleet, n, lost_at] {
      std::this_thread::sleep_until(lost_at + kListLag);
      ListTargetsExcept(fleet, n);
    });
  }
  const double taken = ProbeUntilServed(fleet, key, owner, lost_at);
  if (list.joinable()) {
    list.join();
  }
  if (freeze) {
    fleet.target(n).process->Send(SIGCONT);
  } else {
    fleet.RestartTarget(n);
  }
  ListTargetsExcept(fleet, std::nullopt);
  process::WaitUntil("the target is alive again", [&] {
    const Json::Value status = fleet.Status(0);
    const Json::Value leader = fleet.Status(fleet.Leader({0, 1, 2}));
    return status.isObject() && leader["lost_targets"].empty() &&
           leader["moves_under_way"].asUInt64() == 0;
  });
  return taken;
}

std::vector<double> MeasureOwnerLosses(const FleetOptions& options,
                                       int losses,
                                       bool freeze,
                                       bool list_lags) {
  Fleet fleet(options);
  ListTargetsExcept(fleet, std::nullopt);
  fleet.PublishAndWait();
  std::vector<double> values;
  values.reserve(losses);
  for (int n = 0; n < losses; ++n) {
    values.push_back(MeasureOwnerLoss(fleet, n, freeze, list_lags));
  }
  return values;
}

void MeasureUnavailableTime(Report& report) {
  const FleetOptions baseline_options = {
      .settings = absl::StrCat("detect_by_host_list_only: true\n",
                               "host_list_interval: ", kListInterval, "\n")};
  std::vector<double> all;
  for (const bool freeze : {false, true}) {
    const std::vector<double> values =
        MeasureOwnerLosses({}, kLossesOfEachKind, freeze, false);
    const std::vector<double> baseline =
        MeasureOwnerLosses(baseline_options, kBaselineLosses / 2, freeze, true);
    all.insert(all.end(), values.begin(), values.end());
    const std::string kind = freeze ? "freeze" : "kill";
    const std::string baseline_name =
        absl::StrCat("host list that lags ", kListLag.count(), " ms");
    report.Add({.name = absl::StrCat("key unavailable after a ", kind),
                .unit = "ms",
                .values = values,
                .baseline_name = baseline_name,
                .baseline_values = baseline,
                .target = "at most 1000 ms"});
  }
  report.Add({.name = "key unavailable after kill or freeze, 99th percentile",
              .unit = "ms",
              .values = {Quantile(all, 0.99)},
              .target = "at most 1000 ms"});
  report.Add({.name = "key unavailable after kill or freeze, longest",
              .unit = "ms",
              .values = {Quantile(all, 1)},
              .target = "at most 1000 ms"});
}

std::vector<double> MeasurePublishes(size_t hosts) {
  Fleet fleet({.hosts = hosts});
  fleet.PublishAndWait();
  std::vector<double> values;
  for (int n = 1; n <= kPublishes; ++n) {
    const std::string file = fleet.WriteFile(
        "next.yaml", fleet.ConfigText(absl::StrCat("extra", n)));
    const auto start = steady_clock::now();
    fleet.RunTool({"publish", file, absl::StrCat("--edited_from=", n)});
    for (size_t k = 0; k < hosts; ++k) {
      process::WaitUntil("the version is in effect", [&] {
        return fleet.Status(k)["config_version"].asInt() == n + 1;
      });
    }
    values.push_back(Milliseconds(steady_clock::now() - start));
  }
  return values;
}

void MeasurePublish(Report& report) {
  report.Add({.name = "publish until in force on the last of 6 hosts",
              .unit = "ms",
              .values = MeasurePublishes(6),
              .baseline_name = "1 host",
              .baseline_values = MeasurePublishes(1),
              .target = "at most 6000 ms"});
}

// Returns the sum of the samples of a counter over all its labels.
double SumOf(const std::string& metrics, const std::string& name) {
  double sum = 0;
  std::istringstream lines(metrics);
  for (std::string line; std::getline(lines, line);) {
    double value = 0;
    if (absl::StartsWith(line, name) &&
        absl::SimpleAtod(line.substr(line.rfind(' ') + 1), &value)) {
      sum += value;
    }
  }
  return sum;
}

struct ControlCost {
  // One value for each measurement window: that of the host with the highest
  // cost.
  std::vector<double> kilobytes;
  std::vector<double> core_percent;
};

ControlCost MeasureCost(size_t hosts) {
  Fleet fleet({.hosts = hosts, .targets = 8});
  fleet.PublishAndWait();
  ControlCost cost;
  const auto bytes = [&](size_t n) {
    return SumOf(fleet.Metrics(n), "toucandock_control_bytes_total");
  };
  for (int window = 0; window < kCostWindows; ++window) {
    std::vector<double> bytes_before(hosts);
    std::vector<std::chrono::nanoseconds> cpu_before(hosts);
    const auto start = steady_clock::now();
    for (size_t n = 0; n < hosts; ++n) {
      bytes_before[n] = bytes(n);
      cpu_before[n] = fleet.host(n).process->CpuTime();
    }
    std::this_thread::sleep_for(kCostWindow);
    double max_kilobytes_per_second = 0;
    double max_cpu_percent = 0;
    const double seconds =
        std::chrono::duration<double>(steady_clock::now() - start).count();
    for (size_t n = 0; n < hosts; ++n) {
      const std::chrono::duration<double> cpu =
          fleet.host(n).process->CpuTime() - cpu_before[n];
      max_cpu_percent = std::max(max_cpu_percent, 100 * cpu.count() / seconds);
      max_kilobytes_per_second =
          std::max(max_kilobytes_per_second,
                   (bytes(n) - bytes_before[n]) / 1'000 / seconds);
    }
    cost.kilobytes.push_back(max_kilobytes_per_second);
    cost.core_percent.push_back(max_cpu_percent);
  }
  return cost;
}

void MeasureControlCost(Report& report) {
  std::optional<ControlCost> smallest;
  for (const size_t hosts : {size_t{3}, size_t{6}, size_t{12}}) {
    ControlCost cost = MeasureCost(hosts);
    if (!smallest) {
      smallest = cost;
    }
    report.Add({.name = absl::StrCat("control bytes of the busiest of ", hosts,
                                     " idle hosts, 8 targets"),
                .unit = "KB/s",
                .values = std::move(cost.kilobytes),
                .baseline_name = "3 hosts",
                .baseline_values = smallest->kilobytes,
                .target = "at most 20 KB/s"});
    report.Add({.name = absl::StrCat("processor time of the busiest of ", hosts,
                                     " idle hosts, 8 targets"),
                .unit = "% core",
                .values = std::move(cost.core_percent),
                .baseline_name = "3 hosts",
                .baseline_values = smallest->core_percent,
                .target = "at most 1.1 % of a core"});
  }
}

const Registration kUnavailable("unavailable", MeasureUnavailableTime);
const Registration kPublish("publish", MeasurePublish);
const Registration kControlCost("control_cost", MeasureControlCost);

}  // namespace
}  // namespace toucandock::bench
