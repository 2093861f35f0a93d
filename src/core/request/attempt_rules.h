#ifndef TOUCANDOCK_CORE_REQUEST_ATTEMPT_RULES_H_
#define TOUCANDOCK_CORE_REQUEST_ATTEMPT_RULES_H_

#include <functional>

#include "absl/strings/string_view.h"
#include "core/time.h"

namespace toucandock::core::request {

// How one attempt at a target ended.
enum class AttemptEnd {
  // The target returned a complete response to this request, and none of the
  // cases below applies.
  kAnswered,
  // The target returned a complete response that reports its own failure.
  kFailedAnswer,
  // The target reported that it did not run the request.
  kNotExecuted,
  // The target definitely did not receive the request.
  kNotSent,
  // The connection ended early, or the received data is not a complete response
  // of the target.
  kBroken,
};

struct AttemptSummary {
  AttemptEnd end = AttemptEnd::kAnswered;
  bool idempotent = false;
  // Some earlier attempt may have run the request.
  bool may_have_run = false;
  // Number of attempts that were sent, including this one.
  int attempts = 0;
  int max_attempts = 1;
  Duration time_left{};
  // Expected duration of another attempt.
  Duration expected{};
};

enum class AttemptDecision {
  // Return the target's response to the caller.
  kDeliver,
  kRetry,
  // Tell the caller that the request was not run and will not be run.
  kRefuse,
  // Tell the caller that the outcome of the request is unknown.
  kFail,
};

bool MayHaveRun(AttemptEnd end);

absl::string_view ToString(AttemptEnd end);

absl::string_view ToString(AttemptDecision next);

AttemptDecision DecideAfterAttempt(const AttemptSummary& summary,
                                   const std::function<bool()>& take_retry);

}  // namespace toucandock::core::request

#endif  // TOUCANDOCK_CORE_REQUEST_ATTEMPT_RULES_H_
