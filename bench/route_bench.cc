// Measures the time of one routing decision for a keyed request, and whether it
// grows with the number of different keys.
#include <chrono>
#include <random>
#include <string>
#include <vector>

#include "absl/strings/str_cat.h"
#include "bench.h"
#include "core/routing/routing_snapshot.h"

namespace toucandock::bench {
namespace {

constexpr int kRuns = 5;
constexpr int kDecisions = 1'000'000;
constexpr int kHotKeys = 550;
constexpr std::uint32_t kShardsPerTarget = 8;

core::routing::ServiceRoute MakeService(std::uint32_t targets) {
  core::routing::ServiceRoute service;
  service.config.name = "callboard";
  service.config.keyed = true;
  service.config.shards = targets * kShardsPerTarget;
  for (std::uint32_t n = 0; n < targets; ++n) {
    service.targets.push_back({.id = absl::StrCat("callboard/", n)});
  }
  for (std::uint32_t n = 0; n < service.config.shards; ++n) {
    service.shards.push_back({static_cast<int>(n % targets), n + 1});
  }
  for (int n = 0; n < kHotKeys; ++n) {
    const std::uint64_t hash = core::HashKey(absl::StrCat("hot-", n));
    service.hot_keys[core::HotKeyNumber(hash)] = {0, 1};
  }
  return service;
}

// Returns the nanoseconds of one routing decision, averaged over `keys`
// different keys.
double Measure(const core::routing::ServiceRoute& service, int keys) {
  std::mt19937_64 generator(1);
  std::vector<std::string> names;
  names.reserve(keys);
  for (int n = 0; n < keys; ++n) {
    names.push_back(absl::StrCat("key-", generator() % keys));
  }
  std::uint64_t sum = 0;
  const auto start = std::chrono::steady_clock::now();
  for (int n = 0; n < kDecisions; ++n) {
    sum += core::routing::RouteKey(service, names[n % keys]).fence;
  }
  const auto taken = std::chrono::steady_clock::now() - start;
  const double ns = std::chrono::duration<double, std::nano>(taken).count();
  return sum == 0 ? 0 : ns / kDecisions;
}

void Run(Report& report) {
  for (const std::uint32_t targets : {100U, 1'000U, 8'000U}) {
    const core::routing::ServiceRoute service = MakeService(targets);
    Figure figure = {
        .name = absl::StrCat("route decision, ", targets,
                             " targets, 550 hot keys, 100,000 keys"),
        .unit = "ns",
        .baseline_name = "1,000 keys",
        .target = "at most 1000 ns and no growth with the number of keys"};
    for (int n = 0; n < kRuns; ++n) {
      figure.baseline_values.push_back(Measure(service, 1'000));
      figure.values.push_back(Measure(service, 100'000));
    }
    report.Add(std::move(figure));
  }
}

const Registration kRegistration("route", Run);

}  // namespace
}  // namespace toucandock::bench
