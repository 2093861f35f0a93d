#include "core/discovery/evacuations.h"

#include <algorithm>

namespace toucandock::core::discovery {

bool Evacuations::Begin(const std::string& failure_domain, TimePoint now) {
  listed_.insert(failure_domain);
  return domains_.try_emplace(failure_domain, now).second;
}

bool Evacuations::End(const std::string& failure_domain) {
  listed_.erase(failure_domain);
  return domains_.erase(failure_domain) > 0;
}

std::vector<std::string> Evacuations::RetainOnly(
    const std::vector<std::string>& failure_domains,
    TimePoint now) {
  listed_ = {failure_domains.begin(), failure_domains.end()};
  return now < held_until_ ? std::vector<std::string>() : EndUnlisted();
}

std::vector<std::string> Evacuations::Tick(TimePoint now) {
  return now < held_until_ ? std::vector<std::string>() : EndUnlisted();
}

std::vector<std::string> Evacuations::EndUnlisted() {
  std::vector<std::string> ended;
  std::erase_if(domains_, [&](const auto& it) {
    const bool is_listed = listed_.contains(it.first);
    if (!is_listed) {
      ended.push_back(it.first);
    }
    return !is_listed;
  });
  return ended;
}

TimePoint ClosedFrom(TimePoint learned_at,
                     bool keyed,
                     const EvacuationLimits& limits) {
  if (!keyed) {
    return learned_at;
  }
  return learned_at +
         std::max(Duration::zero(),
                  limits.limit - limits.notice_delay - limits.transit_margin);
}

}  // namespace toucandock::core::discovery
