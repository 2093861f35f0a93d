#include "core/relay/source_tracker.h"

#include <doctest/doctest.h>

namespace toucandock::core::relay {
namespace {

using std::chrono::milliseconds;

constexpr TimePoint kStart{std::chrono::seconds(100)};

}  // namespace

// Seen in kc-brama-grown quiet-1: after each loss of the leader, 65 hosts read
// three streams of the store, and each new record was read 65 times.
TEST_CASE("the loss of the leader must not make all hosts read the store") {
  SourceTracker host({}, kStart);
  host.OnAnswer(SourceKind::kLeader, true, kStart);
  TimePoint now = kStart + milliseconds(400);
  REQUIRE(host.IsRelayed(now));
  REQUIRE_FALSE(host.IsLeaderLost(now));

  SUBCASE("the leader stops responding") {
    now = kStart + milliseconds(450);
    CHECK(host.IsLeaderLost(now));

    SUBCASE("most hosts wait for a substitute") {
      CHECK(host.IsRelayed(now));

      SUBCASE("one responds that has read the store") {
        host.OnAnswer(SourceKind::kSubstitute, true, now + milliseconds(500));
        CHECK(host.IsRelayed(now + milliseconds(1'000)));

        SUBCASE(
            "and stops responding as well: the host reads the store itself") {
          CHECK_FALSE(host.IsRelayed(now + milliseconds(1'100)));
        }

        SUBCASE("a new leader responds") {
          host.OnAnswer(SourceKind::kLeader, true, now + milliseconds(900));
          CHECK_FALSE(host.IsLeaderLost(now + milliseconds(1'300)));
          CHECK(host.IsRelayed(now + milliseconds(1'300)));
        }
      }

      SUBCASE("one responds that has not read the store yet") {
        host.OnAnswer(SourceKind::kSubstitute, false, now + milliseconds(500));
        CHECK_FALSE(host.IsRelayed(now + milliseconds(650)));
      }

      SUBCASE("none responds: changes must be known within two seconds") {
        CHECK_FALSE(host.IsRelayed(now + milliseconds(650)));
      }
    }

    SUBCASE("a substitute reads the store immediately") {
      host.SetSubstitute(true);
      CHECK_FALSE(host.IsRelayed(now));
    }
  }

  SUBCASE("the leader has lost the store and reports so repeatedly") {
    host.OnAnswer(SourceKind::kLeader, false, now);
    CHECK(host.IsLeaderLost(now));
    host.OnAnswer(SourceKind::kLeader, false, now + milliseconds(600));
    CHECK_FALSE(host.IsRelayed(now + milliseconds(650)));
  }

  SUBCASE("after a failed fetch, responses do not end the backoff") {
    host.OnFetchFailed(now);
    host.OnAnswer(SourceKind::kLeader, true, now);
    CHECK_FALSE(host.IsRelayed(now));
    host.OnAnswer(SourceKind::kLeader, true, now + milliseconds(1'900));
    CHECK(host.IsRelayed(now + milliseconds(2'000)));
  }
}

TEST_CASE("a host that starts must not wait long for a leader") {
  SourceTracker host({}, kStart);
  CHECK(host.IsStarting(kStart + milliseconds(2'400)));
  CHECK_FALSE(host.IsRelayed(kStart));
  CHECK_FALSE(host.IsStarting(kStart + milliseconds(2'500)));

  SUBCASE("unless the whole fleet starts, when all would read each entry") {
    SourceTracker first({.fleet_starts = true}, kStart);
    first.OnAnswer(SourceKind::kLeader, true, kStart + milliseconds(1'000));
    CHECK(first.IsStarting(kStart + milliseconds(3'900)));
    CHECK_FALSE(first.IsStarting(kStart + milliseconds(4'000)));
  }

  SUBCASE("a leader responds soon") {
    host.OnAnswer(SourceKind::kLeader, true, kStart + milliseconds(50));
    CHECK_FALSE(host.IsStarting(kStart + milliseconds(60)));
    CHECK(host.IsRelayed(kStart + milliseconds(60)));
  }
}

}  // namespace toucandock::core::relay
