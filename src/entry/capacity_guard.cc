#include "entry/capacity_guard.h"

namespace toucandock::entry {

using core::TimePoint;
using core::admission::AdmissionDecision;
using core::admission::KeyAdmission;
using core::admission::KeyAdmissionOptions;
using core::admission::SilentOverflow;

void CapacityGuard::SetAdmitted(const core::keyspace::AdmittedLists& lists,
                                TimePoint valid_until) {
  std::erase_if(admissions_,
                [&](const auto& it) { return !lists.contains(it.first); });
  for (const auto& [service, ranges] : lists) {
    admissions_.try_emplace(service, KeyAdmissionOptions{}, seed_)
        .first->second.SetRanges(ranges, valid_until);
  }
}

AdmissionDecision CapacityGuard::Decide(
    const std::string& service,
    const core::admission::KeyedArrival& arrival,
    TimePoint now) {
  const auto it = admissions_.find(service);
  return it == admissions_.end() ? AdmissionDecision{}
                                 : it->second.Decide(arrival, now);
}

bool CapacityGuard::IsLimited(const std::string& service,
                              std::uint32_t key,
                              TimePoint now) const {
  const auto it = admissions_.find(service);
  return it != admissions_.end() && it->second.IsLimited(key, now);
}

size_t CapacityGuard::LimitedRanges(TimePoint now) const {
  size_t n = 0;
  for (const auto& [service, it] : admissions_) {
    n += it.LimitedRanges(now);
  }
  return n;
}

SilentOverflow& CapacityGuard::OverflowOf(const std::string& service) {
  return overflows_
      .try_emplace(service, core::admission::SilentOverflowOptions{})
      .first->second;
}

}  // namespace toucandock::entry
