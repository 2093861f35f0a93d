#include "core/admission/return_times.h"

#include <algorithm>
#include <cmath>

namespace toucandock::core::admission {
namespace {

// Multiples of the golden ratio, modulo 1, are spread evenly however many there
// are.
constexpr double kGoldenRatio = 0.6180339887498949;

}  // namespace

absl::string_view ToString(Return returned) {
  switch (returned) {
    case Return::kAsTold:
      return "as-told";
    case Return::kNew:
      return "new";
    case Return::kEarly:
      return "early";
  }
  return "new";
}

ReturnSchedule::Slot ReturnSchedule::Next(Duration earliest,
                                          Duration interval,
                                          Duration limit,
                                          TimePoint now) {
  const TimePoint next = std::max(now + earliest, last_ + interval);
  if (next <= now + limit) {
    last_ = next;
    return {.retry_after = next - now, .is_reserved = true};
  }
  // No capacity is left within the limit. Such callers are spread over the last
  // part of it.
  const Duration begin = std::min(std::max(earliest, limit / 2), limit);
  fraction_ = std::fmod(fraction_ + kGoldenRatio, 1.0);
  return {.retry_after = begin + std::chrono::duration_cast<Duration>(
                                     (limit - begin) * fraction_)};
}

void ToldReturns::Add(const std::string& fingerprint,
                      const ReturnSchedule::Slot& slot,
                      TimePoint goal_by,
                      TimePoint now) {
  Expire(now);
  const TimePoint at = now + slot.retry_after;
  told_[fingerprint] = {
      .at = at, .is_reserved = slot.is_reserved, .goal_by = goal_by};
  order_.emplace_back(at, fingerprint);
  while (order_.size() > options_.max_entries) {
    DropOldest();
  }
}

ReturnedRequest ToldReturns::Take(const std::string& fingerprint,
                                  TimePoint now) {
  const auto it = told_.find(fingerprint);
  if (it == told_.end()) {
    return {};
  }
  const Told told = it->second;
  if (now < told.at - options_.tolerance) {
    return {.state = Return::kEarly,
            .is_reserved = told.is_reserved,
            .told_at = told.at,
            .goal_by = told.goal_by};
  }
  told_.erase(it);
  if (now > told.at + options_.lifetime) {
    return {};
  }
  return {.state = Return::kAsTold,
          .is_reserved = told.is_reserved,
          .told_at = told.at,
          .goal_by = told.goal_by};
}

void ToldReturns::Expire(TimePoint now) {
  while (!order_.empty() && order_.front().first + options_.lifetime < now) {
    DropOldest();
  }
}

void ToldReturns::DropOldest() {
  const auto it = told_.find(order_.front().second);
  // The caller may have been told another time since.
  if (it != told_.end() && it->second.at == order_.front().first) {
    told_.erase(it);
  }
  order_.pop_front();
}

}  // namespace toucandock::core::admission
