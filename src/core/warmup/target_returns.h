#ifndef TOUCANDOCK_CORE_WARMUP_TARGET_RETURNS_H_
#define TOUCANDOCK_CORE_WARMUP_TARGET_RETURNS_H_

#include <cstdint>
#include <functional>
#include <map>
#include <optional>

#include "core/discovery/target_directory.h"
#include "core/time.h"

namespace toucandock::core::warmup {

// Targets that were unreachable and accept connections again. Such a target may
// have been restarted, which its entry shows only later, so it counts as cold.
class TargetReturns {
 public:
  // The target refused a connection or did not accept it in time. `sequence` is
  // that of its newest entry.
  void OnUnreachable(const discovery::TargetInstance& target,
                     std::uint64_t sequence);
  // The target has accepted a connection. Returns whether it was unreachable
  // before; it then counts as cold for `warm_up`.
  bool OnAccepted(const discovery::TargetInstance& target,
                  Duration warm_up,
                  TimePoint now);
  // The target itself reports how long it remains cold.
  void OnReported(const discovery::TargetInstance& target,
                  Duration left,
                  TimePoint now);
  // Called when the list of targets has changed, with the sequence of the
  // newest entry of an instance, or nothing if it is not listed. A later entry
  // says how long the target remains cold and takes precedence.
  void OnListChanged(const std::function<std::optional<std::uint64_t>(
                         const discovery::TargetInstance&)>& sequence_of);

  // Returns until when the target counts as cold; nothing if it does not.
  std::optional<TimePoint> ColdUntil(const discovery::TargetInstance& target,
                                     TimePoint now) const;

 private:
  struct Record {
    bool is_unreachable = false;
    std::uint64_t sequence = 0;
    std::optional<TimePoint> cold_until;
  };

  std::map<discovery::TargetInstance, Record> records_;
};

}  // namespace toucandock::core::warmup

#endif  // TOUCANDOCK_CORE_WARMUP_TARGET_RETURNS_H_
