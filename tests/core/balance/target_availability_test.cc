#include "core/balance/target_availability.h"

#include <doctest/doctest.h>

#include <string>
#include <vector>

#include "absl/strings/str_cat.h"

namespace toucandock::core::balance {
namespace {

using discovery::TargetInstance;
using std::chrono::hours;
using std::chrono::milliseconds;
using std::chrono::minutes;
using std::chrono::seconds;

constexpr TimePoint kStart{seconds(100)};
const TargetInstance kTarget{.id = "t1", .start_time_ms = 7};
// The same id and, as far as this module is concerned, the same address.
const TargetInstance kRestarted{.id = "t1", .start_time_ms = 8};

Availability At(const TargetAvailability& targets,
                const TargetInstance& target,
                Duration after) {
  return targets.StateOf(target, kStart + after).availability;
}

}  // namespace

// Guards against requests that reach a target after it has declared that it
// leaves.
TEST_CASE("a target that leaves must not get new requests") {
  TargetAvailability targets({});
  CHECK(At(targets, kTarget, seconds(0)) == Availability::kOpen);
  CHECK(targets.OnLeaving(kTarget, kStart));

  SUBCASE("however long it still runs") {
    CHECK(At(targets, kTarget, seconds(0)) == Availability::kLeaving);
    CHECK(At(targets, kTarget, hours(24)) == Availability::kLeaving);
    CHECK(targets.StateOf(kTarget, kStart + hours(1)).since == kStart);
  }
  SUBCASE("and a further declaration is no news") {
    CHECK_FALSE(targets.OnLeaving(kTarget, kStart + seconds(1)));
    CHECK(targets.StateOf(kTarget, kStart).since == kStart);
  }
  SUBCASE("also after a pause for which it asked has ended") {
    CHECK(targets.OnPause(kTarget, seconds(1), 0, kStart).is_later);
    CHECK(targets.TakeEndedPauses(kStart + minutes(1)).size() == 1);
    CHECK(At(targets, kTarget, minutes(1)) == Availability::kLeaving);
  }
  SUBCASE("but another instance with the same id is free") {
    CHECK(At(targets, kRestarted, seconds(0)) == Availability::kOpen);
  }

  SUBCASE("until the instance is gone for good") {
    Listing listing = Listing::kListed;
    const auto change_list = [&](Listing now_listed, Duration after) {
      listing = now_listed;
      targets.OnListChanged(
          [&listing](const TargetInstance&) { return listing; },
          kStart + after);
    };
    SUBCASE("an entry that still lists it as ready does not clear it") {
      change_list(Listing::kListed, hours(1));
      CHECK(At(targets, kTarget, hours(1)) == Availability::kLeaving);
    }
    SUBCASE("nor does an entry that disappears and returns") {
      change_list(Listing::kUnlisted, seconds(1));
      change_list(Listing::kListed, minutes(9));
      change_list(Listing::kUnlisted, minutes(12));
      change_list(Listing::kUnlisted, minutes(21));
      CHECK(At(targets, kTarget, minutes(21)) == Availability::kLeaving);
    }
    SUBCASE("it has not been listed for a long time") {
      change_list(Listing::kUnlisted, seconds(1));
      change_list(Listing::kUnlisted, minutes(11));
      CHECK(targets.size() == 0);
    }
    SUBCASE("a later instance with its id is listed") {
      change_list(Listing::kReplaced, seconds(1));
      CHECK(targets.size() == 0);
    }
  }
}

// Guards against requests that reach a target in the time for which it asked
// for none, and against pauses without end.
TEST_CASE("a target that asked for a pause must get nothing until its end") {
  TargetAvailability targets({});

  SUBCASE("the latest end of several pauses holds") {
    struct Row {
      std::vector<std::pair<Duration, Duration>> answers;  // Time and pause.
      Duration end;
    };
    const std::vector<Row> rows = {
        {{{seconds(0), seconds(2)}}, seconds(2)},
        {{{seconds(0), seconds(2)}, {seconds(1), seconds(2)}}, seconds(3)},
        {{{seconds(0), seconds(5)}, {seconds(1), seconds(2)}}, seconds(5)},
        {{{seconds(0), seconds(5)}, {seconds(1), seconds(0)}}, seconds(5)},
        {{{seconds(0), seconds(1)}, {seconds(3), seconds(1)}}, seconds(4)},
        {{{seconds(0), milliseconds(1)}}, milliseconds(1)},
    };
    for (const Row& row : rows) {
      TargetAvailability it({});
      for (const auto& [at, pause] : row.answers) {
        it.OnPause(kTarget, pause, 0, kStart + at);
      }
      CAPTURE(row.end.count());
      CHECK(At(it, kTarget, row.end - milliseconds(1)) ==
            Availability::kPaused);
      CHECK(At(it, kTarget, row.end) == Availability::kOpen);
    }
  }

  SUBCASE("a pause of zero or less is none") {
    CHECK_FALSE(targets.OnPause(kTarget, seconds(0), 1, kStart).is_later);
    CHECK_FALSE(targets.OnPause(kTarget, seconds(-1), 1, kStart).is_later);
    CHECK(targets.size() == 0);
  }

  SUBCASE("a long one is limited") {
    CHECK_FALSE(targets.OnPause(kTarget, minutes(10), 0, kStart).is_limited);
    const auto result =
        targets.OnPause(kTarget, hours(8'760), 0, kStart + seconds(1));
    CHECK(result.is_limited);
    CHECK(result.until == kStart + seconds(1) + minutes(10));
    CHECK(At(targets, kTarget, minutes(11)) == Availability::kOpen);
  }

  SUBCASE("another target or instance is free") {
    targets.OnPause(kTarget, seconds(5), 0, kStart);
    CHECK(At(targets, kRestarted, seconds(1)) == Availability::kOpen);
    CHECK(At(targets, {.id = "t2", .start_time_ms = 7}, seconds(1)) ==
          Availability::kOpen);
  }

  SUBCASE("its end is reported once") {
    targets.OnPause(kTarget, seconds(2), 0, kStart);
    CHECK(targets.NextPauseEnd() == kStart + seconds(2));
    CHECK(targets.TakeEndedPauses(kStart + seconds(1)).empty());
    CHECK(targets.TakeEndedPauses(kStart + seconds(2)) == std::vector{kTarget});
    CHECK_FALSE(targets.NextPauseEnd());
    CHECK(targets.TakeEndedPauses(kStart + seconds(2)).empty());
    SUBCASE("and a further pause has an end of its own") {
      targets.OnPause(kTarget, seconds(2), 0, kStart + seconds(3));
      CHECK(targets.TakeEndedPauses(kStart + seconds(5)).size() == 1);
    }
    SUBCASE("and nothing is kept later") {
      targets.TakeEndedPauses(kStart + seconds(4));
      CHECK(targets.size() == 0);
    }
  }
}

// Guards against all hosts sending what they have queued at the same moment, so
// that the target has to ask for another pause.
TEST_CASE("after a pause, the load must return gradually") {
  TargetAvailability targets({});

  SUBCASE("hosts return at different times, none too early") {
    for (const double spread : {0.0, 0.3, 1.0}) {
      TargetAvailability it({});
      const auto result = it.OnPause(kTarget, seconds(2), spread, kStart);
      CHECK(result.until >= kStart + seconds(2));
      CHECK(result.until <= kStart + milliseconds(2'500));
      CHECK(it.OnPause(kTarget, seconds(60), spread, kStart).until <=
            kStart + seconds(61));
    }
  }

  SUBCASE("one request per interval at first") {
    targets.OnPause(kTarget, seconds(2), 0, kStart);
    const Duration end = seconds(2);
    CHECK(At(targets, kTarget, end) == Availability::kOpen);
    targets.OnSent(kTarget, kStart + end);
    CHECK(At(targets, kTarget, end) == Availability::kResuming);
    CHECK(At(targets, kTarget, end + milliseconds(100)) == Availability::kOpen);
    targets.OnSent(kTarget, kStart + end + milliseconds(100));
    CHECK(At(targets, kTarget, end + milliseconds(150)) ==
          Availability::kResuming);
    SUBCASE("and without a limit later") {
      targets.OnSent(kTarget, kStart + end + seconds(1));
      CHECK(At(targets, kTarget, end + seconds(1)) == Availability::kOpen);
    }
    SUBCASE("unless it pauses again") {
      targets.OnPause(kTarget, seconds(1), 0, kStart + end + seconds(1));
      CHECK(At(targets, kTarget, end + milliseconds(1'999)) ==
            Availability::kPaused);
    }
  }
}

// Guards against memory that grows with each target that ever declared
// something.
TEST_CASE("what targets declared must need bounded memory") {
  constexpr size_t kMaxUnlisted = 10;
  TargetAvailability targets({.max_unlisted = kMaxUnlisted});
  const auto instance = [](int n) {
    return TargetInstance{.id = absl::StrCat("t", n), .start_time_ms = 1};
  };
  for (int n = 0; n < 100; ++n) {
    targets.OnLeaving(instance(n), kStart);
    // Each target is replaced by the next one; t0 remains listed.
    targets.OnListChanged(
        [&](const TargetInstance& it) {
          return it == instance(0) || it == instance(n) ? Listing::kListed
                                                        : Listing::kUnlisted;
        },
        kStart + seconds(n));
  }
  CHECK(targets.size() == kMaxUnlisted + 2);
  CHECK(At(targets, instance(0), seconds(100)) == Availability::kLeaving);
  CHECK(At(targets, instance(98), seconds(100)) == Availability::kLeaving);
  CHECK(At(targets, instance(5), seconds(100)) == Availability::kOpen);
}

}  // namespace toucandock::core::balance
