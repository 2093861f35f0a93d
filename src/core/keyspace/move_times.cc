#include "core/keyspace/move_times.h"

#include <algorithm>
#include <set>

namespace toucandock::core::keyspace {
namespace {

// Assumed before a move has been seen; moves have taken 0.5 to 1 s.
constexpr Duration kAssumedTime = std::chrono::milliseconds(750);
// Moves after the loss of an owner have taken 4 to 9 s.
constexpr Duration kMaxTime = std::chrono::seconds(10);
constexpr size_t kMaxSamples = 32;

}  // namespace

void MoveTimes::Update(const std::vector<Assignment>& assignments,
                       const IsServed& is_served,
                       TimePoint now) {
  std::vector<Gap> gaps;
  auto old = gaps_.begin();
  for (const Assignment& it : assignments) {
    if (is_served(it)) {
      continue;
    }
    Gap gap{.keys = it.keys, .since = now};
    while (old != gaps_.end() && old->keys.last < it.keys.first) {
      ++old;
    }
    for (auto same = old;
         same != gaps_.end() && same->keys.first <= it.keys.last; ++same) {
      gap.since = std::min(gap.since, same->since);
    }
    gaps.push_back(gap);
  }
  // Ranges that moved together count once.
  std::set<TimePoint> ended;
  for (const Gap& it : gaps_) {
    if (Find(gaps, it.keys.first) == nullptr) {
      ended.insert(it.since);
    }
  }
  for (const TimePoint since : ended) {
    recent_.push_back(std::min(now - since, kMaxTime));
    if (recent_.size() > kMaxSamples) {
      recent_.pop_front();
    }
  }
  gaps_ = std::move(gaps);
}

// Returns the median rest of those recent moves that took longer than this one
// has lasted.
Duration MoveTimes::RemainingFor(std::uint32_t key, TimePoint now) const {
  const Gap* gap = Find(gaps_, key);
  const Duration elapsed = gap == nullptr ? Duration{} : now - gap->since;
  std::vector<Duration> longer;
  std::copy_if(recent_.begin(), recent_.end(), std::back_inserter(longer),
               [elapsed](Duration it) { return it > elapsed; });
  if (longer.empty()) {
    // Nothing is known about such a long move, except that it has lasted.
    return elapsed < kAssumedTime ? kAssumedTime - elapsed
                                  : std::min(elapsed, kMaxTime);
  }
  const auto middle =
      longer.begin() + static_cast<std::ptrdiff_t>(longer.size() / 2);
  std::nth_element(longer.begin(), middle, longer.end());
  return *middle - elapsed;
}

const MoveTimes::Gap* MoveTimes::Find(const std::vector<Gap>& gaps,
                                      std::uint32_t key) {
  const auto it = std::lower_bound(
      gaps.begin(), gaps.end(), key,
      [](const Gap& gap, std::uint32_t n) { return gap.keys.last < n; });
  return it == gaps.end() || !it->keys.Contains(key) ? nullptr : &*it;
}

}  // namespace toucandock::core::keyspace
