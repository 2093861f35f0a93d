#ifndef TOUCANDOCK_CORE_BALANCE_TARGET_LOAD_H_
#define TOUCANDOCK_CORE_BALANCE_TARGET_LOAD_H_

#include <cstdint>

#include "core/time.h"

namespace toucandock::core::balance {

// How an attempt at a target ended, as far as the target's load and health are
// concerned.
enum class AttemptHealth {
  kGood,
  // The target refused the request because it is overloaded.
  kShed,
  // The target refused the request although it reports free slots, so the
  // refusal says nothing about its load.
  kRefusedWithFreeSlots,
  // The target failed, or its response was unusable.
  kFailed,
  // The target rejects the connection because it has too many.
  kRejected,
  // The connection could not be established.
  kUnreachable,
};

struct TargetLoadOptions {
  // The weight of a reported load decreases to zero over this time.
  Duration report_lifetime = std::chrono::milliseconds(600);
  // Without new observations, a slow target is assumed to have typical speed
  // again after this time.
  Duration speed_lifetime = std::chrono::seconds(5);
  // A target that is full and did not answer receives no requests for this
  // long, in which it completes about as many as it has slots, two or three
  // times.
  Duration full_pause = std::chrono::milliseconds(400);
  // Pause after a failed connect. It doubles with each further one, up to
  // max_pause.
  Duration initial_pause = std::chrono::milliseconds(300);
  Duration max_pause = std::chrono::seconds(4);
  // A target that refuses a request receives no further ones for this long.
  Duration shed_pause = std::chrono::milliseconds(150);
  // A target that rejects a connection receives no requests for this long,
  // which is about the time in which it completes a request. The pause doubles
  // with each further rejection that no response precedes, up to
  // max_rejection_pause.
  Duration initial_rejection_pause = std::chrono::milliseconds(100);
  Duration max_rejection_pause = std::chrono::milliseconds(800);
  // The weight of recent failures decreases to zero over this time.
  Duration failure_lifetime = std::chrono::seconds(3);
};

// What one host knows about the load and health of one target: its own requests
// in flight there, the load that the target reported, and how attempts ended.
class TargetLoad {
 public:
  explicit TargetLoad(const TargetLoadOptions& options) : options_(options) {}

  void OnSent();
  void OnReport(double running_and_waiting, TimePoint now);
  void OnEnd(AttemptHealth health, Duration elapsed, TimePoint now);
  // The target is full: an attempt that still runs has had no answer for too
  // long.
  void OnFull(TimePoint now);
  // The attempt ended without information about the target, for example because
  // it was cancelled.
  void OnCancelled() { in_flight_--; }

  int in_flight() const { return in_flight_; }
  double Estimate(TimePoint now) const;
  // Returns the time until the target is no longer paused and, without further
  // reports, Estimate() is below the limit. Requests of this host that are in
  // flight are not taken into account.
  Duration TimeUntilBelow(double limit, TimePoint now) const;
  // Returns the smoothed response time; `typical` while it is unknown or
  // outdated.
  FloatSeconds AnswerTime(FloatSeconds typical, TimePoint now) const;
  double FailureRate(TimePoint now) const;
  bool IsPaused(TimePoint now) const { return now < paused_until_; }
  // Returns whether the last attempts failed to connect. Only one request at a
  // time may then be sent to the target.
  bool IsSuspect() const { return consecutive_unreachable_ > 0; }

 private:
  const TargetLoadOptions options_;
  int in_flight_ = 0;
  // Requests of other hosts at the target, according to its last report.
  double load_of_others_ = 0;
  TimePoint reported_at_{};
  FloatSeconds answer_time_{};
  TimePoint observed_at_{};
  double failure_rate_ = 0;
  TimePoint failure_at_{};
  int consecutive_unreachable_ = 0;
  int consecutive_rejected_ = 0;
  TimePoint paused_until_{};
};

}  // namespace toucandock::core::balance

#endif  // TOUCANDOCK_CORE_BALANCE_TARGET_LOAD_H_
