#ifndef TOUCANDOCK_CORE_DETECTION_LOSS_DETECTOR_H_
#define TOUCANDOCK_CORE_DETECTION_LOSS_DETECTOR_H_

#include <cstddef>
#include <map>
#include <utility>

#include "absl/strings/string_view.h"
#include "core/time.h"
#include "core/unit.h"

namespace toucandock::core::detection {

// Source of an observation of a target; kLease means that the target's grant
// ended without a renewal.
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
  // A failed observation counts for this long after it was reported.
  Duration observation_lifetime = std::chrono::milliseconds(1000);
  // Number of consecutive time-outs from one observer and source that count as
  // one failed observation; a refused connection counts at once.
  int timeouts_needed = 2;
};

// Decides from several observations whether a target is lost. A single failed
// observation only makes it a suspect: health endpoints can be late or wrong,
// and to a host that is cut off from a target, the target looks lost.
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
