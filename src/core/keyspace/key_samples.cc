#include "core/keyspace/key_samples.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <numeric>
#include <span>

namespace toucandock::core::keyspace {
namespace {

// Response times of a target are averaged over this time before they count, so
// that some slow responses do not change its speed.
constexpr FloatSeconds kTimesInterval(1.0);
// Weight of one such average. A target that is three times as slow for 400 ms
// appears slower by less than a fifth.
constexpr double kSmoothing = 0.2;
// Response time that is assumed until the first response.
constexpr FloatSeconds kAssumedTime(0.2);

constexpr size_t kCells = KeySamples::kCells;
constexpr std::uint32_t kKeysPerCell = 65'536 / kCells;
// Number of recent samples below which no change is detected, such as when load
// reports are lost.
constexpr double kMinRecentSamples = 50;

size_t CellOf(std::uint32_t key) {
  return std::min<size_t>(key / kKeysPerCell, kCells - 1);
}

// Adds the keys of a cell, of which there are few samples yet. Neighbouring
// keys that differ by no more than the variation of the samples get the same
// load; otherwise, pieces of few keys would be cut by noise.
void AddSmoothed(std::span<const std::uint32_t> keys,
                 double weight,
                 WeightedKeys& out) {
  constexpr int kReach = 8;
  constexpr size_t kSet = 2 * kReach + 1;
  // Hot keys among the neighbours are left out.
  constexpr size_t kLeftOut = 3;
  constexpr double kSignificance = 4.0;
  std::array<double, kKeysPerCell + 2 * kReach> counts{};
  const auto first =
      static_cast<std::uint32_t>(CellOf(keys.front())) * kKeysPerCell;
  for (const std::uint32_t it : keys) {
    counts[std::min(it - first, kKeysPerCell - 1) + kReach]++;
  }
  std::array<double, kKeysPerCell> loads{};
  double counted = 0;
  double smoothed = 0;
  for (size_t i = 0; i < kKeysPerCell; ++i) {
    std::array<double, kSet> near{};
    std::copy_n(counts.begin() + static_cast<std::ptrdiff_t>(i), kSet,
                near.begin());
    std::nth_element(near.begin(), near.end() - kLeftOut, near.end());
    const double mean =
        std::accumulate(near.begin(), near.end() - kLeftOut, 0.0) /
        (kSet - kLeftOut);
    const double n = counts[i + kReach];
    if (n > mean + kSignificance * std::sqrt(mean + 1)) {
      loads[i] = -n;
    } else {
      loads[i] = mean;
      counted += n;
      smoothed += mean;
    }
  }
  const double scale = smoothed > 0 ? counted / smoothed : 0;
  for (size_t i = 0; i < kKeysPerCell; ++i) {
    const double load = loads[i] < 0 ? -loads[i] : loads[i] * scale;
    if (load > 0) {
      out.keys.push_back(first + static_cast<std::uint32_t>(i));
      out.weights.push_back(static_cast<float>(load * weight));
      out.variances.push_back(static_cast<float>(load * weight * weight));
    }
  }
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
    TargetTimes& times = target_times_[it.target_id];
    times.answers += it.answers;
    times.total += FloatSeconds(it.mean_time) * it.answers;
    if (times.since == TimePoint{}) {
      times.since = now;
    }
    const FloatSeconds elapsed = now - times.since;
    const bool is_first = times.work_time == FloatSeconds{};
    if (times.answers == 0 || (elapsed < kTimesInterval && !is_first)) {
      continue;
    }
    FloatSeconds work_time = times.total / times.answers;
    // The response time of an overloaded target contains the time in its queue.
    // There, the number of responses shows the time of the work itself.
    if (times.slots > 0 && elapsed >= kTimesInterval) {
      work_time = std::min(work_time, elapsed * times.slots / times.answers);
    }
    times.work_time =
        is_first ? work_time
                 : times.work_time + (work_time - times.work_time) * kSmoothing;
    if (elapsed >= kTimesInterval) {
      times.answers = 0;
      times.total = {};
      times.since = now;
    }
  }
}

void KeySamples::DropOldSamples(TimePoint now) {
  while (!samples_.empty() && samples_.front().at + options_.window < now) {
    samples_.pop_front();
  }
}

size_t KeySamples::CountSince(TimePoint since) const {
  const auto first = std::partition_point(
      samples_.begin(), samples_.end(),
      [since](const Sample& it) { return it.at <= since; });
  return static_cast<size_t>(samples_.end() - first);
}

// Looks for cells whose share of the load differs from before. Shares are
// compared, so that neither a change of the whole load nor a lost report counts
// as a change of all cells.
void KeySamples::DetectChanges(TimePoint now) {
  const TimePoint recent_since = now - options_.recent_window;
  const auto all_recent = static_cast<double>(CountSince(recent_since));
  if (all_recent < kMinRecentSamples) {
    return;
  }
  std::array<double, kCells> recent{};
  std::array<double, kCells> older{};
  for (const Sample& it : samples_) {
    const size_t cell = CellOf(it.key);
    if (it.at > recent_since) {
      recent[cell]++;
    } else if (it.at > changed_at_[cell]) {
      older[cell]++;
    }
  }
  for (size_t i = 0; i < kCells; ++i) {
    const double all_older =
        static_cast<double>(CountSince(changed_at_[i])) - all_recent;
    if (all_older < kMinRecentSamples) {
      continue;
    }
    const double ratio = all_recent / all_older;
    const double expected = older[i] * ratio;
    if (std::abs(recent[i] - expected) >
        options_.change_significance * std::sqrt(expected * (1 + ratio) + 1)) {
      changed_at_[i] = recent_since;
      // Changes that follow each other belong together.
      if (now - last_change_ > options_.window / 4) {
        first_change_ = now;
      }
      last_change_ = now;
    }
  }
}

// Returns the weight of samples in cells that have not changed. Where other
// cells have become busier, their share of the load has decreased.
float KeySamples::SteadyWeight() const {
  const TimePoint changed =
      *std::max_element(changed_at_.begin(), changed_at_.end());
  double steady = 0;
  double steady_since = 0;
  double since = 0;
  for (const Sample& it : samples_) {
    const bool is_steady = changed_at_[CellOf(it.key)] < samples_.front().at;
    const bool is_after = it.at > changed;
    steady += is_steady ? 1 : 0;
    steady_since += is_steady && is_after ? 1 : 0;
    since += is_after ? 1 : 0;
  }
  if (since < kMinRecentSamples || steady_since == 0) {
    return 1;
  }
  const auto all = static_cast<double>(samples_.size());
  return static_cast<float>(steady_since / since * all / steady);
}

std::vector<std::uint32_t> KeySamples::SortedKeys(TimePoint now) {
  DropOldSamples(now);
  std::vector<std::uint32_t> keys;
  keys.reserve(samples_.size());
  for (const Sample& it : samples_) {
    keys.push_back(it.key);
  }
  std::sort(keys.begin(), keys.end());
  return keys;
}

WeightedKeys KeySamples::Sorted(TimePoint now) {
  DropOldSamples(now);
  DetectChanges(now);
  std::vector<std::uint32_t> keys;
  keys.reserve(samples_.size());
  for (const Sample& it : samples_) {
    if (it.at > changed_at_[CellOf(it.key)]) {
      keys.push_back(it.key);
    }
  }
  std::sort(keys.begin(), keys.end());
  WeightedKeys out;
  out.keys.reserve(keys.size());
  out.weights.reserve(keys.size());
  out.variances.reserve(keys.size());
  const auto all = static_cast<double>(samples_.size());
  const float steady_weight = SteadyWeight();
  for (auto it = keys.begin(); it != keys.end();) {
    const size_t cell = CellOf(*it);
    const auto end = std::find_if(it, keys.end(), [cell](std::uint32_t key) {
      return CellOf(key) != cell;
    });
    if (changed_at_[cell] < samples_.front().at) {
      out.keys.insert(out.keys.end(), it, end);
      out.weights.insert(out.weights.end(), end - it, steady_weight);
      out.variances.insert(out.variances.end(), end - it,
                           steady_weight * steady_weight);
    } else {
      const auto since = static_cast<double>(CountSince(changed_at_[cell]));
      AddSmoothed({it, end}, all / since, out);
    }
    it = end;
  }
  return out;
}

bool KeySamples::IsSettling(TimePoint now) const {
  return now - first_change_ < options_.settling_time;
}

Duration KeySamples::Span(TimePoint now) const {
  return std::clamp<Duration>(now - first_report_,
                              std::chrono::milliseconds(500), options_.window);
}

double KeySamples::BusySlotsPerSample(TimePoint now) const {
  const FloatSeconds span = Span(now);
  // Two reports of each host, so that their phases do not matter.
  const Duration recent_window = 2 * options_.recent_window;
  const auto recent = static_cast<double>(CountSince(now - recent_window));
  const double expected = static_cast<double>(samples_.size()) *
                          (FloatSeconds(recent_window) / span);
  const double rise =
      recent >= kMinRecentSamples ? std::max(1.0, recent / expected) : 1.0;
  return rise * (MeanWorkSeconds() / span);
}

void KeySamples::SetSlots(const std::string& target_id, std::uint32_t slots) {
  target_times_[target_id].slots = slots;
}

FloatSeconds KeySamples::MeanWorkSeconds() const {
  FloatSeconds total{};
  int n = 0;
  for (const auto& [id, times] : target_times_) {
    if (times.work_time > FloatSeconds{}) {
      total += times.work_time;
      n++;
    }
  }
  return n > 0 ? total / n : kAssumedTime;
}

Duration KeySamples::MeanWorkTime() const {
  return std::chrono::duration_cast<Duration>(MeanWorkSeconds());
}

bool KeySamples::HasWorkTimes() const {
  return std::any_of(
      target_times_.begin(), target_times_.end(),
      [](const auto& it) { return it.second.work_time > FloatSeconds{}; });
}

// Returns the speed of a target relative to the mean of all targets; 1 if it is
// unknown.
double KeySamples::SpeedOf(const std::string& target_id,
                           Duration mean_work_time) const {
  const auto it = target_times_.find(target_id);
  if (it == target_times_.end() || it->second.work_time <= FloatSeconds{}) {
    return 1.0;
  }
  return std::clamp(FloatSeconds(mean_work_time) / it->second.work_time, 0.4,
                    2.0);
}

}  // namespace toucandock::core::keyspace
