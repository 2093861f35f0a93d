#include "core/relay/stream_freshness.h"

#include <algorithm>

namespace toucandock::core::relay {
namespace {

// Of the time in which a change has to take effect. The rest is for the
// interval at which hosts check their records, and for a read of the store.
constexpr double kMaxAgeFraction = 0.65;
constexpr double kMaxServingAgeFraction = 0.55;
// The store is read every 700 ms on behalf of other hosts, so records would be
// overdue all the time below this.
constexpr std::chrono::milliseconds kMinChangeLimit{1'500};
// Reports arrive faster than the records that they announce are fetched.
constexpr size_t kMaxPendingReports = 8;

Duration Fraction(Duration time, double fraction) {
  return std::chrono::duration_cast<Duration>(time * fraction);
}

}  // namespace

FreshnessOptions FreshnessOptionsFor(Duration change_limit) {
  change_limit = std::max<Duration>(change_limit, kMinChangeLimit);
  return {.max_age = Fraction(change_limit, kMaxAgeFraction),
          .max_serving_age = Fraction(change_limit, kMaxServingAgeFraction)};
}

void StreamFreshness::OnComplete(TimePoint as_of) {
  complete_at_ = complete_at_ ? std::max(*complete_at_, as_of) : as_of;
}

void StreamFreshness::OnReported(Offset next, TimePoint as_of) {
  if (next <= next_) {
    OnComplete(as_of);
    return;
  }
  // The oldest reports are kept, since their records arrive first.
  if (pending_.size() == kMaxPendingReports) {
    pending_.pop_back();
  }
  pending_.push_back({.next = next, .as_of = as_of});
}

void StreamFreshness::OnProgress(Offset next) {
  next_ = std::max(next_, next);
  std::erase_if(pending_, [this](const Report& it) {
    if (it.next > next_) {
      return false;
    }
    OnComplete(it.as_of);
    return true;
  });
}

void StreamFreshness::OnHistoryLost() {
  complete_at_ = std::nullopt;
  pending_.clear();
}

std::optional<Duration> StreamFreshness::Age(TimePoint now) const {
  if (!complete_at_) {
    return std::nullopt;
  }
  return std::max(Duration::zero(), now - *complete_at_);
}

bool StreamFreshness::IsOverdue(bool serves_others, TimePoint now) const {
  const auto age = Age(now);
  const bool is_old = !age || *age >= (serves_others ? options_.max_serving_age
                                                     : options_.max_age);
  return is_old && (!overdue_read_at_ ||
                    now - *overdue_read_at_ >= options_.read_interval);
}

}  // namespace toucandock::core::relay
