#ifndef TOUCANDOCK_CORE_REQUEST_ATTEMPT_RULES_H_
#define TOUCANDOCK_CORE_REQUEST_ATTEMPT_RULES_H_

#include <functional>

#include "absl/strings/string_view.h"
#include "core/time.h"

namespace toucandock::core::request {

// How one attempt at a target ended.
enum class AttemptEnd {
  // A whole answer that the target made for this request, other than below.
  kAnswered,
  // A whole answer that says that the target failed.
  kFailedAnswer,
  // The target says that it did not run the request.
  kNotExecuted,
  // Surely not received.
  kNotSent,
  // The connection ended, or what came is not the whole answer of the target.
  kBroken,
};

struct AttemptSummary {
  AttemptEnd end = AttemptEnd::kAnswered;
  bool idempotent = false;
  // Some earlier attempt may have run the request.
  bool may_have_run = false;
  // Attempts that were sent, this one included.
  int attempts = 0;
  int max_attempts = 1;
  Duration time_left{};
  // Time that a further attempt is expected to take.
  Duration expected{};
};

enum class AttemptDecision {
  kDeliver,
  kRetry,
  // "Not run, and never will be."
  kRefuse,
  // The outcome is unknown to the caller.
  kFail,
};

bool MayHaveRun(AttemptEnd end);

absl::string_view ToString(AttemptEnd end);

absl::string_view ToString(AttemptDecision next);

AttemptDecision DecideAfterAttempt(const AttemptSummary& summary,
                                   const std::function<bool()>& take_retry);

}  // namespace toucandock::core::request

#endif  // TOUCANDOCK_CORE_REQUEST_ATTEMPT_RULES_H_
