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
enum class SignalSource { kProbe, kTraffic, kGrant, kHostList, kLease };

enum class SignalKind { kAlive, kRefused, kTimeout };

struct Signal {
  TargetId target;
  HostId observer;
  SignalSource source = SignalSource::kProbe;
  SignalKind kind = SignalKind::kAlive;

  auto operator<=>(const Signal&) const = default;
};

enum class Verdict { kAlive, kSuspect, kLost };

struct DetectorTerms {
  // A bad signal counts for this long after it was reported.
  Duration signal_lifetime = std::chrono::milliseconds(1000);
  // Time-outs in a row from one observer and source before they count as one
  // bad signal; a refused connect counts at once.
  int timeouts_needed = 2;
};

// Decides from several signals whether a target is lost. One bad signal alone
// only makes it a suspect: health endpoints lag or mislead, and a cut link
// looks like a lost target to the one host behind it.
class LossDetector {
 public:
  explicit LossDetector(DetectorTerms terms) : terms_(terms) {}

  void Report(const Signal& signal, TimePoint now);
  Verdict VerdictOn(const TargetId& target,
                    size_t observers,
                    TimePoint now) const;
  void Forget(const TargetId& target);

 private:
  using Origin = std::pair<HostId, SignalSource>;

  struct Bad {
    int timeouts = 0;
    bool refused = false;
    TimePoint reported;
  };

  DetectorTerms terms_;
  std::map<TargetId, std::map<Origin, Bad>> bad_;
};

absl::string_view ToString(Verdict verdict);

}  // namespace toucandock::core::detection

#endif  // TOUCANDOCK_CORE_DETECTION_LOSS_DETECTOR_H_
