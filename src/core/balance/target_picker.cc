#include "core/balance/target_picker.h"

#include <algorithm>

namespace toucandock::core::balance {
namespace {

// Scores are increased at random by up to this fraction, so that hosts with the
// same information do not all choose the same target.
constexpr double kSpread = 0.15;

FloatSeconds ExpectedTime(const PickCandidate& it,
                          const PickRequest& request,
                          const PickOptions& options,
                          TimePoint now) {
  FloatSeconds time = it.load->AnswerTime(request.typical_time, now);
  if (it.cold) {
    time *= options.cold_factor;
  }
  const double queued = it.load->Estimate(now) + 1 - it.slots;
  // The smoothed time includes queueing; only a longer queue adds to it.
  return time * (1.0 + std::max(0.0, queued) / it.slots);
}

}  // namespace

double MaxRequests(std::uint32_t slots, const PickOptions& options) {
  return slots * (1.0 + options.queue_factor);
}

bool HasCapacity(const PickCandidate& it,
                 const PickOptions& options,
                 TimePoint now) {
  const double max_requests = MaxRequests(it.slots, options);
  return it.load->Estimate(now) <
         std::min(max_requests, it.max_requests.value_or(max_requests));
}

// Chooses the target that is expected to respond first. Prefers targets in the
// same failure domain, targets to which the request was not sent before, and
// targets without recent failures.
int PickTarget(const std::vector<PickCandidate>& candidates,
               const PickRequest& request,
               const PickOptions& options,
               std::uint64_t random,
               TimePoint now) {
  const double goal =
      std::chrono::duration<double>(request.latency_goal).count();
  int best = -1;
  double best_score = 0;
  for (size_t i = 0; i < candidates.size(); ++i) {
    const PickCandidate& it = candidates[i];
    const double seconds = ExpectedTime(it, request, options, now).count();
    if (it.load->IsPaused(now)) {
      continue;
    }
    if (it.load->IsSuspect() &&
        (it.load->in_flight() > 0 || !request.idempotent)) {
      continue;
    }
    if (!HasCapacity(it, options, now)) {
      continue;
    }
    random = random * 6364136223846793005ULL + 1442695040888963407ULL;
    const double spread =
        1.0 + kSpread * static_cast<double>(random >> 40) / (1 << 24);
    double score = seconds * spread +
                   goal * options.failure_cost * it.load->FailureRate(now);
    if (!it.same_domain) {
      score += goal * options.domain_preference;
    }
    if (it.tried) {
      score += 10 * goal;
    }
    if (best < 0 || score < best_score) {
      best = static_cast<int>(i);
      best_score = score;
    }
  }
  return best;
}

}  // namespace toucandock::core::balance
