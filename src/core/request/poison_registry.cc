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

bool IsRepeated(size_t crashes) {
  return crashes > 1;
}

std::uint32_t Fold(std::uint64_t hash) {
  return static_cast<std::uint32_t>(hash ^ hash >> 32);
}

bool ReachesLimit(size_t crashes, const CrashReport& report) {
  return crashes >= report.crash_limit;
}

}  // namespace

PoisonRegistry::PoisonRegistry(const PoisonOptions& options)
    : options_(options), safe_contents_(options.safe_contents) {}

// Counts a crash for the request's id and for its content. Returns false if the
// report adds nothing: the crash is too old or was counted before, or the
// request recently completed without a crash, which means that it was only in
// flight when another request crashed the target.
bool PoisonRegistry::Report(const CrashReport& report, TimePoint now) {
  Expire(now);
  if (report.age >= options_.retention ||
      IsSafe(report.key, report.target_version.version, now)) {
    return false;
  }
  bool counted = CountCrash(NameOfContent(report.key), report, now);
  if (!report.key.request_id.empty()) {
    counted = CountCrash(NameOfId(report.key), report, now) || counted;
  }
  return counted;
}

// Called when a target that runs `version` has returned a complete response to
// the request. Returns whether the request was a suspect and no longer is one.
bool PoisonRegistry::MarkSafe(const PoisonKey& key,
                              const std::string& version,
                              TimePoint now) {
  Expire(now);
  const std::string content = NameOfContent(key);
  safe_contents_.Add(content, version, now);
  bool cleared = suspects_.erase(content) > 0;
  // An id that reached the crash limit stays blocked, because its request has
  // been run.
  if (const std::string id = NameOfId(key);
      !key.request_id.empty() && !IsOverLimit(id, now)) {
    cleared = suspects_.erase(id) > 0 || cleared;
  }
  return cleared;
}

// Returns whether a request with this content recently completed without a
// crash on a target that runs `version`.
bool PoisonRegistry::IsSafe(const PoisonKey& key,
                            const std::string& version,
                            TimePoint now) {
  return safe_contents_.Contains(NameOfContent(key), version, now);
}

PoisonMatch PoisonRegistry::FindMatch(const PoisonKey& key, TimePoint now) {
  Expire(now);
  if (!key.request_id.empty() && IsOverLimit(NameOfId(key), now)) {
    return PoisonMatch::kSameRequest;
  }
  return IsOverLimit(NameOfContent(key), now) ? PoisonMatch::kSameContent
                                              : PoisonMatch::kNone;
}

// Returns all crashes that have not expired, those of the requests with the
// most crashes first, and then the latest.
std::vector<CrashReport> PoisonRegistry::Reports(TimePoint now) {
  Expire(now);
  return ReportsIf(now, [](const Suspect&) { return true; });
}

std::vector<CrashReport> PoisonRegistry::ReportsToCompare(TimePoint now) {
  Expire(now);
  const bool only_repeated = ComparesOnlyRepeated();
  return ReportsIf(now, [only_repeated](const Suspect& it) {
    return !only_repeated || IsRepeated(it.crashes.size());
  });
}

std::vector<CrashReport> PoisonRegistry::ReportsToStore(TimePoint now) {
  Expire(now);
  const bool only_repeated = ComparesOnlyRepeated();
  size_t singles = 0;
  return ReportsIf(now, [&](const Suspect& it) {
    return !only_repeated || IsRepeated(it.crashes.size()) ||
           (it.last_crash + options_.single_crash_store_time > now &&
            ++singles <= options_.max_stored_single_crashes);
  });
}

bool PoisonRegistry::ComparesOnlyRepeated() const {
  const auto singles = std::count_if(
      suspects_.begin(), suspects_.end(),
      [](const auto& it) { return !IsRepeated(it.second.crashes.size()); });
  return static_cast<size_t>(singles) > options_.max_compared_single_crashes;
}

// Asks `is_included` in the order of the reports.
std::vector<CrashReport> PoisonRegistry::ReportsIf(
    TimePoint now,
    const std::function<bool(const Suspect&)>& is_included) const {
  std::vector<const Suspect*> suspects;
  for (const auto& [name, suspect] : suspects_) {
    suspects.push_back(&suspect);
  }
  std::stable_sort(suspects.begin(), suspects.end(),
                   [](const Suspect* a, const Suspect* b) {
                     return std::pair(a->crashes.size(), a->last_crash) >
                            std::pair(b->crashes.size(), b->last_crash);
                   });
  std::vector<CrashReport> reports;
  for (const Suspect* suspect : suspects) {
    if (!is_included(*suspect)) {
      continue;
    }
    for (const Crash& crash : suspect->crashes) {
      CrashReport report = crash.report;
      report.age = now - crash.at;
      reports.push_back(std::move(report));
    }
  }
  return reports;
}

std::vector<SuspectedRequest> PoisonRegistry::SuspectedRequests(TimePoint now) {
  Expire(now);
  std::vector<SuspectedRequest> suspected_requests;
  for (const auto& [name, suspect] : suspects_) {
    const Crash& last = suspect.crashes.back();
    suspected_requests.push_back({.key = last.report.key,
                                  .crashes = suspect.crashes.size(),
                                  .is_blocked = IsOverLimit(suspect, now),
                                  .target_version = last.report.target_version,
                                  .age = now - suspect.last_crash});
  }
  return suspected_requests;
}

