#include "core/keyspace/key_samples.h"

#include <algorithm>

namespace toucandock::core::keyspace {
namespace {

// Weight of one response in the smoothed times.
constexpr double kSmoothing = 0.05;
// Response time that is assumed until the first response.
constexpr double kAssumedSeconds = 0.2;

double Blend(double old, double seconds, std::uint32_t answers) {
  const double weight = std::min(0.5, kSmoothing * answers);
  return old == 0 ? seconds : old + (seconds - old) * weight;
}

// Maximum number of keys that are added up; beyond it, the latest are left out.
constexpr size_t kMaxSummedKeys = 8'000;

}  // namespace

void AddReport(const LoadReport& report, LoadReport& sum) {
  const size_t room =
      kMaxSummedKeys - std::min(kMaxSummedKeys, sum.keys.size());
  const size_t n = std::min(room, report.keys.size());
  sum.keys.insert(sum.keys.end(), report.keys.begin(),
                  report.keys.begin() + static_cast<std::ptrdiff_t>(n));
  for (const TargetSpeed& it : report.speeds) {
    const auto known = std::find_if(
        sum.speeds.begin(), sum.speeds.end(),
        [&it](const TargetSpeed& s) { return s.target_id == it.target_id; });
    if (known == sum.speeds.end()) {
      sum.speeds.push_back(it);
    } else if (it.answers > 0) {
      const std::uint32_t answers = known->answers + it.answers;
      known->mean_time =
          (known->mean_time * known->answers + it.mean_time * it.answers) /
          answers;
      known->answers = answers;
    }
  }
}

void KeySamples::Add(const LoadReport& report, TimePoint now) {
  if (first_report_ == TimePoint{}) {
    first_report_ = now;
  }
  for (const std::uint32_t key : report.keys) {
    samples_.push_back({now, key});
  }
  while (samples_.size() > options_.max_samples) {
    samples_.pop_front();
  }
  for (const TargetSpeed& it : report.speeds) {
    const double seconds = std::chrono::duration<double>(it.mean_time).count();
    mean_seconds_ = Blend(mean_seconds_, seconds, it.answers);
    double& target_mean = target_seconds_[it.target_id];
    target_mean = Blend(target_mean, seconds, it.answers);
  }
}

std::vector<std::uint32_t> KeySamples::SortedKeys(TimePoint now) {
  while (!samples_.empty() && samples_.front().at + options_.window < now) {
    samples_.pop_front();
  }
  std::vector<std::uint32_t> keys;
  keys.reserve(samples_.size());
  for (const Sample& it : samples_) {
    keys.push_back(it.key);
  }
  std::sort(keys.begin(), keys.end());
  return keys;
}

double KeySamples::BusySlotsPerSample(TimePoint now) const {
  const Duration span = std::clamp<Duration>(
      now - first_report_, std::chrono::milliseconds(500), options_.window);
  const double seconds = mean_seconds_ > 0 ? mean_seconds_ : kAssumedSeconds;
  return seconds / std::chrono::duration<double>(span).count();
}

// Returns the speed of a target relative to the mean of all targets; 1 if it is
// unknown.
double KeySamples::SpeedOf(const std::string& target_id) const {
  const auto it = target_seconds_.find(target_id);
  if (it == target_seconds_.end() || it->second <= 0 || mean_seconds_ <= 0) {
    return 1.0;
  }
  return std::clamp(mean_seconds_ / it->second, 0.4, 2.0);
}

}  // namespace toucandock::core::keyspace
