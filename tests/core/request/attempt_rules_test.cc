#include "core/request/attempt_rules.h"

#include <doctest/doctest.h>

namespace toucandock::core::request {

TEST_CASE("callers must learn what happened, and nothing may run twice") {
  AttemptFacts facts{.attempts = 1,
                     .max_attempts = 2,
                     .time_left = std::chrono::milliseconds(500)};
  int taken = 0;
  bool allowed = true;
  const auto decide = [&] {
    return DecideAfterAttempt(facts, [&] {
      taken++;
      return allowed;
    });
  };

  SUBCASE("a request that must not be repeated") {
    facts.idempotent = false;
    SUBCASE("broke off: the outcome is unknown") {
      facts.end = AttemptEnd::kBroken;
      CHECK(decide() == AttemptDecision::kFail);
      CHECK(taken == 0);
    }
    SUBCASE("failed: its answer is passed on") {
      facts.end = AttemptEnd::kFailedAnswer;
      CHECK(decide() == AttemptDecision::kDeliver);
    }
    SUBCASE("was refused: it goes to another target") {
      facts.end = AttemptEnd::kNotExecuted;
      CHECK(decide() == AttemptDecision::kRetry);
      SUBCASE("unless the retries are used up: then not run is true") {
        allowed = false;
        CHECK(decide() == AttemptDecision::kRefuse);
      }
    }
  }

  SUBCASE("a request that may be repeated") {
    facts.idempotent = true;
    SUBCASE("broke off: it goes to another target") {
      facts.end = AttemptEnd::kBroken;
      CHECK(decide() == AttemptDecision::kRetry);
    }
    SUBCASE("was refused after an earlier attempt that may have run") {
      facts.end = AttemptEnd::kNotExecuted;
      facts.may_have_run = true;
      facts.attempts = 2;
      CHECK(decide() == AttemptDecision::kFail);
    }
    SUBCASE("has no time left") {
      facts.end = AttemptEnd::kBroken;
      facts.time_left = {};
      CHECK(decide() == AttemptDecision::kFail);
      CHECK(taken == 0);
    }
  }

  SUBCASE("an attempt that was not sent uses no retry") {
    facts.end = AttemptEnd::kNotSent;
    facts.attempts = 2;
    CHECK(decide() == AttemptDecision::kRetry);
    CHECK(taken == 0);
  }
}

}  // namespace toucandock::core::request
