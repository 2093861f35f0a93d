#include "core/relay/source_tracker.h"

#include <algorithm>

namespace toucandock::core::relay {

void SourceTracker::OnAnswer(SourceKind kind, bool fresh, TimePoint now) {
  if (kind == SourceKind::kSubstitute) {
    if (fresh) {
      substitute_until_ = now + terms_.substitute_lifetime;
    }
    return;
  }
  duty_host_heard_ = true;
  if (fresh) {
    duty_host_lost_at_ = now + terms_.silence;
  } else {
    // It has lost the store; the first such answer counts.
    duty_host_lost_at_ = std::min(duty_host_lost_at_, now);
  }
}

bool SourceTracker::IsDutyHostLost(TimePoint now) const {
  return !duty_host_heard_ || now >= duty_host_lost_at_;
}

bool SourceTracker::IsRelayed(TimePoint now) const {
  if (!duty_host_heard_ || now < mistrusted_until_) {
    return false;
  }
  if (!IsDutyHostLost(now)) {
    return true;
  }
  return !is_substitute_ &&
         (now < substitute_until_ ||
          now < duty_host_lost_at_ + terms_.substitute_grace);
}

bool SourceTracker::IsStarting(TimePoint now) const {
  if (terms_.fleet_starts) {
    return now < started_ + terms_.fleet_start_time;
  }
  return !duty_host_heard_ && now < started_ + terms_.start_grace;
}

}  // namespace toucandock::core::relay
