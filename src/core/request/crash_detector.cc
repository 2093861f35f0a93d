#include "core/request/crash_detector.h"

#include <algorithm>
#include <utility>

namespace toucandock::core::request {

using discovery::ListedTarget;
using discovery::TargetEntry;
using discovery::TargetInstance;

absl::string_view ToString(CrashEvidence evidence) {
  return evidence == CrashEvidence::kConnectRefused ? "connect-refused"
                                                    : "new-life";
}

void CrashDetector::OnBroken(BrokenAttempt attempt) {
  if (attempts_.size() >= options_.max_attempts) {
    attempts_.pop_front();
  }
  attempts_.push_back(std::move(attempt));
}

void CrashDetector::OnAlive(const TargetInstance& target, TimePoint at) {
  std::erase_if(attempts_, [&target, at](const BrokenAttempt& it) {
    return it.target.instance == target && it.at <= at;
  });
}

bool CrashDetector::IsPending(const TargetInstance& target,
                              TimePoint now) const {
  return std::any_of(
      attempts_.begin(), attempts_.end(), [&](const BrokenAttempt& it) {
        return it.target.instance == target && now < it.at + options_.retention;
      });
}

std::vector<Crash> CrashDetector::OnConnectRefused(const TargetInstance& target,
                                                   TimePoint now) {
  return ExtractCrashes(
      CrashEvidence::kConnectRefused,
      [&target](const BrokenAttempt& it) {
        return it.target.instance == target;
      },
      now);
}

std::vector<Crash> CrashDetector::OnTargets(
    const std::map<std::string, std::vector<ListedTarget>>& targets,
    TimePoint now) {
  if (attempts_.empty()) {
    return {};
  }
  const auto is_replaced_by = [](const TargetEntry& ended,
                                 const TargetEntry& listed) {
    const bool same_id = listed.instance.id == ended.instance.id;
    return (same_id &&
            listed.instance.start_time_ms > ended.instance.start_time_ms) ||
           (!same_id && listed.address == ended.address);
  };
  return ExtractCrashes(
      CrashEvidence::kNewInstance,
      [&](const BrokenAttempt& attempt) {
        return std::any_of(
            targets.begin(), targets.end(), [&](const auto& service) {
              return std::any_of(service.second.begin(), service.second.end(),
                                 [&](const ListedTarget& it) {
                                   return is_replaced_by(attempt.target,
                                                         it.entry);
                                 });
            });
      },
      now);
}

std::vector<Crash> CrashDetector::ExtractCrashes(CrashEvidence evidence,
                                                 const HasEnded& has_ended,
                                                 TimePoint now) {
  std::erase_if(attempts_, [this, now](const BrokenAttempt& it) {
    return it.at + options_.retention <= now;
  });
  std::vector<Crash> crashes;
  std::erase_if(attempts_, [&](const BrokenAttempt& it) {
    const bool ended = has_ended(it);
    if (ended) {
      crashes.push_back({.attempt = it, .evidence = evidence});
    }
    return ended;
  });
  return crashes;
}

}  // namespace toucandock::core::request
