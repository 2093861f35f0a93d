#include "core/admission/silent_overflow.h"

#include <doctest/doctest.h>

#include <chrono>

namespace toucandock::core::admission {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr TimePoint kStart{seconds(100)};
constexpr std::uint32_t kSlots = 4;

}  // namespace

// Seen on a heavy day: 4,200 requests ended with "no answer in time" at targets
// with 4 slots that never answer what they cannot queue.
TEST_CASE(
    "silence of busy targets must be taken for overflow once it is seen") {
  SilentOverflow overflow(SilentOverflowOptions{});
  CHECK_FALSE(overflow.MaxRequests(kSlots, kStart));
  overflow.OnUnanswered(true, kStart);
  // One request may have got no answer for another reason.
  CHECK_FALSE(overflow.IsSeen(kStart));

  SUBCASE("again, soon after") {
    overflow.OnUnanswered(true, kStart + seconds(3));
    CHECK(overflow.IsSeen(kStart + seconds(3)));

    SUBCASE("until nothing of the kind is seen for a minute") {
      CHECK(overflow.IsSeen(kStart + seconds(62)));
      CHECK_FALSE(overflow.IsSeen(kStart + seconds(63)));
    }
    SUBCASE("until a target refuses what it cannot queue") {
      overflow.OnRefusal(
          balance::ReportedLoad{.running = 4, .waiting = 12, .slots = 4},
          kSlots);
      CHECK_FALSE(overflow.IsSeen(kStart + seconds(3)));
    }
    SUBCASE("until a target refuses without a report") {
      overflow.OnRefusal(std::nullopt, kSlots);
      CHECK_FALSE(overflow.IsSeen(kStart + seconds(3)));
    }
    SUBCASE("a refusal for another reason than load changes nothing") {
      overflow.OnRefusal(
          balance::ReportedLoad{.running = 4, .waiting = 1, .slots = 4},
          kSlots);
      CHECK(overflow.IsSeen(kStart + seconds(3)));
    }
    SUBCASE("until an answer comes after all") {
      overflow.OnLateAnswer();
      CHECK_FALSE(overflow.IsSeen(kStart + seconds(3)));
    }
    SUBCASE("a target gets fewer requests than one is known to hold") {
      CHECK(overflow.MaxRequests(kSlots, kStart + seconds(3)) == 4.0);
      overflow.OnReport({.running = 4, .waiting = 9, .slots = 4}, kSlots);
      const auto most = overflow.MaxRequests(kSlots, kStart + seconds(3));
      REQUIRE(most);
      CHECK(*most > 9);
      CHECK(*most < 13);
    }
  }
  SUBCASE("again, much later") {
    overflow.OnUnanswered(true, kStart + seconds(31));
    CHECK_FALSE(overflow.IsSeen(kStart + seconds(31)));
  }
  SUBCASE("at a target that is not known to have been busy") {
    for (int n = 0; n < 10; ++n) {
      overflow.OnUnanswered(false, kStart);
    }
    CHECK_FALSE(overflow.IsSeen(kStart));
  }
}

// Guards against taking a slow answer for overflow.
TEST_CASE("a request must be silent for several times the usual time") {
  const SilentOverflow overflow(SilentOverflowOptions{});
  CHECK(overflow.SilenceLimit(FloatSeconds(0.3)) == milliseconds(1'200));
  CHECK(overflow.SilenceLimit(FloatSeconds(0.01)) == milliseconds(500));
  // Busy shortly before the request was sent, or since then.
  CHECK(overflow.WasBusy(kStart, kStart + seconds(2)));
  CHECK(overflow.WasBusy(kStart + seconds(1), kStart));
  CHECK_FALSE(overflow.WasBusy(kStart, kStart + milliseconds(2'001)));
}

}  // namespace toucandock::core::admission
