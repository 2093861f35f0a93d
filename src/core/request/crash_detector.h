#ifndef TOUCANDOCK_CORE_REQUEST_CRASH_DETECTOR_H_
#define TOUCANDOCK_CORE_REQUEST_CRASH_DETECTOR_H_

#include <cstddef>
#include <deque>
#include <functional>
#include <map>
#include <string>
#include <vector>

#include "absl/strings/string_view.h"
#include "core/discovery/target_directory.h"
#include "core/time.h"

namespace toucandock::core::request {

// An attempt whose connection ended before the response was received, at a
// target that was listed as in use.
struct BrokenAttempt {
  discovery::TargetEntry target;
  // Fingerprints of the request: the first includes its caller, the second is
  // the same for all callers.
  std::string caller_fingerprint;
  std::string content_fingerprint;
  std::string request_id;
  TimePoint at;
};

// How the end of a target was detected.
enum class CrashEvidence {
  // The target's address refuses connections after one has broken. A cut that
  // does both is taken for the end of the target.
  kConnectRefused,
  // Another process has the target's id or address.
  kNewInstance,
};

absl::string_view ToString(CrashEvidence evidence);

struct Crash {
  BrokenAttempt attempt;
  CrashEvidence evidence = CrashEvidence::kConnectRefused;
};

struct CrashDetectorOptions {
  // How long a broken attempt is kept. A crashed target is listed again after
  // some seconds.
  Duration retention = std::chrono::seconds(10);
  // Maximum number of attempts that are kept; beyond it, the oldest are
  // dropped.
  size_t max_attempts = 256;
};

// Distinguishes targets that ended while they ran a request from connections
// that were only reset: a broken attempt counts as a crash only if its target
// is found to have ended.
class CrashDetector {
 public:
  explicit CrashDetector(const CrashDetectorOptions& options)
      : options_(options) {}

  void OnBroken(BrokenAttempt attempt);
  // Called when the target accepted a connection or a request after `at`.
  // Attempts that broke before did not crash the target and are dropped.
  void OnAlive(const discovery::TargetInstance& target, TimePoint at);
  // Returns whether an attempt at the target broke and it is not yet known
  // whether the target has ended.
  bool IsPending(const discovery::TargetInstance& target, TimePoint now) const;
  // Called when the target refused a connection. Returns the crashes that this
  // confirms.
  std::vector<Crash> OnConnectRefused(const discovery::TargetInstance& target,
                                      TimePoint now);
  // Called with the targets that are listed now, by service. Returns the
  // crashes that the list confirms.
  std::vector<Crash> OnTargets(
      const std::map<std::string, std::vector<discovery::ListedTarget>>&
          targets,
      TimePoint now);

 private:
  using HasEnded = std::function<bool(const BrokenAttempt&)>;

  std::vector<Crash> ExtractCrashes(CrashEvidence evidence,
                                    const HasEnded& has_ended,
                                    TimePoint now);

  const CrashDetectorOptions options_;
  std::deque<BrokenAttempt> attempts_;
};

}  // namespace toucandock::core::request

#endif  // TOUCANDOCK_CORE_REQUEST_CRASH_DETECTOR_H_
