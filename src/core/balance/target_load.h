#ifndef TOUCANDOCK_CORE_BALANCE_TARGET_LOAD_H_
#define TOUCANDOCK_CORE_BALANCE_TARGET_LOAD_H_

#include <cstdint>

#include "core/time.h"

namespace toucandock::core::balance {

// How an attempt at a target ended, as far as its load and health go.
enum class AttemptHealth {
  kGood,
  // The target refused for lack of room.
  kShed,
  // The target failed, or its answer was unusable.
  kFailed,
  // The target does not take the connection; it has too many.
  kRejected,
  // No connection.
  kUnreachable,
};

struct TargetLoadOptions {
  // A reported load loses its weight over this time.
  Duration report_lifetime = std::chrono::milliseconds(600);
  // Without new observations, a slow target is assumed ordinary again.
  Duration speed_lifetime = std::chrono::seconds(5);
  // After a failed connect; doubles with each further one.
  Duration initial_pause = std::chrono::milliseconds(300);
  Duration max_pause = std::chrono::seconds(4);
  // A refusing target is left alone for this long.
  Duration shed_pause = std::chrono::milliseconds(150);
  // A target that rejects connections is left alone for this long, about the
  // time in which it ends a request, and twice as long after each further
  // rejection without an answer between them.
  Duration initial_rejection_pause = std::chrono::milliseconds(100);
  Duration max_rejection_pause = std::chrono::milliseconds(800);
  // Recent failures are forgotten over this time.
  Duration failure_lifetime = std::chrono::seconds(3);
};

// What one host knows of the load and health of one target: its own requests
// there, the load that the target reported, and how attempts ended.
class TargetLoad {
 public:
  explicit TargetLoad(const TargetLoadOptions& options) : options_(options) {}

  void OnSent();
  void OnReport(double running_and_waiting, TimePoint now);
  void OnEnd(AttemptHealth health, Duration taken, TimePoint now);
  // The attempt ended without telling anything, such as by a cancellation.
  void OnCancelled() { in_flight_--; }

  int in_flight() const { return in_flight_; }
  double Estimate(TimePoint now) const;
  // Smoothed time of an answer; `ordinary` while unknown or old.
  FloatSeconds AnswerTime(FloatSeconds typical, TimePoint now) const;
  double FailureRate(TimePoint now) const;
  bool IsPaused(TimePoint now) const { return now < paused_until_; }
  // The last attempts failed to connect; one request at a time may try.
  bool IsSuspect() const { return consecutive_unreachable_ > 0; }

 private:
  const TargetLoadOptions options_;
  int in_flight_ = 0;
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
