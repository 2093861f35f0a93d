#include "core/relay/stream_freshness.h"

#include <doctest/doctest.h>

namespace toucandock::core::relay {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr TimePoint kStart{seconds(100)};
constexpr milliseconds kChangeLimit{2'500};

}  // namespace

// Guards against hosts that each allow their source to be late, so that a
// change arrives later than it has to take effect.
TEST_CASE("a host must notice when its records may be outdated") {
  const FreshnessOptions options = FreshnessOptionsFor(kChangeLimit);
  StreamFreshness host(options);

  SUBCASE("the limit is shorter than the interval at which the store is read") {
    CHECK(FreshnessOptionsFor(milliseconds(100)).max_serving_age >
          milliseconds(700));
  }

  SUBCASE("it has never known all records") {
    CHECK_FALSE(host.Age(kStart).has_value());
    CHECK(host.IsOverdue(false, kStart));
  }

  SUBCASE("it knew them all at some time") {
    host.OnComplete(kStart);
    host.OnProgress(5);
    CHECK(host.Age(kStart + milliseconds(300)) == milliseconds(300));
    CHECK_FALSE(host.IsOverdue(false, kStart + milliseconds(1'624)));
    CHECK(host.IsOverdue(false, kStart + milliseconds(1'625)));

    SUBCASE("a host that serves others reads the store before they do") {
      CHECK_FALSE(host.IsOverdue(true, kStart + milliseconds(1'374)));
      CHECK(host.IsOverdue(true, kStart + milliseconds(1'375)));
    }

    SUBCASE("one read is enough until it has had time to be answered") {
      const TimePoint read_at = kStart + milliseconds(1'700);
      host.OnOverdueRead(read_at);
      CHECK_FALSE(host.IsOverdue(false, read_at + milliseconds(100)));
      CHECK(host.IsOverdue(false, read_at + milliseconds(300)));
    }

    SUBCASE("another host knows the same records to be complete later") {
      host.OnReported(5, kStart + milliseconds(700));
      CHECK(host.Age(kStart + milliseconds(1'000)) == milliseconds(300));

      SUBCASE("a report that is older than what it knows changes nothing") {
        host.OnReported(5, kStart + milliseconds(200));
        CHECK(host.Age(kStart + milliseconds(1'000)) == milliseconds(300));
      }
    }

    SUBCASE("another host knows more records") {
      host.OnReported(7, kStart + milliseconds(700));
      host.OnReported(9, kStart + milliseconds(900));
      CHECK(host.Age(kStart + milliseconds(1'000)) == milliseconds(1'000));

      SUBCASE("its records count as complete once it has fetched as many") {
        host.OnProgress(8);
        CHECK(host.Age(kStart + milliseconds(1'000)) == milliseconds(300));
        host.OnProgress(9);
        CHECK(host.Age(kStart + milliseconds(1'000)) == milliseconds(100));
      }

      SUBCASE("many more reports do not displace those that come first") {
        for (Offset n = 10; n < 100; ++n) {
          host.OnReported(n, kStart + milliseconds(900 + n));
        }
        host.OnProgress(7);
        CHECK(host.Age(kStart + milliseconds(1'000)) == milliseconds(300));
      }
    }

    SUBCASE("the store no longer keeps the records that it needs") {
      host.OnHistoryLost();
      CHECK_FALSE(host.Age(kStart).has_value());
    }
  }

  SUBCASE("two hosts that hear only each other grow old together") {
    StreamFreshness other(options);
    host.OnComplete(kStart);
    other.OnComplete(kStart);
    TimePoint now = kStart;
    for (int n = 0; n < 10; ++n) {
      now += milliseconds(300);
      host.OnReported(0, now - *other.Age(now));
      other.OnReported(0, now - *host.Age(now));
    }
    CHECK(host.IsOverdue(false, now));
    CHECK(other.IsOverdue(false, now));
  }
}

}  // namespace toucandock::core::relay
