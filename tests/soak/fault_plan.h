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
  // SIGTERM, and a new process.
  kHostStop,
  kTargetKill,
  kTargetPause,
  // SIGTERM: it leaves, and a new process comes.
  kTargetStop,
  // Answers fail or are lost, or work is slow.
  kTargetFault,
  kTargetCut,
  // The store answers 503, is slow, loses answers or forgets its history.
  kStoreFault,
  // The store is silent.
  kStorePause,
  // One host is cut off from the store.
  kStoreCut,
  kPublish,
};

// One fault: what, when, for how long, and where.
struct Fault {
  FaultKind kind = FaultKind::kHostKill;
  std::chrono::milliseconds at{};
  std::chrono::milliseconds fault_duration{};
  // Number of the host or target.
  size_t process_index = 0;
  // Of stand-ins: the query that sets the fault, and the one that ends it.
  std::string query;
  std::string end_query;
};

struct FaultPlanOptions {
  std::chrono::milliseconds length{8'000};
  size_t faults = 6;
  size_t hosts = 3;
  size_t targets = 7;
};

// The same seed gives the same faults, in the order of their time. They come in
// series and overlap.
std::vector<Fault> PlanFaults(std::uint32_t seed,
                              const FaultPlanOptions& options);

std::string Describe(const Fault& fault);

}  // namespace toucandock::soak

#endif  // TOUCANDOCK_SOAK_FAULT_PLAN_H_
