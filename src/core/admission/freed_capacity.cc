#include "core/admission/freed_capacity.h"

#include <algorithm>

namespace toucandock::core::admission {
namespace {

// The average is taken over about this many intervals.
constexpr int kSmoothedSamples = 32;
// Capacity changes with each move of keys and each load peak.
constexpr Duration kLifetime = std::chrono::seconds(5);
// A gap counts as at most this many mean intervals. Otherwise the gap during an
// outage of seconds would make waits look hopeless after it has ended.
constexpr int kMaxGapOfMean = 16;

}  // namespace

void FreedCapacity::Assume(Duration interval, TimePoint now) {
  if (samples_ == 0 || now - sampled_at_ > kLifetime) {
    samples_ = 0;
    mean_ = interval;
  }
}

void FreedCapacity::OnFreed(TimePoint now) {
  if (since_) {
    // The assumed interval counts as the first sample.
    samples_ = std::min(samples_ + 1, kSmoothedSamples);
    mean_ += (Limited(now - *since_) - mean_) / (samples_ + 1);
    sampled_at_ = now;
    since_ = now;
  }
}

// A gap that is longer than the mean and has not ended counts as well.
Duration FreedCapacity::Interval(TimePoint now) const {
  if (!since_ || now - *since_ <= mean_) {
    return mean_;
  }
  return mean_ + (Limited(now - *since_) - mean_) / (kSmoothedSamples + 1);
}

Duration FreedCapacity::Limited(Duration gap) const {
  return std::min(gap, mean_ * kMaxGapOfMean);
}

}  // namespace toucandock::core::admission