// The hashes are equal on all hosts that block the same requests and know the
// same crashes of requests that are not blocked. The ages of crashes are left
// out, since hosts learn of a crash at slightly different times.
PoisonDigest PoisonRegistry::Digest(TimePoint now) {
  Expire(now);
  std::uint64_t all = 0;
  std::uint64_t repeated = 0;
  for (const auto& [name, suspect] : suspects_) {
    const bool at_limit =
        ReachesLimit(suspect.crashes.size(), suspect.crashes.back().report);
    std::uint64_t hash = 0;
    if (at_limit) {
      const bool expired = suspect.last_crash + options_.block_duration <= now;
      hash = util::Hash64(absl::StrCat(name, expired ? "/lapsed" : "/over"));
    } else {
      for (const Crash& crash : suspect.crashes) {
        hash ^= util::Hash64(absl::StrCat(name, "/", crash.report.target));
      }
    }
    all ^= hash;
    repeated ^= IsRepeated(suspect.crashes.size()) ? hash : 0;
  }
  return {.all = Fold(all),
          .repeated = Fold(repeated),
          .only_repeated = ComparesOnlyRepeated()};
}

bool KnowSameCrashes(const PoisonDigest& a, const PoisonDigest& b) {
  return a.only_repeated || b.only_repeated ? a.repeated == b.repeated
                                            : a.all == b.all;
}

void PoisonRegistry::SetVersionsInUse(VersionsInUse versions_in_use) {
  versions_in_use_ = std::move(versions_in_use);
}

bool PoisonRegistry::CountCrash(const std::string& name,
                                const CrashReport& report,
                                TimePoint now) {
  auto it = suspects_.find(name);
  if (it == suspects_.end()) {
    EvictIfFull();
    it = suspects_.emplace(name, Suspect{}).first;
  }
  Suspect& suspect = it->second;
  const TimePoint at = now - std::max(report.age, Duration{});
  const bool known = std::any_of(
      suspect.crashes.begin(), suspect.crashes.end(), [&](const Crash& crash) {
        return crash.report.target == report.target &&
               std::chrono::abs(crash.at - at) < options_.same_crash_window;
      });
  if (known) {
    return false;
  }
  if (ReachesLimit(suspect.crashes.size(), report)) {
    if (at < suspect.crashes.front().at) {
      return false;
    }
    suspect.crashes.erase(suspect.crashes.begin());
  }
  const auto later =
      std::find_if(suspect.crashes.begin(), suspect.crashes.end(),
                   [at](const Crash& crash) { return crash.at > at; });
  suspect.crashes.insert(later, {report, at});
  suspect.last_crash = suspect.crashes.back().at;
  first_expiry_ = std::min(first_expiry_, ExpiryOf(suspect));
  return true;
}

// Removes the suspects with the fewest crashes, the oldest ones among these; at
// worst, their requests crash more targets. Each request is kept under up to
// two names: its content and its id.
void PoisonRegistry::EvictIfFull() {
  if (suspects_.size() < 2 * options_.max_requests) {
    return;
  }
  // Several at a time, since the search takes as long for one of them.
  constexpr size_t kPartEvicted = 16;
  std::vector<decltype(suspects_)::iterator> candidates;
  for (auto it = suspects_.begin(); it != suspects_.end(); ++it) {
    candidates.push_back(it);
  }
  const auto end =
      candidates.begin() + static_cast<std::ptrdiff_t>(std::max<size_t>(
                               1, candidates.size() / kPartEvicted));
  std::partial_sort(
      candidates.begin(), end, candidates.end(), [](auto a, auto b) {
        return std::pair(a->second.crashes.size(), a->second.last_crash) <
               std::pair(b->second.crashes.size(), b->second.last_crash);
      });
  for (auto it = candidates.begin(); it != end; ++it) {
    suspects_.erase(*it);
  }
}

bool PoisonRegistry::IsOverLimit(const std::string& name, TimePoint now) const {
  const auto it = suspects_.find(name);
  return it != suspects_.end() && IsOverLimit(it->second, now);
}

bool PoisonRegistry::IsOverLimit(const Suspect& suspect, TimePoint now) const {
  const CrashReport& last = suspect.crashes.back().report;
  return ReachesLimit(suspect.crashes.size(), last) &&
         now < suspect.last_crash + options_.block_duration &&
         !IsReplaced(last.target_version);
}

// Returns whether no target of the service runs this version any more. While no
// target of the service is listed, its current versions are unknown, so no
// version counts as replaced.
bool PoisonRegistry::IsReplaced(const TargetVersion& target_version) const {
  const auto it = versions_in_use_.find(target_version.service);
  return !target_version.version.empty() && it != versions_in_use_.end() &&
         !it->second.empty() && !it->second.contains(target_version.version);
}

// Does nothing before the first suspect can expire, as this is called with each
// report.
void PoisonRegistry::Expire(TimePoint now) {
  if (now < first_expiry_) {
    return;
  }
  first_expiry_ = TimePoint::max();
  std::erase_if(suspects_, [&](const auto& it) {
    const TimePoint expiry = ExpiryOf(it.second);
    if (expiry > now) {
      first_expiry_ = std::min(first_expiry_, expiry);
    }
    return expiry <= now;
  });
}

TimePoint PoisonRegistry::ExpiryOf(const Suspect& suspect) const {
  const bool was_blocked =
      ReachesLimit(suspect.crashes.size(), suspect.crashes.back().report);
  return suspect.last_crash +
         (was_blocked ? options_.retention : options_.block_duration);
}

}  // namespace toucandock::core::request
