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

// An attempt whose connection ended before the answer, at a target that was
// listed as in use.
struct BrokenAttempt {
  discovery::TargetEntry target;
  // Of the request, once with its caller and once for all callers.
  std::string caller_fingerprint;
  std::string content_fingerprint;
  std::string request_id;
  TimePoint at;
};

// From what it is concluded that a target has ended.
enum class CrashEvidence {
  // No process listens at its address.
  kConnectRefused,
  // Another process has its id or its address.
  kNewInstance,
};

absl::string_view ToString(CrashEvidence evidence);

struct Crash {
  BrokenAttempt attempt;
  CrashEvidence evidence = CrashEvidence::kConnectRefused;
};

struct CrashDetectorOptions {
  // A crashed target is listed again after some seconds.
  Duration retention = std::chrono::seconds(10);
  // Attempts that are kept; with more, the oldest are dropped.
  size_t max_attempts = 256;
};

// Tells targets that ended while they ran a request from connections that were
// merely reset: an attempt that broke counts as a crash only when its target is
// found to have ended.
class CrashDetector {
 public:
  explicit CrashDetector(const CrashDetectorOptions& options)
      : options_(options) {}

  void OnBroken(BrokenAttempt attempt);
  // The target took a connection or a request after `at`: what broke before did
  // not end it.
  void OnAlive(const discovery::TargetInstance& target, TimePoint at);
  // It is not known yet whether the target has ended.
  bool IsPending(const discovery::TargetInstance& target) const;
  std::vector<Crash> OnConnectRefused(const discovery::TargetInstance& target,
                                      TimePoint now);
  // Targets that are listed now, by service.
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
