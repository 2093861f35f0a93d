#include "core/relay/source_tracker.h"

#include <algorithm>

namespace toucandock::core::relay {

void SourceTracker::OnAnswer(SourceKind kind, bool fresh, TimePoint now) {
  if (kind == SourceKind::kSubstitute) {
    if (fresh) {
      substitute_until_ = now + options_.substitute_lifetime;
    }
    return;
  }
  leader_was_heard_ = true;
  if (fresh) {
    leader_lost_at_ = now + options_.leader_timeout;
  } else {
    // The leader has lost the store. It counts as lost from the first response
    // that says so.
    leader_lost_at_ = std::min(leader_lost_at_, now);
  }
}

bool SourceTracker::IsLeaderLost(TimePoint now) const {
  return !leader_was_heard_ || now >= leader_lost_at_;
}

bool SourceTracker::IsRelayed(TimePoint now, Duration more_grace) const {
  if (!leader_was_heard_ || IsBackingOff(now)) {
    return false;
  }
  if (!IsLeaderLost(now)) {
    return true;
  }
  return !is_substitute_ &&
         (now < substitute_until_ ||
          now < leader_lost_at_ + options_.substitute_grace + more_grace);
}

bool SourceTracker::IsStarting(TimePoint now) const {
  if (options_.fleet_starts) {
    return now < started_ + options_.fleet_start_time;
  }
  return !leader_was_heard_ && now < started_ + options_.start_grace;
}

}  // namespace toucandock::core::relay
