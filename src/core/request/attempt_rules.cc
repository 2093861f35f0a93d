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

// `take_retry` uses one of the repeated sends that the fleet allows itself; it
// is asked only when a retry would otherwise be right.
AttemptDecision DecideAfterAttempt(const AttemptFacts& facts,
                                   const std::function<bool()>& take_retry) {
  if (facts.end == AttemptEnd::kAnswered) {
    return AttemptDecision::kDeliver;
  }
  const bool ran = facts.may_have_run || MayHaveRun(facts.end);
  const bool repeatable = facts.idempotent || !ran;
  // An attempt that was not sent reached nobody and needs no allowance.
  const bool room =
      facts.end == AttemptEnd::kNotSent || facts.attempts < facts.max_attempts;
  if (repeatable && room && facts.expected < facts.time_left &&
      (facts.end == AttemptEnd::kNotSent || take_retry())) {
    return AttemptDecision::kRetry;
  }
  if (facts.end == AttemptEnd::kFailedAnswer) {
    return AttemptDecision::kDeliver;
  }
  return ran ? AttemptDecision::kFail : AttemptDecision::kRefuse;
}

}  // namespace toucandock::core::request
