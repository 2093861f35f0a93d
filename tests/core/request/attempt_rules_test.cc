#include "core/request/attempt_rules.h"

#include <doctest/doctest.h>

namespace toucandock::core::request {

TEST_CASE("callers must learn what happened, and nothing may run twice") {
  AttemptSummary summary{.attempts = 1,
                         .max_attempts = 2,
                         .time_left = std::chrono::milliseconds(500)};
  int retries_taken = 0;
  bool allowed = true;
  const auto decide = [&] {
    return DecideAfterAttempt(summary, [&] {
      retries_taken++;
      return allowed;
    });
  };

  SUBCASE("a request that must not be repeated") {
    summary.idempotent = false;
    SUBCASE("loses its connection: the outcome is unknown") {
      summary.end = AttemptEnd::kBroken;
      CHECK(decide() == AttemptDecision::kFail);
      CHECK(retries_taken == 0);
    }
    SUBCASE("fails: the target's response is returned") {
      summary.end = AttemptEnd::kFailedAnswer;
      CHECK(decide() == AttemptDecision::kDeliver);
    }
    SUBCASE("is refused by the target: another target gets it") {
      summary.end = AttemptEnd::kNotExecuted;
      CHECK(decide() == AttemptDecision::kRetry);
      SUBCASE("unless no retry is left: it is reported as not run") {
        allowed = false;
        CHECK(decide() == AttemptDecision::kRefuse);
      }
    }
  }

  SUBCASE("a request that may be repeated") {
    summary.idempotent = true;
    SUBCASE("loses its connection: another target gets it") {
      summary.end = AttemptEnd::kBroken;
      CHECK(decide() == AttemptDecision::kRetry);
    }
    SUBCASE("is refused after an earlier attempt that may have run") {
      summary.end = AttemptEnd::kNotExecuted;
      summary.may_have_run = true;
      summary.attempts = 2;
      CHECK(decide() == AttemptDecision::kFail);
    }
    SUBCASE("has no time left") {
      summary.end = AttemptEnd::kBroken;
      summary.time_left = {};
      CHECK(decide() == AttemptDecision::kFail);
      CHECK(retries_taken == 0);
    }
  }

  SUBCASE("an attempt that was not sent uses no retry") {
    summary.end = AttemptEnd::kNotSent;
    summary.attempts = 2;
    CHECK(decide() == AttemptDecision::kRetry);
    CHECK(retries_taken == 0);
  }
}

}  // namespace toucandock::core::request
