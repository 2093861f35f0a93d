#include "core/warmup/permit_issuer.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace toucandock::core::warmup {

BucketLimit LimitFor(double requests_per_second,
                     const ColdBound& bound,
                     Duration window) {
  if (!std::isfinite(requests_per_second) || requests_per_second <= 0) {
    return {};
  }
  const double seconds = FloatSeconds(window).count();
  const double total = requests_per_second * bound.overage + bound.tolerance;
  if (!(total >= 1)) {
    return {};
  }
  const double burst = std::clamp(total - requests_per_second * seconds, 1.0,
                                  std::clamp(bound.tolerance, 1.0, total));
  return {.permits_per_second =
              std::min(requests_per_second, (total - burst) / seconds),
          .burst = burst};
}

void PermitIssuer::OnLeadership(bool is_leader,
                                TimePoint confirmed_at,
                                TimePoint now) {
  const bool is_continued =
      is_leader_ && now < confirmed_at_ + options_.leadership_lease;
  is_leader_ = is_leader;
  if (!is_leader) {
    return;
  }
  confirmed_at_ = confirmed_at;
  if (!is_continued) {
    taken_over_at_ = now;
    buckets_.clear();
  }
}

void PermitIssuer::SetRates(std::map<discovery::TargetInstance, double> rates,
                            TimePoint now) {
  rates_ = std::move(rates);
  // A target that is listed again within the counting window keeps its bucket.
  std::erase_if(buckets_, [&](const auto& it) {
    const auto listed =
        rates_.lower_bound({.id = it.first, .start_time_ms = 0});
    const bool is_listed =
        listed != rates_.end() && listed->first.id == it.first;
    return !is_listed &&
           now - it.second.filled_at > 2 * options_.counting_window;
  });
}

bool PermitIssuer::IsIssuing(TimePoint now) const {
  return is_leader_ && now >= taken_over_at_ + options_.takeover_wait &&
         now < confirmed_at_ + options_.leadership_lease;
}

void PermitIssuer::Refill(Bucket& bucket,
                          const BucketLimit& limit,
                          TimePoint now) const {
  bucket.tokens +=
      FloatSeconds(now - bucket.filled_at).count() *
      std::min(bucket.limit.permits_per_second, limit.permits_per_second);
  bucket.tokens = std::min(bucket.tokens, limit.burst);
  bucket.limit = limit;
  bucket.filled_at = now;
}

double PermitIssuer::CountUnmetOfOthers(Bucket& bucket,
                                        const std::string& asker,
                                        TimePoint now) const {
  double permits = 0;
  std::erase_if(bucket.unmet, [&](const auto& it) {
    return now - it.second.asked_at >= options_.waiting_lifetime;
  });
  for (const auto& [host, unmet] : bucket.unmet) {
    permits += host == asker ? 0 : unmet.permits;
  }
  return permits;
}

std::optional<PermitAnswer> PermitIssuer::Issue(const PermitQuestion& question,
                                                const std::string& asker,
                                                TimePoint now) {
  if (!is_leader_) {
    return std::nullopt;
  }
  PermitAnswer answer{.question = question.id};
  if (!IsIssuing(now)) {
    const bool is_confirmed = now < confirmed_at_ + options_.leadership_lease;
    answer.next_due = is_confirmed
                          ? taken_over_at_ + options_.takeover_wait - now
                          : options_.takeover_wait;
    return answer;
  }
  const auto rate = rates_.find(question.instance);
  const BucketLimit limit =
      rate == rates_.end()
          ? BucketLimit{}
          : LimitFor(rate->second, bound_, options_.counting_window);
  if (limit.permits_per_second <= 0) {
    answer.next_due = options_.max_due;
    return answer;
  }
  Bucket& bucket =
      buckets_
          .try_emplace(
              question.instance.id,
              Bucket{.limit = limit, .tokens = limit.burst, .filled_at = now})
          .first->second;
  Refill(bucket, limit, now);
  const std::uint32_t wanted = std::min(question.wanted, kMaxPermitsWanted);
  answer.issued = std::min(wanted, static_cast<std::uint32_t>(bucket.tokens));
  bucket.tokens -= answer.issued;
  const double ahead = CountUnmetOfOthers(bucket, asker, now);
  bucket.unmet[asker] = {.permits = wanted - answer.issued, .asked_at = now};
  const FloatSeconds due{(1 - bucket.tokens + ahead) /
                         limit.permits_per_second};
  const FloatSeconds max_due = options_.max_due;
  answer.next_due =
      std::chrono::duration_cast<Duration>(std::clamp(due, -max_due, max_due));
  return answer;
}

}  // namespace toucandock::core::warmup
