#ifndef TOUCANDOCK_SOAK_SOAK_RUN_H_
#define TOUCANDOCK_SOAK_SOAK_RUN_H_

#include <cstdint>
#include <string>
#include <vector>

#include "soak/fault_plan.h"

namespace toucandock::soak {

struct SoakOptions {
  size_t hosts = 3;
  size_t keyed_targets = 4;
  size_t plain_targets = 3;
  size_t faults = 6;
  size_t restores = 1;
  size_t refusals = 1;
  std::chrono::milliseconds length{8'000};
  // Prints each fault as it begins.
  bool verbose = false;
};

struct SoakResult {
  // One line for each violated guarantee.
  std::vector<std::string> guarantee_violations;
  size_t requests = 0;
  size_t answered = 0;
  // Folder of the logs and journals; empty if no guarantee was violated.
  std::string folder;
};

// Starts a fleet of processes, injects the faults of the seed while callers
// send requests, waits until all hosts serve again after the last fault, and
// compares what callers were told with what the targets ran.
SoakResult RunSoak(std::uint32_t seed, const SoakOptions& options);

}  // namespace toucandock::soak

#endif  // TOUCANDOCK_SOAK_SOAK_RUN_H_
