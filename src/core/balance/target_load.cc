#include "core/balance/target_load.h"

#include <algorithm>

namespace toucandock::core::balance {
namespace {

// Weight of one attempt in the smoothed values.
constexpr double kTimeSmoothing = 0.2;
constexpr double kFailureSmoothing = 0.25;

double Fade(Duration age, Duration lifetime) {
  const double part = std::chrono::duration<double>(age).count() /
                      std::chrono::duration<double>(lifetime).count();
  return std::clamp(1.0 - part, 0.0, 1.0);
}

// Twice as long for each time but the first.
Duration Doubled(Duration first, int times, Duration max_pause) {
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

// Called before OnEnd() of the attempt whose answer bore the report.
void TargetLoad::OnReport(double running_and_waiting, TimePoint now) {
  others_ = std::max(0.0, running_and_waiting - (in_flight_ - 1));
  reported_at_ = now;
}

void TargetLoad::OnEnd(AttemptHealth health, Duration taken, TimePoint now) {
  in_flight_--;
  failure_rate_ = FailureRate(now);
  failure_at_ = now;
  const bool bad = health == AttemptHealth::kFailed ||
                   health == AttemptHealth::kShed ||
                   health == AttemptHealth::kRejected;
  failure_rate_ += ((bad ? 1.0 : 0.0) - failure_rate_) * kFailureSmoothing;
  if (health == AttemptHealth::kUnreachable) {
    paused_until_ = now + Doubled(options_.first_pause, ++unreachable_in_row_,
                                  options_.max_pause);
    return;
  }
  if (health == AttemptHealth::kRejected) {
    paused_until_ =
        std::max(paused_until_, now + Doubled(options_.first_rejection_pause,
                                              ++rejected_in_row_,
                                              options_.max_rejection_pause));
    return;
  }
  if (health == AttemptHealth::kShed) {
    paused_until_ = std::max(paused_until_, now + options_.shed_pause);
    return;
  }
  unreachable_in_row_ = 0;
  rejected_in_row_ = 0;
  if (health == AttemptHealth::kGood) {
    answer_time_ = answer_time_ == FloatSeconds{}
                       ? FloatSeconds(taken)
                       : answer_time_ + (FloatSeconds(taken) - answer_time_) *
                                            kTimeSmoothing;
    observed_at_ = now;
  }
}

// Requests that the target is expected to have, this host's included.
double TargetLoad::Estimate(TimePoint now) const {
  return in_flight_ +
         others_ * Fade(now - reported_at_, options_.report_lifetime);
}

FloatSeconds TargetLoad::AnswerTime(FloatSeconds typical, TimePoint now) const {
  if (answer_time_ == FloatSeconds{}) {
    return typical;
  }
  return typical + (answer_time_ - typical) *
                       Fade(now - observed_at_, options_.speed_lifetime);
}

double TargetLoad::FailureRate(TimePoint now) const {
  return failure_rate_ * Fade(now - failure_at_, options_.failure_lifetime);
}

}  // namespace toucandock::core::balance
