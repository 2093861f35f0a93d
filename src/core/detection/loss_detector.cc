#include "core/detection/loss_detector.h"

#include <set>
#include <string>

#include "absl/strings/str_cat.h"

namespace toucandock::core::detection {
namespace {

// Returns a key that is equal for observations that do not count separately.
// The host list and an ended grant count separately from the host that reports
// them; in a fleet with one observer, every source does.
std::string ObserverKey(const HostId& observer,
                        ObservationSource source,
                        size_t observers) {
  const bool independent = source == ObservationSource::kHostList ||
                           source == ObservationSource::kLease;
  if (independent || observers < 2) {
    return absl::StrCat(observer, "/", static_cast<int>(source));
  }
  return observer;
}

}  // namespace

void LossDetector::Report(const Observation& observation, TimePoint now) {
  const Origin origin{observation.observer, observation.source};
  if (observation.kind == ObservationKind::kAlive) {
    const auto it = failed_observations_.find(observation.target);
    if (it != failed_observations_.end()) {
      it->second.erase(origin);
    }
    return;
  }
  FailedObservations& failed = failed_observations_[observation.target][origin];
  if (now - failed.reported > options_.observation_lifetime) {
    failed = FailedObservations{};
  }
  failed.reported = now;
  if (observation.kind == ObservationKind::kRefused) {
    failed.refused = true;
  } else {
    ++failed.timeouts;
  }
}

// A target is lost if at least one probe or grant failed and two independent
// observers agree: two hosts, or one host and the host list or an ended grant.
// Slow requests alone make traffic time out although the target is not lost,
// and a host that is cut off from a target takes it for lost. A fleet with one
// observer has no second host, so two sources of the same host suffice there.
TargetLiveness LossDetector::LivenessOf(const TargetId& target,
                                        size_t observers,
                                        TimePoint now) const {
  const auto found = failed_observations_.find(target);
  if (found == failed_observations_.end()) {
    return TargetLiveness::kAlive;
  }
  std::set<std::string> observer_keys;
  bool probed = false;
  for (const auto& [origin, failed] : found->second) {
    if (now - failed.reported > options_.observation_lifetime) {
      continue;
    }
    if (!failed.refused && failed.timeouts < options_.timeouts_needed) {
      continue;
    }
    observer_keys.insert(ObserverKey(origin.first, origin.second, observers));
    probed = probed || origin.second == ObservationSource::kProbe ||
             origin.second == ObservationSource::kGrant;
  }
  if (observer_keys.empty()) {
    return TargetLiveness::kAlive;
  }
  return observer_keys.size() >= 2 && probed ? TargetLiveness::kLost
                                             : TargetLiveness::kSuspect;
}

void LossDetector::RemoveTarget(const TargetId& target) {
  failed_observations_.erase(target);
}

absl::string_view ToString(TargetLiveness liveness) {
  switch (liveness) {
    case TargetLiveness::kAlive:
      return "alive";
    case TargetLiveness::kSuspect:
      return "suspect";
    case TargetLiveness::kLost:
      return "lost";
  }
  return "alive";
}

}  // namespace toucandock::core::detection
