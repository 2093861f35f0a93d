#ifndef TOUCANDOCK_SOAK_FAULT_PLAN_H_
#define TOUCANDOCK_SOAK_FAULT_PLAN_H_

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

namespace toucandock::soak {

enum class FaultKind {
  kHostKill,
  kHostPause,
  // The host is stopped with SIGTERM and a new process is started.
  kHostStop,
  kTargetKill,
  kTargetPause,
  // The target is stopped with SIGTERM, so that it drains and ends, and a new
  // process is started.
  kTargetStop,
  // Requests fail, responses are lost, or requests take longer.
  kTargetFault,
  // The relay to the target holds, closes or delays its connections.
  kTargetCut,
  // The store responds with 503, is slow, loses responses to appends, drops its
  // history or reassigns the partitions of its groups.
  kStoreFault,
  // The store's process is paused, so that it does not respond.
  kStorePause,
  // The relay between one host and the store holds, closes or delays its
  // connections.
  kStoreCut,
  // A new version of the configuration is published.
  kPublish,
  // The store is unavailable and comes back from a copy that lacks the last
  // writes.
  kStoreRestore,
  // The relay to the target refuses new connections and ends those that carry
  // grants, while the target serves the others.
  kTargetRefusal,
};

// A fault, when it begins and how long it lasts.
struct Fault {
  FaultKind kind = FaultKind::kHostKill;
  // Since the start of the plan.
  std::chrono::milliseconds at{};
  std::chrono::milliseconds fault_duration{};
  // Index of the host or target.
  size_t process_index = 0;
  // For faults that a stand-in simulates: the queries that set and end the
  // fault.
  std::string query;
  std::string end_query;
};

struct FaultPlanOptions {
  // Period in which faults begin.
  std::chrono::milliseconds length{8'000};
  size_t faults = 6;
  // Restores of the store, in addition to the other faults.
  size_t restores = 0;
  // Refused connections to a target, in addition to the other faults.
  size_t refusals = 0;
  size_t hosts = 3;
  size_t targets = 7;
};

// Returns faults in the order of their start; the same seed gives the same
// ones. They may overlap.
std::vector<Fault> PlanFaults(std::uint32_t seed,
                              const FaultPlanOptions& options);

std::string Describe(const Fault& fault);

}  // namespace toucandock::soak

#endif  // TOUCANDOCK_SOAK_FAULT_PLAN_H_
