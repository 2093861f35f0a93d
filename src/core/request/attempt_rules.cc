#include "core/request/attempt_rules.h"

namespace toucandock::core::request {

bool MayHaveRun(AttemptEnd end) {
  return end == AttemptEnd::kAnswered || end == AttemptEnd::kFailedAnswer ||
         end == AttemptEnd::kBroken;
}

absl::string_view ToString(AttemptEnd end) {
  switch (end) {
    case AttemptEnd::kAnswered:
      return "answered";
    case AttemptEnd::kFailedAnswer:
      return "failed-answer";
    case AttemptEnd::kNotExecuted:
      return "not-executed";
    case AttemptEnd::kNotSent:
      return "not-sent";
    case AttemptEnd::kBroken:
      return "broken";
  }
  return "";
}

absl::string_view ToString(AttemptDecision next) {
  switch (next) {
    case AttemptDecision::kDeliver:
      return "deliver";
    case AttemptDecision::kRetry:
      return "retry";
    case AttemptDecision::kRefuse:
      return "refuse";
    case AttemptDecision::kFail:
      return "fail";
  }
  return "";
}

// `take_retry` takes one retry from the retry budget of the fleet and returns
// false if none is left. It is called only if all other conditions for a retry
// are met.
AttemptDecision DecideAfterAttempt(const AttemptSummary& summary,
                                   const std::function<bool()>& take_retry) {
  if (summary.end == AttemptEnd::kAnswered) {
    return AttemptDecision::kDeliver;
  }
  const bool ran = summary.may_have_run || MayHaveRun(summary.end);
  const bool repeatable = summary.idempotent || !ran;
  // An attempt that was not sent reached no target, so it neither counts
  // against the attempt limit nor needs a retry from the budget.
  const bool is_below_limit = summary.end == AttemptEnd::kNotSent ||
                              summary.attempts < summary.max_attempts;
  if (repeatable && is_below_limit && summary.expected < summary.time_left &&
      (summary.end == AttemptEnd::kNotSent || take_retry())) {
    return AttemptDecision::kRetry;
  }
  if (summary.end == AttemptEnd::kFailedAnswer) {
    return AttemptDecision::kDeliver;
  }
  return ran ? AttemptDecision::kFail : AttemptDecision::kRefuse;
}

}  // namespace toucandock::core::request
