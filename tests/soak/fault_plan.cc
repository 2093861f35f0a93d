#include "soak/fault_plan.h"

#include <algorithm>
#include <random>

#include "absl/strings/str_cat.h"

namespace toucandock::soak {
namespace {

using std::chrono::milliseconds;

constexpr FaultKind kKinds[] = {
    FaultKind::kHostKill,    FaultKind::kHostPause,   FaultKind::kHostStop,
    FaultKind::kTargetKill,  FaultKind::kTargetPause, FaultKind::kTargetStop,
    FaultKind::kTargetFault, FaultKind::kTargetCut,   FaultKind::kStoreFault,
    FaultKind::kStorePause,  FaultKind::kStoreCut,    FaultKind::kPublish};

constexpr const char* kKindNames[] = {"host killed",
                                      "host paused",
                                      "host stopped",
                                      "target killed",
                                      "target paused",
                                      "target stopped",
                                      "target faulty",
                                      "target cut off",
                                      "store faulty",
                                      "store paused",
                                      "host cut off the store",
                                      "configuration published",
                                      "store restored from a copy",
                                      "target refuses connections"};

struct Queries {
  const char* set;
  const char* end;
};

constexpr Queries kTargetFaults[] = {{"fail_percent=40", "fail_percent=0"},
                                     {"lose_percent=20", "lose_percent=0"},
                                     {"slow_ms=400", "slow_ms=0"}};

constexpr Queries kStoreFaults[] = {{"down=1", "down=0"},
                                    {"slow_ms=200", "slow_ms=0"},
                                    {"lose_answers=3", "lose_answers=0"},
                                    {"forget=1", ""},
                                    {"rebalance=1", ""}};

constexpr Queries kRelayFaults[] = {
    {"mode=hold", "mode=pass"},      {"mode=hold_up", "mode=pass"},
    {"mode=hold_down", "mode=pass"}, {"mode=drop", "mode=pass"},
    {"mode=reset", "mode=pass"},     {"delay_ms=100", "delay_ms=0"}};

constexpr milliseconds kMinFaultDuration{200};
// Longer than a lease and the delay until another host becomes the leader.
constexpr milliseconds kMaxFaultDuration{7'000};

constexpr milliseconds kMaxAway{3'000};
constexpr milliseconds kMaxLostTime{6'000};

template <size_t kCount>
void SetQueries(const Queries (&queries)[kCount],
                std::minstd_rand& random,
                Fault& fault) {
  const Queries& chosen = queries[random() % kCount];
  fault.query = chosen.set;
  fault.end_query = chosen.end;
}

}  // namespace

std::vector<Fault> PlanFaults(std::uint32_t seed,
                              const FaultPlanOptions& options) {
  std::minstd_rand random(seed);
  // This generator gives similar first numbers for adjacent seeds.
  random.discard(16);
  std::vector<Fault> plan;
  for (size_t n = 0; n < options.faults; ++n) {
    Fault fault{.kind = kKinds[random() % std::size(kKinds)],
                .at = milliseconds(random() % options.length.count())};
    // Short faults are more frequent: on average two of three last less than a
    // quarter of the maximum.
    const auto max_fault_duration =
        random() % 3 == 0 ? kMaxFaultDuration : kMaxFaultDuration / 4;
    fault.fault_duration =
        kMinFaultDuration +
        milliseconds(random() %
                     (max_fault_duration - kMinFaultDuration).count());
    const bool at_host = fault.kind == FaultKind::kHostKill ||
                         fault.kind == FaultKind::kHostPause ||
                         fault.kind == FaultKind::kHostStop ||
                         fault.kind == FaultKind::kStoreCut;
    fault.process_index =
        random() % (at_host ? options.hosts : options.targets);
    if (fault.kind == FaultKind::kTargetFault) {
      SetQueries(kTargetFaults, random, fault);
    } else if (fault.kind == FaultKind::kStoreFault) {
      SetQueries(kStoreFaults, random, fault);
    } else if (fault.kind == FaultKind::kTargetCut ||
               fault.kind == FaultKind::kStoreCut) {
      SetQueries(kRelayFaults, random, fault);
    }
    plan.push_back(std::move(fault));
  }
  // From a generator of their own, so that the other faults of a seed stay the
  // same.
  std::minstd_rand restore_random(seed + 1);
  restore_random.discard(16);
  for (size_t n = 0; n < options.restores; ++n) {
    Fault fault{.kind = FaultKind::kStoreRestore,
                .at = milliseconds(restore_random() % options.length.count())};
    fault.fault_duration = milliseconds(restore_random() % kMaxAway.count());
    fault.query =
        absl::StrCat("restore_ms=", restore_random() % kMaxLostTime.count(),
                     "&away_ms=", fault.fault_duration.count());
    plan.push_back(std::move(fault));
  }
  std::minstd_rand refusal_random(seed + 2);
  refusal_random.discard(16);
  for (size_t n = 0; n < options.refusals; ++n) {
    Fault fault{.kind = FaultKind::kTargetRefusal,
                .at = milliseconds(refusal_random() % options.length.count()),
                .query = "mode=refuse&from=/grant",
                .end_query = "mode=pass"};
    fault.fault_duration =
        kMinFaultDuration +
        milliseconds(refusal_random() %
                     (kMaxFaultDuration - kMinFaultDuration).count());
    fault.process_index = refusal_random() % options.targets;
    plan.push_back(std::move(fault));
  }
  std::sort(plan.begin(), plan.end(),
            [](const Fault& a, const Fault& b) { return a.at < b.at; });
  return plan;
}

std::string Describe(const Fault& fault) {
  return absl::StrCat(
      fault.at.count(), " ms: ", kKindNames[static_cast<size_t>(fault.kind)],
      " ", fault.process_index, " for ", fault.fault_duration.count(), " ms",
      fault.query.empty() ? "" : ", ", fault.query);
}

}  // namespace toucandock::soak
