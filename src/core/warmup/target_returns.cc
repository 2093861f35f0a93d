#include "core/warmup/target_returns.h"

#include <iterator>
#include <utility>

namespace toucandock::core::warmup {

using discovery::TargetInstance;

void TargetReturns::OnUnreachable(const TargetInstance& target,
                                  std::uint64_t sequence) {
  Record& record = records_[target];
  record.is_unreachable = true;
  record.sequence = sequence;
}

bool TargetReturns::OnAccepted(const TargetInstance& target,
                               Duration warm_up,
                               TimePoint now) {
  const auto it = records_.find(target);
  if (it == records_.end() ||
      !std::exchange(it->second.is_unreachable, false)) {
    return false;
  }
  it->second.cold_until = now + warm_up;
  return true;
}

void TargetReturns::OnReported(const TargetInstance& target,
                               Duration left,
                               TimePoint now) {
  const auto it = records_.find(target);
  if (it != records_.end() && it->second.cold_until) {
    it->second.cold_until = now + left;
  }
}

void TargetReturns::OnListChanged(
    const std::function<std::optional<std::uint64_t>(const TargetInstance&)>&
        sequence_of) {
  for (auto it = records_.begin(); it != records_.end();) {
    const std::optional<std::uint64_t> sequence = sequence_of(it->first);
    Record& record = it->second;
    if (sequence && *sequence > record.sequence) {
      record.cold_until.reset();
    }
    const bool is_needed =
        sequence && (record.is_unreachable || record.cold_until);
    it = is_needed ? std::next(it) : records_.erase(it);
  }
}

std::optional<TimePoint> TargetReturns::ColdUntil(const TargetInstance& target,
                                                  TimePoint now) const {
  const auto it = records_.find(target);
  return it != records_.end() && it->second.cold_until &&
                 now < *it->second.cold_until
             ? it->second.cold_until
             : std::nullopt;
}

}  // namespace toucandock::core::warmup
