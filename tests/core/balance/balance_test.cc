#include <doctest/doctest.h>

#include "core/balance/reported_load.h"
#include "core/balance/retry_window.h"
#include "core/balance/target_load.h"
#include "core/balance/target_picker.h"

namespace toucandock::core::balance {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr TimePoint kStart{seconds(100)};

}  // namespace

TEST_CASE("retries of all hosts together must stay within the budget") {
  constexpr int kHosts = 12;
  const RetryWindowOptions options{.ratio = 0.2, .slack = 64};
  RetryWindow window(options);

  SUBCASE("without requests, a host may use its part of the slack") {
    int retries = 0;
    while (window.TryRetry(kHosts, kStart)) {
      retries++;
    }
    CHECK(retries * kHosts <= 64);
    CHECK(retries > 0);
  }

  SUBCASE("with requests, a host may also use their ratio") {
    for (int i = 0; i < 1'000; ++i) {
      window.OnRequest(kStart);
    }
    int retries = 0;
    while (window.TryRetry(kHosts, kStart)) {
      retries++;
    }
    CHECK(retries <= 200 + 64 / kHosts);
    CHECK(retries > 100);

    SUBCASE("the window slides") {
      CHECK_FALSE(window.TryRetry(kHosts, kStart + seconds(9)));
      CHECK(window.TryRetry(kHosts, kStart + seconds(11)));
    }
  }
}

TEST_CASE("requests must go to the target that responds first") {
  const TargetLoadOptions load_options;
  const PickOptions options;
  TargetLoad near(load_options);
  TargetLoad far(load_options);
  const PickRequest request{.idempotent = true,
                            .latency_goal = milliseconds(600)};
  std::vector<PickCandidate> candidates{
      {.load = &near, .slots = 4, .same_domain = true},
      {.load = &far, .slots = 4}};
  const auto pick = [&](std::uint64_t random = 1) {
    return PickTarget(candidates, request, options, random, kStart);
  };
  CHECK(pick() == 0);

  SUBCASE("the near target has a long queue") {
    for (int i = 0; i < 9; ++i) {
      near.OnSent();
    }
    CHECK(pick() == 1);
  }

  SUBCASE("the near target has become slow") {
    for (int i = 0; i < 20; ++i) {
      near.OnSent();
      near.OnEnd(AttemptHealth::kGood, milliseconds(950), kStart);
    }
    CHECK(pick() == 1);
  }

  SUBCASE("the near target fails part of its requests") {
    near.OnSent();
    near.OnEnd(AttemptHealth::kFailed, milliseconds(5), kStart);
    CHECK(pick() == 1);

    SUBCASE("it is tried again later") {
      CHECK(PickTarget(candidates, request, options, 1, kStart + seconds(4)) ==
            0);
    }
  }

  SUBCASE("the near target cannot be reached") {
    near.OnSent();
    near.OnEnd(AttemptHealth::kUnreachable, milliseconds(1), kStart);
    CHECK(pick() == 1);

    SUBCASE("after the pause, one idempotent request tries it") {
      const TimePoint later = kStart + milliseconds(400);
      CHECK(PickTarget(candidates, request, options, 1, later) == 0);
      near.OnSent();
      CHECK(PickTarget(candidates, request, options, 1, later) == 1);
    }
  }

  SUBCASE("the request was tried there before") {
    candidates[0].tried = true;
    CHECK(pick() == 1);
  }

  SUBCASE("no target has capacity") {
    for (int i = 0; i < 10; ++i) {
      near.OnSent();
      far.OnSent();
    }
    CHECK(pick() == -1);
  }

  SUBCASE("several hosts share a target: its reported load counts") {
    near.OnSent();
    near.OnReport(12, kStart);
    CHECK(pick() == 1);
  }
}

// Guards against leaving a nearly idle target alone because it refuses requests
// for another reason than load: on one day, targets that reported 0 to 3 of 4
// slots refused 12,654 requests, and each refusal paused them for 150 ms.
TEST_CASE("a refusal pauses a target only if it may be full") {
  constexpr std::uint32_t kListedSlots = 4;
  TargetLoad load(TargetLoadOptions{});
  const auto refuse = [&](absl::string_view report) {
    load.OnSent();
    load.OnEnd(HealthOfRefusal(true, ParseReportedLoad(report), kListedSlots),
               milliseconds(2), kStart);
    return load.IsPaused(kStart + milliseconds(149));
  };

  SUBCASE("it reports free slots: it stays in use") {
    CHECK_FALSE(refuse("0,0,4"));
    CHECK_FALSE(refuse("3,0,4"));
    CHECK_FALSE(refuse("3,0,4,250"));
    SUBCASE("also by the slots of its entry") {
      CHECK_FALSE(refuse("3,0"));
    }
    SUBCASE("other targets are preferred, since it may refuse again") {
      CHECK(load.FailureRate(kStart) > 0.2);
    }
  }
  SUBCASE("all slots are busy") {
    CHECK(refuse("4,0,4"));
  }
  SUBCASE("its queue is full") {
    CHECK(refuse("4,16,4"));
  }
  SUBCASE("by its own report it has fewer slots than listed") {
    CHECK(refuse("2,0,2"));
  }
  SUBCASE("it reports no load, or none that can be read") {
    const char* report = "";
    SUBCASE("no report") {}
    SUBCASE("one figure") {
      report = "1";
    }
    SUBCASE("negative figures") {
      report = "-3,0,4";
    }
    SUBCASE("a figure that no target can mean") {
      report = "0,2000000000,4";
    }
    SUBCASE("text") {
      report = "a,b,c";
    }
    CHECK(refuse(report));
  }
  SUBCASE("it refuses for another reason than overload: as before") {
    CHECK(HealthOfRefusal(false, ParseReportedLoad("0,0,4"), kListedSlots) ==
          AttemptHealth::kFailed);
  }
}

// With a hot key, many hosts send requests to one owner, which resets
// connections beyond its limit. Immediate retries would use up the attempts of
// a request within a millisecond.
TEST_CASE("a target that rejects connections must not be retried immediately") {
  TargetLoad load(TargetLoadOptions{});
  const auto reject = [&](TimePoint at) {
    load.OnSent();
    load.OnEnd(AttemptHealth::kRejected, milliseconds(1), at);
  };
  reject(kStart);
  CHECK(load.IsPaused(kStart + milliseconds(99)));
  CHECK_FALSE(load.IsPaused(kStart + milliseconds(100)));
  // The target is reachable, so several requests at a time may be sent to it.
  CHECK_FALSE(load.IsSuspect());

  SUBCASE("and the pause doubles with each rejection") {
    reject(kStart);
    CHECK(load.IsPaused(kStart + milliseconds(199)));
    for (int i = 0; i < 10; ++i) {
      reject(kStart);
    }
    CHECK(load.IsPaused(kStart + milliseconds(799)));
    CHECK_FALSE(load.IsPaused(kStart + milliseconds(800)));
  }
  SUBCASE("until it responds") {
    load.OnSent();
    load.OnEnd(AttemptHealth::kGood, milliseconds(200), kStart);
    reject(kStart + seconds(1));
    CHECK_FALSE(load.IsPaused(kStart + seconds(1) + milliseconds(100)));
  }
}

}  // namespace toucandock::core::balance
