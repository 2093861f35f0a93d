#ifndef TOUCANDOCK_CORE_BALANCE_TARGET_AVAILABILITY_H_
#define TOUCANDOCK_CORE_BALANCE_TARGET_AVAILABILITY_H_

#include <cstddef>
#include <functional>
#include <map>
#include <optional>
#include <vector>

#include "absl/strings/string_view.h"
#include "core/discovery/target_directory.h"
#include "core/time.h"

namespace toucandock::core::balance {

// Whether a target may receive new requests, as it declared itself.
enum class Availability {
  kOpen,
  // It is about to end. This never changes for the same instance.
  kLeaving,
  // It asked for a pause that has not ended.
  kPaused,
  // A pause has ended recently. The next request has to wait for a moment, so
  // that the load returns gradually.
  kResuming,
  // It is cold and its service has a limit, and this host has no permit to send
  // it a request (core/warmup). Never declared by a target.
  kCold,
};

struct AvailabilityState {
  Availability availability = Availability::kOpen;
  // When the target declared that it leaves.
  TimePoint since{};
  // With kPaused and kResuming: the time from which this host may send the next
  // request.
  TimePoint until{};
  // With kLeaving: the operator has evacuated the target's failure domain; the
  // target has declared nothing.
  bool evacuated = false;
};

// Returns "evacuated" for a target that the operator has closed.
absl::string_view ToString(const AvailabilityState& state);

struct AvailabilityOptions {
  // Longer pauses are reduced to this limit. A target that asks for more is
  // more likely faulty than overloaded, and may ask again.
  Duration max_pause = std::chrono::minutes(10);
  // Hosts return to a target at different times: up to this fraction of the
  // pause after its end, and at most max_resume_delay.
  double resume_delay_ratio = 0.25;
  Duration max_resume_delay = std::chrono::milliseconds(1'000);
  // For this long after its return, a host sends one request per interval.
  Duration resume_time = std::chrono::milliseconds(1'000);
  Duration resume_interval = std::chrono::milliseconds(100);
  // How long the state of an instance that is no longer listed is kept, in case
  // an outdated entry lists it again.
  Duration unlisted_retention = std::chrono::minutes(10);
  // Maximum number of unlisted instances; the one that has been unlisted for
  // the longest time is dropped first.
  size_t max_unlisted = 1'024;
};

// Whether the list of targets contains an instance.
enum class Listing {
  kListed,
  kUnlisted,
  // A later instance with the same id is listed, so this one has ended.
  kReplaced,
};

// What targets declared about themselves in their responses, by instance: that
// they leave, and that they want no requests from this host for some time.
// Neither the list of targets nor a later response revokes a declaration.
class TargetAvailability {
 public:
  explicit TargetAvailability(const AvailabilityOptions& options)
      : options_(options) {}

  // Returns whether the target had not declared this before.
  bool OnLeaving(const discovery::TargetInstance& target, TimePoint now);

  struct PauseResult {
    // False if an earlier pause lasts at least as long, or the pause is zero.
    bool is_later = false;
    // The pause exceeded the limit.
    bool is_limited = false;
    // When this host returns to the target.
    TimePoint until{};
  };
  // `spread` is a number from 0 to 1 that differs between hosts.
  PauseResult OnPause(const discovery::TargetInstance& target,
                      Duration pause,
                      double spread,
                      TimePoint now);
  void OnSent(const discovery::TargetInstance& target, TimePoint now);

  AvailabilityState StateOf(const discovery::TargetInstance& target,
                            TimePoint now) const;
  // Returns the targets whose pause has ended since the last call.
  std::vector<discovery::TargetInstance> TakeEndedPauses(TimePoint now);
  // Returns the earliest time at which a pause ends.
  std::optional<TimePoint> NextPauseEnd() const;

  // Called when the list of targets has changed. Drops the state of instances
  // that are gone for good.
  void OnListChanged(
      const std::function<Listing(const discovery::TargetInstance&)>& listing,
      TimePoint now);

  size_t size() const { return records_.size(); }

 private:
  struct Record {
    std::optional<TimePoint> leaving_since;
    // End of the latest pause, and when this host returns after it.
    std::optional<TimePoint> paused_until;
    TimePoint resume_at{};
    bool is_end_reported = false;
    // Earliest time of the next request while the load returns.
    TimePoint next_send_at{};
    std::optional<TimePoint> unlisted_since;
  };
  using Records = std::map<discovery::TargetInstance, Record>;

  void DropOldestUnlisted();

  const AvailabilityOptions options_;
  Records records_;
};

}  // namespace toucandock::core::balance

#endif  // TOUCANDOCK_CORE_BALANCE_TARGET_AVAILABILITY_H_
