#include "core/admission/silent_overflow.h"

#include <algorithm>

namespace toucandock::core::admission {

void SilentOverflow::OnUnanswered(bool was_busy, TimePoint now) {
  if (!was_busy) {
    return;
  }
  unanswered_.push_back(now);
  while (unanswered_.front() + options_.unanswered_window < now) {
    unanswered_.pop_front();
  }
  if (IsSeen(now) || unanswered_.size() >= options_.min_unanswered) {
    seen_until_ = now + options_.lifetime;
  }
}

// A target that refuses when its queue is full answers what it cannot queue. A
// refusal with few waiting requests has another cause and says nothing.
void SilentOverflow::OnRefusal(const std::optional<balance::ReportedLoad>& load,
                               std::uint32_t listed_slots) {
  const double slots =
      load ? load->slots.value_or(static_cast<int>(listed_slots)) : 0;
  if (!load || load->waiting >= slots * options_.full_queue_factor) {
    OnLateAnswer();
  }
}

void SilentOverflow::OnLateAnswer() {
  unanswered_.clear();
  seen_until_ = {};
}

void SilentOverflow::OnReport(const balance::ReportedLoad& load,
                              std::uint32_t listed_slots) {
  const double slots =
      std::max(1, load.slots.value_or(static_cast<int>(listed_slots)));
  // The report does not count the request that it came with.
  largest_held_ = std::max(largest_held_, (load.Total() + 1) / slots);
}

bool SilentOverflow::WasBusy(TimePoint reported_busy_at,
                             TimePoint sent_at) const {
  return reported_busy_at + options_.busy_memory >= sent_at;
}

Duration SilentOverflow::SilenceLimit(FloatSeconds usual_time) const {
  return std::max(options_.min_silence,
                  std::chrono::duration_cast<Duration>(
                      usual_time * options_.usual_time_factor));
}

std::optional<double> SilentOverflow::MaxRequests(std::uint32_t slots,
                                                  TimePoint now) const {
  if (!IsSeen(now)) {
    return std::nullopt;
  }
  return slots * std::max(1.0, largest_held_ * options_.max_held_fraction);
}

}  // namespace toucandock::core::admission
