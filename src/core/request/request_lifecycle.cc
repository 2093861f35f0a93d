#include "core/request/request_lifecycle.h"

#include <algorithm>

namespace toucandock::core::request {
namespace {

// Keeps the shift below the width of its type.
constexpr int kMaxDoublings = 20;

ErrorKind KindOf(RouteResult result) {
  switch (result) {
    case RouteResult::kReady:
      return ErrorKind::kNone;
    case RouteResult::kNoOwner:
      return ErrorKind::kOwnerUnavailable;
    case RouteResult::kNoAuthority:
      return ErrorKind::kNoAuthority;
    case RouteResult::kNotConfigured:
      return ErrorKind::kNotConfigured;
  }
  return ErrorKind::kInternal;
}

}  // namespace

RequestLifecycle::RequestLifecycle(const RequestProperties& properties,
                                   const RetryOptions& options,
                                   std::uint64_t random)
    : properties_(properties), options_(options), random_(random) {}

Decision RequestLifecycle::Start(TimePoint now) const {
  if (now >= properties_.deadline) {
    return Refuse(ErrorKind::kDeadlineExceeded);
  }
  return {.step = NextStep::kRoute};
}

// If there is no owner, the request waits for a new routing snapshot, since a
// lost owner is replaced within a second, well before most deadlines.
Decision RequestLifecycle::OnRoute(RouteResult result, TimePoint now) {
  if (now >= properties_.deadline) {
    return Refuse(result == RouteResult::kReady ? ErrorKind::kDeadlineExceeded
                                                : KindOf(result));
  }
  if (result == RouteResult::kNotConfigured) {
    return Refuse(ErrorKind::kNotConfigured);
  }
  if (result != RouteResult::kReady) {
    return {.step = NextStep::kWait, .until = properties_.deadline};
  }
  if (!properties_.idempotent && !recorded_) {
    return {.step = NextStep::kRecord};
  }
  return {.step = NextStep::kSend};
}

// A non-idempotent request is sent only after its attempt was recorded, so that
// a resend through another host finds the record. If a host that keeps the
// record is lost, the request waits until that host is evicted.
Decision RequestLifecycle::OnRecord(RecordResult result, TimePoint now) const {
  switch (result) {
    case RecordResult::kRecorded:
      return {.step = NextStep::kSend};
    case RecordResult::kDuplicate:
      return {.step = NextStep::kRefuse,
              .error = ErrorKind::kDuplicateRequest,
              .outcome = Outcome::kUnknown};
    case RecordResult::kDuplicateRan:
      return {.step = NextStep::kRefuse,
              .error = ErrorKind::kDuplicateRequest,
              .outcome = Outcome::kRan};
    case RecordResult::kReusedId:
      return Refuse(ErrorKind::kMalformedRequest);
    case RecordResult::kFailed:
      if (now >= properties_.deadline) {
        return Refuse(ErrorKind::kAttemptNotRecorded);
      }
      return {.step = NextStep::kWait,
              .until = std::min(now + options_.record_backoff,
                                properties_.deadline)};
  }
  return Refuse(ErrorKind::kInternal);
}

// Refuses a request that has reached the crash limit. If it was recognized by
// its id, one of its earlier arrivals ran at least in part, so the outcome is
// unknown.
Decision RequestLifecycle::OnPoison(bool same_request) const {
  Decision decision = Refuse(ErrorKind::kPoisonRequest);
  if (same_request) {
    decision.outcome = Outcome::kUnknown;
  }
  return decision;
}

Decision RequestLifecycle::OnAttempt(const AttemptResult& result,
                                     bool retry_allowed,
                                     TimePoint now) {
  ++attempts_;
  if (result.stage > AttemptStage::kNotConnected) {
    ++connected_attempts_;
  }
  recorded_ = true;
  if (result.stage == AttemptStage::kComplete && !result.refused_by_target) {
    return {.step = NextStep::kReturnResponse, .outcome = Outcome::kRan};
  }
  if (result.caller_gone) {
    may_have_run_ = may_have_run_ || result.stage >= AttemptStage::kSending;
    return {.step = NextStep::kRefuse,
            .error = ErrorKind::kCallerGone,
            .outcome = may_have_run_ ? Outcome::kUnknown : Outcome::kNotRun};
  }
  const bool certainly_not_run =
      result.refused_by_target || result.stage < AttemptStage::kSending;
  if (result.overloaded && !result.refused_by_target) {
    // Another attempt would join the same queue.
    return Refuse(ErrorKind::kOverloaded);
  }
  if (certainly_not_run) {
    return Retry(result.overloaded ? ErrorKind::kOverloaded
                                   : ErrorKind::kOwnerUnavailable,
                 retry_allowed, now);
  }
  may_have_run_ = true;
  if (result.stage >= AttemptStage::kHeadersReceived) {
    const ErrorKind error = result.too_large ? ErrorKind::kAnswerTooLarge
                                             : ErrorKind::kAnswerIncomplete;
    // The target sent response headers, so it ran the request.
    if (!properties_.idempotent || result.too_large) {
      return {
          .step = NextStep::kRefuse, .error = error, .outcome = Outcome::kRan};
    }
    return Retry(error, retry_allowed, now);
  }
  if (!properties_.idempotent) {
    return Refuse(ErrorKind::kOutcomeUnknown);
  }
  return Retry(ErrorKind::kOutcomeUnknown, retry_allowed, now);
}

// Reports "not run" only if no attempt can have run the request.
Decision RequestLifecycle::Refuse(ErrorKind error) const {
  Outcome outcome = AnswerFor(error).outcome;
  if (outcome == Outcome::kNotRun && may_have_run_) {
    outcome = Outcome::kUnknown;
  }
  return {.step = NextStep::kRefuse, .error = error, .outcome = outcome};
}

// Waits with exponential backoff and full jitter before the next attempt. A
// target that does not accept connections may be lost, and its keys get a new
// owner within a second, so such attempts are repeated until the deadline.
Decision RequestLifecycle::Retry(ErrorKind final_error,
                                 bool retry_allowed,
                                 TimePoint now) {
  if (!retry_allowed || connected_attempts_ >= options_.max_attempts) {
    return Refuse(final_error);
  }
  if (now >= properties_.deadline) {
    return Refuse(may_have_run_ ? final_error : ErrorKind::kDeadlineExceeded);
  }
  const int doublings = std::min(attempts_ - 1, kMaxDoublings);
  const Duration max_delay = std::min(
      options_.max_backoff, options_.initial_backoff * (1 << doublings));
  // Numerical Recipes' 64-bit linear congruential generator.
  random_ = random_ * 6364136223846793005U + 1442695040888963407U;
  const Duration wait(
      (random_ >> 32) * static_cast<std::uint64_t>(max_delay.count()) >> 32);
  return {.step = NextStep::kWait,
          .until = std::min(now + wait, properties_.deadline)};
}

}  // namespace toucandock::core::request
