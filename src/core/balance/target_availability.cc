#include "core/balance/target_availability.h"

#include <algorithm>
#include <iterator>

namespace toucandock::core::balance {

absl::string_view ToString(const AvailabilityState& state) {
  switch (state.availability) {
    case Availability::kOpen:
      return "open";
    case Availability::kLeaving:
      return state.evacuated ? "evacuated" : "leaving";
    case Availability::kPaused:
      return "paused";
    case Availability::kResuming:
      return "resuming";
    case Availability::kCold:
      return "cold";
  }
  return "";
}

bool TargetAvailability::OnLeaving(const discovery::TargetInstance& target,
                                   TimePoint now) {
  Record& record = records_[target];
  if (record.leaving_since) {
    return false;
  }
  record.leaving_since = now;
  return true;
}

TargetAvailability::PauseResult TargetAvailability::OnPause(
    const discovery::TargetInstance& target,
    Duration pause,
    double spread,
    TimePoint now) {
  PauseResult result{.is_limited = pause > options_.max_pause};
  pause = std::min(pause, options_.max_pause);
  if (pause <= Duration::zero()) {
    return result;
  }
  Record& record = records_[target];
  const TimePoint end = now + pause;
  if (record.paused_until && *record.paused_until >= end) {
    result.until = record.resume_at;
    return result;
  }
  const auto max_delay = std::min(options_.max_resume_delay,
                                  std::chrono::duration_cast<Duration>(
                                      pause * options_.resume_delay_ratio));
  record.paused_until = end;
  record.resume_at =
      std::max(record.resume_at,
               end + std::chrono::duration_cast<Duration>(max_delay * spread));
  record.is_end_reported = false;
  result.is_later = true;
  result.until = record.resume_at;
  return result;
}

void TargetAvailability::OnSent(const discovery::TargetInstance& target,
                                TimePoint now) {
  const auto it = records_.find(target);
  if (it != records_.end()) {
    it->second.next_send_at = now + options_.resume_interval;
  }
}

AvailabilityState TargetAvailability::StateOf(
    const discovery::TargetInstance& target,
    TimePoint now) const {
  const auto it = records_.find(target);
  if (it == records_.end()) {
    return {};
  }
  const Record& record = it->second;
  if (record.leaving_since) {
    return {.availability = Availability::kLeaving,
            .since = *record.leaving_since};
  }
  if (!record.paused_until) {
    return {};
  }
  if (now < record.resume_at) {
    return {.availability = Availability::kPaused, .until = record.resume_at};
  }
  if (now < record.resume_at + options_.resume_time &&
      now < record.next_send_at) {
    return {.availability = Availability::kResuming,
            .until = record.next_send_at};
  }
  return {};
}

std::vector<discovery::TargetInstance> TargetAvailability::TakeEndedPauses(
    TimePoint now) {
  std::vector<discovery::TargetInstance> ended;
  for (auto& [target, record] : records_) {
    if (record.paused_until && !record.is_end_reported &&
        now >= record.resume_at) {
      record.is_end_reported = true;
      ended.push_back(target);
    }
  }
  std::erase_if(records_, [this, now](const auto& it) {
    return !it.second.leaving_since && it.second.is_end_reported &&
           now >= it.second.resume_at + options_.resume_time;
  });
  return ended;
}

std::optional<TimePoint> TargetAvailability::NextPauseEnd() const {
  std::optional<TimePoint> next;
  for (const auto& [target, record] : records_) {
    if (record.paused_until && !record.is_end_reported) {
      next = std::min(next.value_or(record.resume_at), record.resume_at);
    }
  }
  return next;
}

void TargetAvailability::OnListChanged(
    const std::function<Listing(const discovery::TargetInstance&)>& listing,
    TimePoint now) {
  size_t unlisted = 0;
  for (auto it = records_.begin(); it != records_.end();) {
    Record& record = it->second;
    const Listing current = listing(it->first);
    if (current == Listing::kListed) {
      record.unlisted_since.reset();
    } else if (!record.unlisted_since) {
      record.unlisted_since = now;
    }
    const bool is_gone =
        current == Listing::kReplaced ||
        (record.unlisted_since &&
         now - *record.unlisted_since >= options_.unlisted_retention);
    unlisted += record.unlisted_since && !is_gone ? 1 : 0;
    it = is_gone ? records_.erase(it) : std::next(it);
  }
  for (; unlisted > options_.max_unlisted; --unlisted) {
    DropOldestUnlisted();
  }
}

void TargetAvailability::DropOldestUnlisted() {
  auto oldest = records_.end();
  for (auto it = records_.begin(); it != records_.end(); ++it) {
    if (it->second.unlisted_since &&
        (oldest == records_.end() ||
         *it->second.unlisted_since < *oldest->second.unlisted_since)) {
      oldest = it;
    }
  }
  if (oldest != records_.end()) {
    records_.erase(oldest);
  }
}

}  // namespace toucandock::core::balance
