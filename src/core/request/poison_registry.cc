#include "core/request/poison_registry.h"

#include <algorithm>
#include <utility>

#include "absl/strings/str_cat.h"
#include "util/hash.h"

namespace toucandock::core::request {
namespace {

std::string NameOfContent(const PoisonKey& key) {
  return absl::StrCat(key.service, "/content/", key.fingerprint);
}

std::string NameOfId(const PoisonKey& key) {
  return absl::StrCat(key.service, "/id/", key.request_id);
}

}  // namespace

PoisonRegistry::PoisonRegistry(const PoisonLimits& limits) : limits_(limits) {}

// Counts a crash for the request's id and for its content. Returns false when
// a recent whole answer proves that the request is not the cause: it was in
// flight when another one crashed its target.
bool PoisonRegistry::Report(const CrashReport& report, TimePoint now) {
  Expire(now);
  if (IsProven(report.key)) {
    return false;
  }
  Count(NameOfContent(report.key), report, now);
  if (!report.key.request_id.empty()) {
    Count(NameOfId(report.key), report, now);
  }
  return true;
}

// A whole answer to the request arrived.
void PoisonRegistry::Prove(const PoisonKey& key, TimePoint now) {
  Expire(now);
  if (proven_.size() >= limits_.proofs) {
    proven_before_ = std::exchange(proven_, {});
    proven_since_ = now;
  }
  proven_.insert(util::Hash64(NameOfContent(key)));
  for (const std::string& name : {NameOfContent(key), NameOfId(key)}) {
    if (!IsOverLimit(name)) {
      suspects_.erase(name);
    }
  }
}

PoisonVerdict PoisonRegistry::VerdictOn(const PoisonKey& key, TimePoint now) {
  Expire(now);
  if (!key.request_id.empty() && IsOverLimit(NameOfId(key))) {
    return PoisonVerdict::kSameRequest;
  }
  return IsOverLimit(NameOfContent(key)) ? PoisonVerdict::kSameContent
                                         : PoisonVerdict::kNone;
}

// Returns the crashes in force, for a host that has joined.
std::vector<CrashReport> PoisonRegistry::Reports(TimePoint now) {
  Expire(now);
  std::vector<CrashReport> reports;
  for (const auto& [name, suspect] : suspects_) {
    for (const Crash& crash : suspect.crashes) {
      CrashReport report = crash.report;
      report.age = now - crash.at;
      reports.push_back(std::move(report));
    }
  }
  return reports;
}

void PoisonRegistry::Count(const std::string& name,
                           const CrashReport& report,
                           TimePoint now) {
  auto it = suspects_.find(name);
  if (it == suspects_.end()) {
    // Each request has up to two names.
    if (suspects_.size() >= 2 * limits_.requests) {
      // The oldest suspicion goes; at worst its request crashes more targets.
      suspects_.erase(std::min_element(
          suspects_.begin(), suspects_.end(), [](const auto& a, const auto& b) {
            return a.second.last_crash < b.second.last_crash;
          }));
    }
    it = suspects_.emplace(name, Suspect{}).first;
  }
  Suspect& suspect = it->second;
  const TimePoint at = now - report.age;
  const bool known = std::any_of(
      suspect.crashes.begin(), suspect.crashes.end(), [&](const Crash& crash) {
        return crash.report.target == report.target &&
               std::chrono::abs(crash.at - at) < limits_.same_crash;
      });
  if (known || suspect.crashes.size() >= report.crash_limit) {
    return;
  }
  suspect.crashes.push_back({report, at});
  suspect.last_crash = std::max(suspect.last_crash, at);
}

bool PoisonRegistry::IsOverLimit(const std::string& name) const {
  const auto it = suspects_.find(name);
  return it != suspects_.end() &&
         it->second.crashes.size() >=
             it->second.crashes.back().report.crash_limit;
}

bool PoisonRegistry::IsProven(const PoisonKey& key) const {
  const std::uint64_t hash = util::Hash64(NameOfContent(key));
  return proven_.contains(hash) || proven_before_.contains(hash);
}

void PoisonRegistry::Expire(TimePoint now) {
  if (now - proven_since_ >= 2 * limits_.proof) {
    proven_.clear();
  }
  if (now - proven_since_ >= limits_.proof) {
    proven_before_ = std::exchange(proven_, {});
    proven_since_ = now;
  }
  std::erase_if(suspects_, [&](const auto& it) {
    return it.second.last_crash + limits_.retention <= now;
  });
}

}  // namespace toucandock::core::request
