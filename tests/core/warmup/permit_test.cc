#include <doctest/doctest.h>

#include <chrono>
#include <cmath>
#include <limits>
#include <optional>

#include "core/discovery/target_directory.h"
#include "core/warmup/permit_issuer.h"
#include "core/warmup/permit_pool.h"
#include "core/warmup/target_returns.h"

namespace toucandock::core::warmup {
namespace {

using discovery::TargetInstance;
using std::chrono::milliseconds;
using std::chrono::seconds;

const TargetInstance kTarget{.id = "t", .start_time_ms = 1};
const TargetInstance kOther{.id = "u", .start_time_ms = 1};
constexpr TimePoint kStart{seconds(1'000)};
// After the wait of a leader that took over at kStart.
constexpr TimePoint kReady = kStart + milliseconds(3'200);

PermitQuestion Question(std::uint32_t wanted,
                        const TargetInstance& target = kTarget) {
  return {.id = 5, .instance = target, .wanted = wanted};
}

}  // namespace

// Guards against permits of two leaders at a time, and against more permits
// than a cold target can bear.
TEST_CASE("a leader must issue what a cold target can bear, and no more") {
  PermitIssuer issuer({}, {});
  issuer.SetRates({{kTarget, 10}, {kOther, -1}}, kStart);
  const auto issue = [&](const PermitQuestion& question, TimePoint now,
                         const char* asker = "h") {
    const auto answer = issuer.Issue(question, asker, now);
    return answer ? static_cast<int>(answer->issued) : -1;
  };
  const auto confirm = [&](TimePoint at) { issuer.OnLeadership(true, at, at); };

  SUBCASE("a host that is not the leader does not answer") {
    CHECK(issue(Question(1), kReady) == -1);
  }

  SUBCASE("a new leader first waits for the permits of its predecessor") {
    confirm(kStart);
    confirm(kStart + milliseconds(1'000));
    confirm(kStart + milliseconds(2'000));
    const auto early = issuer.Issue(Question(1), "h", kReady - milliseconds(1));
    REQUIRE(early);
    CHECK(early->issued == 0);
    CHECK(early->next_due == milliseconds(1));
    CHECK(issue(Question(1), kReady) == 1);

    SUBCASE("and issues nothing once its confirmation is too old") {
      CHECK(issue(Question(1), kStart + milliseconds(3'599)) == 1);
      CHECK(issue(Question(1), kStart + milliseconds(3'600)) == 0);
      SUBCASE("and waits again if it is confirmed after that") {
        const TimePoint back = kStart + milliseconds(3'700);
        confirm(back);
        CHECK(issue(Question(1), back + milliseconds(1'500)) == 0);
        CHECK_FALSE(issuer.IsIssuing(back + milliseconds(1'500)));
      }
    }
    SUBCASE("and stops at once when the store chooses another host") {
      issuer.OnLeadership(false, kReady, kReady);
      CHECK(issue(Question(1), kReady) == -1);
    }
  }

  SUBCASE("a leader that may issue") {
    for (int n = 0; n <= 4; ++n) {
      confirm(kStart + n * milliseconds(800));
    }
    SUBCASE("issues the burst at once and then the rate") {
      CHECK(issue(Question(16), kReady) == 8);
      CHECK(issue(Question(16), kReady + milliseconds(99)) == 0);
      CHECK(issue(Question(16), kReady + milliseconds(301)) == 3);
      SUBCASE("and says when the next permit is due, behind other hosts") {
        const TimePoint now = kReady + milliseconds(301);
        const auto first = issuer.Issue(Question(4), "a", now);
        CHECK(first->next_due > milliseconds(80));
        // Four of host a and, until it counts as gone, 13 of host h.
        const auto second = issuer.Issue(Question(1), "b", now);
        CHECK(second->next_due > milliseconds(1'700));
        confirm(now);
        const auto later =
            issuer.Issue(Question(1), "b", now + milliseconds(301));
        CHECK(later->issued == 1);
        CHECK(later->next_due < milliseconds(0));
      }
    }
    SUBCASE("keeps the bucket of a target that is restarted or listed again") {
      CHECK(issue(Question(16), kReady) == 8);
      const TargetInstance restarted{.id = "t", .start_time_ms = 2};
      issuer.SetRates({}, kReady);
      CHECK(issue(Question(1), kReady) == 0);
      issuer.SetRates({{restarted, 10}}, kReady);
      CHECK(issue(Question(1, restarted), kReady) == 0);
      CHECK(issue(Question(1), kReady) == 0);
    }
    SUBCASE("issues nothing for odd rates and unknown targets") {
      CHECK(issue(Question(1, kOther), kReady) == 0);
      CHECK(issue(Question(1, {.id = "x"}), kReady) == 0);
    }
  }
}

// Guards against a bound that is exceeded with a small overage or an odd rate.
TEST_CASE("the limit of permits must stay below the bound on arrivals") {
  constexpr Duration kWindow = milliseconds(1'200);
  for (const double rate : {0.01, 0.5, 7.2, 100.0, 1e6}) {
    for (const double overage : {1.0, 1.1, 1.2, 1.5, 3.0}) {
      for (const double tolerance : {0.0, 0.5, 1.0, 8.0, 100.0}) {
        CAPTURE(rate);
        CAPTURE(overage);
        CAPTURE(tolerance);
        const BucketLimit limit = LimitFor(
            rate, {.overage = overage, .tolerance = tolerance}, kWindow);
        CHECK(limit.burst + 1.2 * limit.permits_per_second <=
              std::max(rate * overage + tolerance, 0.0) + 1e-6);
        CHECK(limit.permits_per_second <= rate);
      }
    }
  }
  const double nan = std::nan("");
  for (const double rate :
       {0.0, -5.0, nan, std::numeric_limits<double>::infinity()}) {
    CHECK(LimitFor(rate, {}, kWindow).permits_per_second == 0);
    CHECK(LimitFor(rate, {}, kWindow).burst == 0);
  }
}

// Guards against permits that are used twice or after their time, and against
// hosts that ask too often or not at all.
TEST_CASE("a host must use each permit once and in time") {
  PermitPool pool({}, 5);
  const auto answer = [&](std::uint64_t question, std::uint32_t issued,
                          TimePoint now, Duration due = {}) {
    return pool.OnGranted(
        {.question = question, .issued = issued, .next_due = due}, now);
  };
  const auto after = [](int ms) { return kStart + milliseconds(ms); };
  CHECK(pool.Wanted(kStart).empty());
  CHECK_FALSE(pool.NextQuestionAt());
  for (int n = 0; n < 3; ++n) {
    pool.Await(kTarget);
  }
  const auto questions = pool.Wanted(kStart);
  REQUIRE(questions.size() == 1);
  CHECK(questions[0] == Question(3));

  SUBCASE("an answer permits as many requests as were asked for at most") {
    CHECK(answer(5, 9, after(5)) == kTarget);
    for (int n = 0; n < 3; ++n) {
      CHECK(pool.Take(kTarget, after(6)) == after(100));
      pool.StopAwaiting(kTarget);
    }
    CHECK_FALSE(pool.Take(kTarget, after(6)));
    CHECK_FALSE(pool.Take(kOther, after(6)));
    SUBCASE("and a second copy of it none") {
      CHECK_FALSE(answer(5, 3, after(7)));
      CHECK_FALSE(pool.Take(kTarget, after(7)));
    }
  }
  SUBCASE("permits expire 100 ms after the question") {
    answer(5, 3, after(90));
    CHECK(pool.HasPermit(kTarget, after(99)));
    CHECK_FALSE(pool.HasPermit(kTarget, after(100)));
    CHECK_FALSE(pool.Take(kTarget, after(100)));
    CHECK(pool.counts() == PermitCounts{.asked = 3, .issued = 3, .expired = 3});
    SUBCASE("and answers to unknown or old questions have no effect") {
      CHECK_FALSE(answer(4, 3, after(101)));
      CHECK_FALSE(answer(5, 3, after(101)));
    }
  }
  SUBCASE("without an answer, the host asks again after 60 ms") {
    CHECK(pool.Wanted(after(59)).empty());
    CHECK(pool.NextQuestionAt() == after(60));
    CHECK(pool.Wanted(after(60)).size() == 1);
    SUBCASE("and after 250 ms it counts the leader as lost") {
      pool.Wanted(after(120));
      pool.Wanted(after(180));
      CHECK(pool.DueAt(kTarget, 0, 10, after(249)) == after(249));
      CHECK(pool.DueAt(kTarget, 0, 10, after(250)) == after(3'200));
      SUBCASE("until it answers") {
        answer(8, 0, after(251), milliseconds(70));
        CHECK(pool.DueAt(kTarget, 0, 10, after(260)) == after(321));
        CHECK(pool.DueAt(kTarget, 2, 10, after(260)) == after(521));
      }
      SUBCASE("or a second later, so that it is asked again") {
        CHECK(pool.DueAt(kTarget, 0, 10, after(1'200)) == after(1'200));
      }
    }
  }
  SUBCASE("a leader without permits is asked when the next one is due") {
    answer(5, 0, after(5), milliseconds(150));
    CHECK(pool.Wanted(after(149)).empty());
    CHECK(pool.Wanted(after(150)).size() == 1);
  }
  SUBCASE("no permit is ever due at a rate of 0") {
    CHECK(pool.DueAt(kTarget, 0, 0, after(1)) == TimePoint::max());
    CHECK(pool.DueAt(kTarget, 9, 1e-300, after(1)) == after(1));
  }
  SUBCASE("at most 16 permits are asked for at a time, in turn") {
    for (int n = 0; n < 20; ++n) {
      pool.Await(kOther);
    }
    const auto more = pool.Wanted(after(10));
    REQUIRE(more.size() == 1);
    CHECK(more[0].wanted == 13);
    CHECK(pool.NextQuestionAt() == after(60));
    const auto next = pool.Wanted(after(60));
    REQUIRE(next.size() == 1);
    CHECK(next[0].instance == kTarget);
  }
}

// Guards against a target that is overloaded because its restart was noticed by
// a host before its entry shows it.
TEST_CASE("a target that was unreachable must count as cold when it returns") {
  TargetReturns returns;
  const auto list = [&](std::optional<std::uint64_t> sequence) {
    returns.OnListChanged([&](const TargetInstance&) { return sequence; });
  };
  CHECK_FALSE(returns.OnAccepted(kTarget, seconds(3), kStart));
  CHECK_FALSE(returns.ColdUntil(kTarget, kStart));
  returns.OnUnreachable(kTarget, 7);
  CHECK_FALSE(returns.ColdUntil(kTarget, kStart));
  CHECK(returns.OnAccepted(kTarget, seconds(3), kStart));
  CHECK(returns.ColdUntil(kTarget, kStart) == kStart + seconds(3));

  SUBCASE("once for each return") {
    CHECK_FALSE(returns.OnAccepted(kTarget, seconds(3), kStart + seconds(1)));
    CHECK(returns.ColdUntil(kTarget, kStart) == kStart + seconds(3));
  }
  SUBCASE("until its time is over") {
    CHECK_FALSE(returns.ColdUntil(kTarget, kStart + seconds(3)));
  }
  SUBCASE("or until its next entry") {
    list(7);
    CHECK(returns.ColdUntil(kTarget, kStart));
    list(8);
    CHECK_FALSE(returns.ColdUntil(kTarget, kStart));
  }
  SUBCASE("or until it is no longer listed") {
    list(std::nullopt);
    CHECK_FALSE(returns.ColdUntil(kTarget, kStart));
  }
  SUBCASE("or for as long as it says itself") {
    returns.OnReported(kTarget, milliseconds(0), kStart);
    CHECK_FALSE(returns.ColdUntil(kTarget, kStart));
  }
}

}  // namespace toucandock::core::warmup
