#include "core/balance/target_load.h"

#include <algorithm>

namespace toucandock::core::balance {
namespace {

// Weight of one attempt in the smoothed values.
constexpr double kTimeSmoothing = 0.2;
constexpr double kFailureSmoothing = 0.25;

double RemainingWeight(Duration age, Duration lifetime) {
  const double elapsed_fraction =
      std::chrono::duration<double>(age).count() /
      std::chrono::duration<double>(lifetime).count();
  return std::clamp(1.0 - elapsed_fraction, 0.0, 1.0);
}

// Returns `first`, doubled for each time after the first one, but at most
// `max_pause`.
Duration ExponentialBackoff(Duration first, int times, Duration max_pause) {
  Duration result = first;
  for (int i = 1; i < times && result < max_pause; ++i) {
    result *= 2;
  }
  return std::min(result, max_pause);
}

}  // namespace

void TargetLoad::OnSent() {
  in_flight_++;
}

// Called before OnEnd() of the attempt whose response contained the report.
void TargetLoad::OnReport(double running_and_waiting, TimePoint now) {
  load_of_others_ = std::max(0.0, running_and_waiting - (in_flight_ - 1));
  reported_at_ = now;
}

void TargetLoad::OnEnd(AttemptHealth health, Duration elapsed, TimePoint now) {
  in_flight_--;
  failure_rate_ = FailureRate(now);
  failure_at_ = now;
  const bool is_failure = health == AttemptHealth::kFailed ||
                          health == AttemptHealth::kShed ||
                          health == AttemptHealth::kRefusedWithFreeSlots ||
                          health == AttemptHealth::kRejected;
  failure_rate_ +=
      ((is_failure ? 1.0 : 0.0) - failure_rate_) * kFailureSmoothing;
  if (health == AttemptHealth::kUnreachable) {
    paused_until_ = now + ExponentialBackoff(options_.initial_pause,
                                             ++consecutive_unreachable_,
                                             options_.max_pause);
    return;
  }
  if (health == AttemptHealth::kRejected) {
    paused_until_ =
        std::max(paused_until_,
                 now + ExponentialBackoff(options_.initial_rejection_pause,
                                          ++consecutive_rejected_,
                                          options_.max_rejection_pause));
    return;
  }
  if (health == AttemptHealth::kShed) {
    paused_until_ = std::max(paused_until_, now + options_.shed_pause);
    return;
  }
  consecutive_unreachable_ = 0;
  consecutive_rejected_ = 0;
  if (health == AttemptHealth::kGood) {
    answer_time_ = answer_time_ == FloatSeconds{}
                       ? FloatSeconds(elapsed)
                       : answer_time_ + (FloatSeconds(elapsed) - answer_time_) *
                                            kTimeSmoothing;
    observed_at_ = now;
  }
}

void TargetLoad::OnFull(TimePoint now) {
  paused_until_ = std::max(paused_until_, now + options_.full_pause);
}

// Returns the number of requests that the target is expected to have, including
// those of this host.
double TargetLoad::Estimate(TimePoint now) const {
  return in_flight_ +
         load_of_others_ *
             RemainingWeight(now - reported_at_, options_.report_lifetime);
}

Duration TargetLoad::TimeUntilBelow(double limit, TimePoint now) const {
  TimePoint at = std::max(now, paused_until_);
  const double room = limit - in_flight_;
  if (room > 0 && load_of_others_ > room) {
    at = std::max(at, reported_at_ + std::chrono::duration_cast<Duration>(
                                         options_.report_lifetime *
                                         (1 - room / load_of_others_)));
  }
  return at - now;
}

FloatSeconds TargetLoad::AnswerTime(FloatSeconds typical, TimePoint now) const {
  if (answer_time_ == FloatSeconds{}) {
    return typical;
  }
  return typical +
         (answer_time_ - typical) *
             RemainingWeight(now - observed_at_, options_.speed_lifetime);
}

double TargetLoad::FailureRate(TimePoint now) const {
  return failure_rate_ *
         RemainingWeight(now - failure_at_, options_.failure_lifetime);
}

}  // namespace toucandock::core::balance
