#include "soak/soak_run.h"

#include <csignal>
#include <exception>
#include <iostream>
#include <mutex>
#include <thread>

#include "absl/strings/str_cat.h"
#include "process/platform_journal.h"

namespace toucandock::soak {
namespace {

using process::FaultInterval;
using process::PlatformFleet;
using std::chrono::milliseconds;
using Clock = std::chrono::steady_clock;

// Within this time of the last fault, all hosts must serve requests again.
constexpr milliseconds kRecovery{15'000};
// A fault affects requests for some time after its end: waiting requests get a
// response only by their deadline, and hosts have yet to detect dead
// connections.
constexpr milliseconds kFaultEffectTime{6'000};
constexpr milliseconds kStopLimit{8'000};
constexpr size_t kAnswersAfterFaults = 30;
constexpr milliseconds kRouteTimeouts[] = {milliseconds(1'500),
                                           milliseconds(2'000)};

// One run: a fleet, callers and the faults of one seed.
class Soak {
 public:
  Soak(std::uint32_t seed, const SoakOptions& options)
      : options_(options),
        plan_(PlanFaults(
            seed,
            {.length = options.length,
             .faults = options.faults,
             .restores = options.restores,
             .refusals = options.refusals,
             .hosts = options.hosts,
             .targets = options.keyed_targets + options.plain_targets})),
        fleet_({.hosts = options.hosts,
                .keyed_targets = options.keyed_targets,
                .plain_targets = options.plain_targets,
                .relays = true}),
        host_mutexes_(options.hosts),
        target_mutexes_(options.keyed_targets + options.plain_targets) {}

  SoakResult Run() {
    SoakResult result;
    std::vector<process::PlatformRecord> records;
    try {
      if (!fleet_.PublishConfig(kRouteTimeouts[0])) {
        throw std::runtime_error("the store did not accept the configuration");
      }
      fleet_.WaitUntilReady();
      process::PlatformLoad load(fleet_, {});
      RunFaults();
      for (size_t n = 0; n < fleet_.host_count(); ++n) {
        load.WaitForAnswers(n, kAnswersAfterFaults, kRecovery);
      }
      records = load.Stop();
    } catch (const std::exception& error) {
      Report(absl::StrCat("hosts do not serve: ", error.what()));
    }
    for (std::string& it : process::FindPlatformFaults(
             process::ReadPlatformJournals(fleet_), records, intervals_)) {
      Report(std::move(it));
    }
    result.guarantee_violations = guarantee_violations_;
    result.requests = records.size();
    for (const process::PlatformRecord& it : records) {
      result.answered +=
          it.reported_outcome == process::PlatformOutcome::kAnswer ? 1 : 0;
    }
    if (!guarantee_violations_.empty()) {
      fleet_.folder().Keep();
      result.folder = fleet_.folder().PathOf("");
    }
    return result;
  }

 private:
  void Report(std::string what) {
    const std::lock_guard<std::mutex> lock(mutex_);
    guarantee_violations_.push_back(std::move(what));
  }

  // Runs each fault on a thread of its own, so that faults overlap. Mutexes
  // serialize kills, stops and pauses of the same process and faults of the
  // store itself.
  void RunFaults() {
    const Clock::time_point began = Clock::now();
    std::vector<std::thread> threads;
    for (const Fault& fault : plan_) {
      threads.emplace_back([this, &fault, began] {
        std::this_thread::sleep_until(began + fault.at);
        if (options_.verbose) {
          std::cerr << Describe(fault) << "\n";
        }
        try {
          Apply(fault);
        } catch (const std::exception& error) {
          Report(absl::StrCat(Describe(fault), ": ", error.what()));
        }
      });
    }
    for (std::thread& it : threads) {
      it.join();
    }
  }

  void AddFaultInterval(Clock::time_point from) {
    const std::lock_guard<std::mutex> lock(mutex_);
    intervals_.push_back({.from = from, .to = Clock::now() + kFaultEffectTime});
  }

  void Apply(const Fault& fault) {
    const Clock::time_point from = Clock::now();
    switch (fault.kind) {
      case FaultKind::kHostKill:
      case FaultKind::kHostPause:
      case FaultKind::kHostStop:
        ApplyToHost(fault);
        return;
      case FaultKind::kTargetKill:
      case FaultKind::kTargetPause:
      case FaultKind::kTargetStop:
        ApplyToTarget(fault);
        return;
      case FaultKind::kTargetFault:
        // Has no effect if the target is down at this moment.
        fleet_.SetTargetFault(fault.process_index, fault.query);
        std::this_thread::sleep_for(fault.fault_duration);
        fleet_.SetTargetFault(fault.process_index, fault.end_query);
        break;
      case FaultKind::kTargetCut:
      case FaultKind::kTargetRefusal:
        fleet_.SetRelay(fleet_.target(fault.process_index).relay_control,
                        fault.query);
        std::this_thread::sleep_for(fault.fault_duration);
        fleet_.SetRelay(fleet_.target(fault.process_index).relay_control,
                        fault.end_query);
        break;
      case FaultKind::kStoreFault:
        ApplyToStore([&] {
          fleet_.SetStoreFault(fault.query);
          std::this_thread::sleep_for(fault.fault_duration);
          fleet_.SetStoreFault(fault.end_query);
        });
        break;
      case FaultKind::kStoreRestore:
        ApplyToStore([&] {
          fleet_.SetStoreFault(fault.query);
          std::this_thread::sleep_for(fault.fault_duration);
        });
        break;
      case FaultKind::kStorePause:
        ApplyToStore([&] {
          fleet_.store().Send(SIGSTOP);
          std::this_thread::sleep_for(fault.fault_duration);
          fleet_.store().Send(SIGCONT);
        });
        break;
      case FaultKind::kStoreCut:
        fleet_.SetRelay(fleet_.host(fault.process_index).relay_control,
                        fault.query);
        std::this_thread::sleep_for(fault.fault_duration);
        fleet_.SetRelay(fleet_.host(fault.process_index).relay_control,
                        fault.end_query);
        break;
      case FaultKind::kPublish:
        ApplyToStore(
            [&] { fleet_.PublishConfig(kRouteTimeouts[++publications_ % 2]); });
        return;
    }
    AddFaultInterval(from);
  }

  template <typename Action>
  void ApplyToStore(const Action& action) {
    const std::lock_guard<std::mutex> lock(store_mutex_);
    action();
  }

  void ApplyToHost(const Fault& fault) {
    const std::lock_guard<std::mutex> lock(host_mutexes_[fault.process_index]);
    const Clock::time_point from = Clock::now();
    process::ChildProcess& host = *fleet_.host(fault.process_index).process;
    if (fault.kind == FaultKind::kHostPause) {
      host.Send(SIGSTOP);
      std::this_thread::sleep_for(fault.fault_duration);
      host.Send(SIGCONT);
      // A paused host also sends nothing to the other hosts, so their requests
      // may be affected.
      AddFaultInterval(from);
      return;
    }
    if (fault.kind == FaultKind::kHostKill) {
      host.Kill();
      AddFaultInterval(from);
    } else {
      // No fault interval is added: a planned stop must not cut off requests.
      host.Send(SIGTERM);
      const int code = host.WaitForExit("a planned stop", kStopLimit);
      if (code != 0) {
        Report(absl::StrCat("a stopped host ended with ", code));
      }
    }
    std::this_thread::sleep_for(fault.fault_duration / 4);
    fleet_.StartHost(fault.process_index);
    process::WaitUntil(
        "a restarted host is ready",
        [&] { return fleet_.IsReady(fault.process_index); }, kRecovery);
  }

  void ApplyToTarget(const Fault& fault) {
    const std::lock_guard<std::mutex> lock(
        target_mutexes_[fault.process_index]);
    const Clock::time_point from = Clock::now();
    process::ChildProcess& target = *fleet_.target(fault.process_index).process;
    if (fault.kind == FaultKind::kTargetPause) {
      target.Send(SIGSTOP);
      std::this_thread::sleep_for(fault.fault_duration);
      target.Send(SIGCONT);
      AddFaultInterval(from);
      return;
    }
    if (fault.kind == FaultKind::kTargetKill) {
      target.Kill();
      AddFaultInterval(from);
    } else {
      target.Send(SIGTERM);
      target.WaitForExit("a draining target", kStopLimit);
    }
    std::this_thread::sleep_for(fault.fault_duration / 4);
    fleet_.StartTarget(fault.process_index);
  }

  const SoakOptions options_;
  const std::vector<Fault> plan_;
  PlatformFleet fleet_;
  std::vector<std::mutex> host_mutexes_;
  std::vector<std::mutex> target_mutexes_;
  std::mutex store_mutex_;
  int publications_ = 0;
  std::mutex mutex_;
  std::vector<FaultInterval> intervals_;
  std::vector<std::string> guarantee_violations_;
};

}  // namespace

SoakResult RunSoak(std::uint32_t seed, const SoakOptions& options) {
  try {
    return Soak(seed, options).Run();
  } catch (const std::exception& error) {
    return {
        .guarantee_violations = {absl::StrCat("not started: ", error.what())}};
  }
}

}  // namespace toucandock::soak
