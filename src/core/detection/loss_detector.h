#ifndef TOUCANDOCK_CORE_DETECTION_LOSS_DETECTOR_H_
#define TOUCANDOCK_CORE_DETECTION_LOSS_DETECTOR_H_

#include <cstddef>
#include <map>
#include <utility>

#include "absl/strings/string_view.h"
#include "core/time.h"
#include "core/unit.h"

namespace toucandock::core::detection {

// Where a signal about a target comes from; kLease means that its grant ended
// without renewal.
enum class ObservationSource { kProbe, kTraffic, kGrant, kHostList, kLease };

enum class ObservationKind { kAlive, kRefused, kTimeout };

struct Observation {
  TargetId target;
  HostId observer;
  ObservationSource source = ObservationSource::kProbe;
  ObservationKind kind = ObservationKind::kAlive;

  auto operator<=>(const Observation&) const = default;
};

enum class TargetLiveness { kAlive, kSuspect, kLost };

struct LossDetectorOptions {
  // A bad signal counts for this long after it was reported.
  Duration observation_lifetime = std::chrono::milliseconds(1000);
  // Time-outs in a row from one observer and source before they count as one
  // bad signal; a refused connect counts at once.
  int timeouts_needed = 2;
};

// Decides from several signals whether a target is lost. One bad signal alone
// only makes it a suspect: health endpoints lag or mislead, and a cut link
// looks like a lost target to the one host behind it.
class LossDetector {
 public:
  explicit LossDetector(LossDetectorOptions options) : options_(options) {}

  void Report(const Observation& observation, TimePoint now);
  TargetLiveness LivenessOf(const TargetId& target,
                            size_t observers,
                            TimePoint now) const;
  void RemoveTarget(const TargetId& target);

 private:
  using Origin = std::pair<HostId, ObservationSource>;

  struct FailedObservations {
    int timeouts = 0;
    bool refused = false;
    TimePoint reported;
  };

  LossDetectorOptions options_;
  std::map<TargetId, std::map<Origin, FailedObservations>> failed_observations_;
};

absl::string_view ToString(TargetLiveness liveness);

}  // namespace toucandock::core::detection

#endif  // TOUCANDOCK_CORE_DETECTION_LOSS_DETECTOR_H_
