#include "core/admission/key_admission.h"

#include <algorithm>
#include <cmath>

#include "absl/strings/str_cat.h"
#include "util/hash.h"

namespace toucandock::core::admission {
namespace {

// Multiples of the golden ratio, modulo 1, are spread evenly however many of
// them are used.
constexpr double kGoldenRatio = 0.6180339887498949;

Duration ToDuration(FloatSeconds time) {
  return std::chrono::duration_cast<Duration>(time);
}

}  // namespace

void KeyAdmission::SetRanges(const keyspace::AdmittedRanges& ranges,
                             TimePoint valid_until) {
  std::map<std::uint32_t, Range> updated;
  for (const keyspace::AdmittedRange& it : ranges) {
    const Range* known = Find(it.keys.first);
    Range range =
        known != nullptr ? *known : Range{.credit = InitialCredit(it.keys)};
    range.keys = it.keys;
    range.fraction = it.fraction;
    updated.insert_or_assign(it.keys.first, std::move(range));
  }
  ranges_ = std::move(updated);
  valid_until_ = valid_until;
}

// Returns a value below 1. Over all hosts, the values are spread evenly, so the
// hosts together admit the right fraction even of a few requests each.
double KeyAdmission::InitialCredit(const keyspace::KeyRange& keys) const {
  const std::uint64_t hash = util::Hash64(absl::StrCat(keys.first), seed_);
  return static_cast<double>(hash >> 11) / static_cast<double>(1ULL << 53);
}

const KeyAdmission::Range* KeyAdmission::Find(std::uint32_t key) const {
  auto it = ranges_.upper_bound(key);
  if (it == ranges_.begin()) {
    return nullptr;
  }
  --it;
  return it->second.keys.Contains(key) ? &it->second : nullptr;
}

bool KeyAdmission::IsLimited(std::uint32_t key, TimePoint now) const {
  return now < valid_until_ && Find(key) != nullptr;
}

size_t KeyAdmission::LimitedRanges(TimePoint now) const {
  return now < valid_until_ ? ranges_.size() : 0;
}

// Each request adds the fraction to the credit of its range. A request is
// admitted for one unit of credit, if that leaves the reserve of each more
// urgent rank that asks for the range.
AdmissionDecision KeyAdmission::Decide(const KeyedArrival& arrival,
                                       TimePoint now) {
  if (!IsLimited(arrival.key, now)) {
    return {};
  }
  Range& range = ranges_.at(Find(arrival.key)->keys.first);
  const Rank rank{arrival.priority, arrival.has_returned ? 0 : 1};
  range.credit = std::min(options_.max_credit, range.credit + range.fraction);
  std::erase_if(range.ranks, [&](const auto& it) {
    return now - it.second > options_.rank_lifetime;
  });
  range.ranks[rank] = now;
  const auto more_urgent =
      std::distance(range.ranks.begin(), range.ranks.find(rank));
  const double reserve =
      std::min(options_.max_credit - 1,
               options_.reserve * static_cast<double>(more_urgent));
  if (range.credit >= 1 + reserve) {
    range.credit -= 1;
    return {.is_limited = true};
  }
  return {.is_admitted = false,
          .is_limited = true,
          .retry_after = RetryAfter(range, arrival.time_left)};
}

// What is refused in one second could be served in (1 - fraction) / fraction
// seconds. The refused requests return spread over this time, as far as callers
// wait.
Duration KeyAdmission::RetryAfter(Range& range, Duration time_left) const {
  const Duration longest =
      std::max(Duration::zero(),
               ToDuration(time_left * options_.max_fraction_of_time_left));
  constexpr double kMinFraction = 1e-3;
  const FloatSeconds backlog{(1 - range.fraction) /
                             std::max(kMinFraction, range.fraction)};
  const Duration first = std::min(options_.min_retry_after, longest);
  const Duration last = std::clamp(ToDuration(backlog), first, longest);
  const double position = std::fmod(
      InitialCredit(range.keys) + kGoldenRatio * ++range.refused, 1.0);
  return first + ToDuration((last - first) * position);
}

}  // namespace toucandock::core::admission
