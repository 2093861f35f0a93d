#include "core/request/request_lifecycle.h"

#include <doctest/doctest.h>

namespace toucandock::core::request {
namespace {

constexpr TimePoint kStart{std::chrono::seconds(100)};
constexpr TimePoint kDeadline = kStart + std::chrono::seconds(1);

RequestLifecycle MakeLifecycle(bool idempotent) {
  return RequestLifecycle({.idempotent = idempotent, .deadline = kDeadline},
                          RetryOptions{}, 1);
}

}  // namespace

TEST_CASE(
    "a non-idempotent request must not be sent again if it may have run") {
  RequestLifecycle lifecycle = MakeLifecycle(false);
  REQUIRE(lifecycle.OnRoute(RouteResult::kReady, kStart).step ==
          NextStep::kRecord);
  REQUIRE(lifecycle.OnRecord(RecordResult::kRecorded, kStart).step ==
          NextStep::kSend);

  struct Row {
    const char* what;
    AttemptResult result;
    NextStep step;
    ErrorKind error;
    Outcome outcome;
  };
  const Row rows[] = {
      {"the target refused the connect",
       {AttemptStage::kNotConnected},
       NextStep::kWait,
       ErrorKind::kNone,
       Outcome::kNotRun},
      {"the connection broke before anything was written",
       {AttemptStage::kConnected},
       NextStep::kWait,
       ErrorKind::kNone,
       Outcome::kNotRun},
      {"the target reports that it did not run it",
       {.stage = AttemptStage::kComplete, .refused_by_target = true},
       NextStep::kWait,
       ErrorKind::kNone,
       Outcome::kNotRun},
      {"part of the request was written",
       {AttemptStage::kSending},
       NextStep::kRefuse,
       ErrorKind::kOutcomeUnknown,
       Outcome::kUnknown},
      {"it was sent and no response came",
       {AttemptStage::kSent},
       NextStep::kRefuse,
       ErrorKind::kOutcomeUnknown,
       Outcome::kUnknown},
      {"the response was cut off",
       {AttemptStage::kHeadersReceived},
       NextStep::kRefuse,
       ErrorKind::kAnswerIncomplete,
       Outcome::kRan},
      {"the response is complete",
       {AttemptStage::kComplete},
       NextStep::kReturnResponse,
       ErrorKind::kNone,
       Outcome::kRan},
  };
  for (const Row& row : rows) {
    SUBCASE(row.what) {
      const Decision decision = lifecycle.OnAttempt(row.result, true, kStart);
      CHECK(decision.step == row.step);
      CHECK(decision.error == row.error);
      CHECK(decision.outcome == row.outcome);
    }
  }
}

// A lost owner refuses connections until its keys have a new owner. Such
// attempts must not use up the limit, since they put no load on a target.
TEST_CASE("a request must not be given up while its lost owner is replaced") {
  RequestLifecycle lifecycle = MakeLifecycle(false);
  lifecycle.OnRoute(RouteResult::kReady, kStart);
  lifecycle.OnRecord(RecordResult::kRecorded, kStart);

  SUBCASE("the owner refuses connects more often than attempts are allowed") {
    for (int n = 0; n < 2 * RetryOptions{}.max_attempts; ++n) {
      REQUIRE(lifecycle.OnAttempt({AttemptStage::kNotConnected}, true, kStart)
                  .step == NextStep::kWait);
    }

    SUBCASE("and the deadline passes") {
      const Decision decision =
          lifecycle.OnAttempt({AttemptStage::kNotConnected}, true, kDeadline);
      CHECK(decision.step == NextStep::kRefuse);
      CHECK(decision.outcome == Outcome::kNotRun);
    }
  }

  SUBCASE("the owner sheds every attempt, which costs it work") {
    Decision decision;
    for (int n = 0; n < RetryOptions{}.max_attempts; ++n) {
      decision = lifecycle.OnAttempt(
          {.stage = AttemptStage::kComplete, .refused_by_target = true}, true,
          kStart);
    }
    CHECK(decision.step == NextStep::kRefuse);
  }
}

// A caller that is told not-run sends the request again, so that it would run
// twice.
TEST_CASE("not-run must not be reported after an attempt that may have run") {
  RequestLifecycle lifecycle = MakeLifecycle(true);
  REQUIRE(lifecycle.OnRoute(RouteResult::kReady, kStart).step ==
          NextStep::kSend);

  SUBCASE("an idempotent request was sent and its target was lost") {
    REQUIRE(lifecycle.OnAttempt({AttemptStage::kSent}, true, kStart).step ==
            NextStep::kWait);

    SUBCASE("no owner is found until the deadline") {
      const Decision decision =
          lifecycle.OnRoute(RouteResult::kNoOwner, kDeadline);
      CHECK(decision.error == ErrorKind::kOwnerUnavailable);
      CHECK(decision.outcome == Outcome::kUnknown);
    }
  }

  SUBCASE("nothing was ever sent") {
    const Decision decision =
        lifecycle.OnRoute(RouteResult::kNoOwner, kDeadline);
    CHECK(decision.outcome == Outcome::kNotRun);
  }
}

TEST_CASE("work that was shed must not be sent again into the same overload") {
  RequestLifecycle lifecycle = MakeLifecycle(true);
  REQUIRE(lifecycle.OnRoute(RouteResult::kReady, kStart).step ==
          NextStep::kSend);

  SUBCASE("the queue in front of the target shed it") {
    const Decision decision =
        lifecycle.OnAttempt({.overloaded = true}, true, kStart);
    CHECK(decision.step == NextStep::kRefuse);
    CHECK(decision.error == ErrorKind::kOverloaded);
    CHECK(decision.outcome == Outcome::kNotRun);
  }

  SUBCASE("the target shed it") {
    const AttemptResult shed = {.stage = AttemptStage::kComplete,
                                .refused_by_target = true,
                                .overloaded = true};
    CHECK(lifecycle.OnAttempt(shed, true, kStart).step == NextStep::kWait);

    SUBCASE("and the retry budget is used up") {
      const Decision decision = lifecycle.OnAttempt(shed, false, kStart);
      CHECK(decision.error == ErrorKind::kOverloaded);
      CHECK(decision.outcome == Outcome::kNotRun);
    }
  }

  SUBCASE("an earlier attempt may have run, and the queue shed the next") {
    lifecycle.OnAttempt({AttemptStage::kSent}, true, kStart);
    const Decision decision =
        lifecycle.OnAttempt({.overloaded = true}, true, kStart);
    CHECK(decision.error == ErrorKind::kOverloaded);
    CHECK(decision.outcome == Outcome::kUnknown);
  }
}

// A resend through another host would not find the attempt and would run the
// request again.
TEST_CASE("a request whose attempt is not recorded must not be sent") {
  RequestLifecycle lifecycle = MakeLifecycle(false);
  REQUIRE(lifecycle.OnRoute(RouteResult::kReady, kStart).step ==
          NextStep::kRecord);

  struct Row {
    const char* what;
    RecordResult result;
    ErrorKind error;
    Outcome outcome;
  };
  const Row rows[] = {
      {"an earlier arrival may have run", RecordResult::kDuplicate,
       ErrorKind::kDuplicateRequest, Outcome::kUnknown},
      {"an earlier arrival ran", RecordResult::kDuplicateRan,
       ErrorKind::kDuplicateRequest, Outcome::kRan},
      {"the id belongs to another request", RecordResult::kReusedId,
       ErrorKind::kMalformedRequest, Outcome::kNotRun},
  };
  for (const Row& row : rows) {
    SUBCASE(row.what) {
      const Decision decision = lifecycle.OnRecord(row.result, kStart);
      CHECK(decision.step == NextStep::kRefuse);
      CHECK(decision.error == row.error);
      CHECK(decision.outcome == row.outcome);
    }
  }

  SUBCASE("a registry host does not respond") {
    const Decision decision = lifecycle.OnRecord(RecordResult::kFailed, kStart);
    CHECK(decision.step == NextStep::kWait);
    CHECK(decision.until > kStart);
    CHECK(decision.until <= kDeadline);

    SUBCASE("it is evicted: the attempt is recorded before it is sent") {
      CHECK(lifecycle.OnRoute(RouteResult::kReady, kStart).step ==
            NextStep::kRecord);
      CHECK(lifecycle.OnRecord(RecordResult::kRecorded, kStart).step ==
            NextStep::kSend);
    }

    SUBCASE("the deadline passes") {
      const Decision refusal =
          lifecycle.OnRecord(RecordResult::kFailed, kDeadline);
      CHECK(refusal.error == ErrorKind::kAttemptNotRecorded);
      CHECK(refusal.outcome == Outcome::kNotRun);
    }
  }
}

TEST_CASE(
    "a refused or abandoned request must not be reported not-run if sent") {
  RequestLifecycle lifecycle = MakeLifecycle(true);
  lifecycle.OnRoute(RouteResult::kReady, kStart);

  SUBCASE("its content is refused before it was sent") {
    CHECK(lifecycle.OnPoison(false).outcome == Outcome::kNotRun);
  }
  SUBCASE("its id is refused, so it was sent before") {
    CHECK(lifecycle.OnPoison(true).outcome == Outcome::kUnknown);
  }
  SUBCASE("it is refused after it crashed its target") {
    lifecycle.OnAttempt({AttemptStage::kSent}, true, kStart);
    CHECK(lifecycle.OnPoison(false).outcome == Outcome::kUnknown);
  }
  SUBCASE("its caller left before it was sent") {
    const Decision decision = lifecycle.OnAttempt(
        {.stage = AttemptStage::kConnected, .caller_gone = true}, true, kStart);
    CHECK(decision.error == ErrorKind::kCallerGone);
    CHECK(decision.outcome == Outcome::kNotRun);
  }
  SUBCASE("its caller left after it was sent") {
    const Decision decision = lifecycle.OnAttempt(
        {.stage = AttemptStage::kSent, .caller_gone = true}, true, kStart);
    CHECK(decision.error == ErrorKind::kCallerGone);
    CHECK(decision.outcome == Outcome::kUnknown);
  }
}

}  // namespace toucandock::core::request
