#include "core/request/poison_registry.h"

#include <doctest/doctest.h>

#include "absl/strings/str_cat.h"

namespace toucandock::core::request {
namespace {

constexpr TimePoint kStart{std::chrono::hours(1)};
constexpr PoisonOptions kOptions;

const PoisonKey kPoison = {"callboard", "call-1", "f"};
const PoisonKey kOther = {"callboard", "call-2", "g"};

CrashReport Crash(const PoisonKey& key, const std::string& target) {
  return {.key = key, .target = target, .crash_limit = 2};
}

}  // namespace

// Each resend of such a request ends another target, until the service has none
// left.
TEST_CASE("a request that crashes targets must be stopped at the limit") {
  PoisonRegistry registry(kOptions);
  registry.Report(Crash(kPoison, "callboard/a"), kStart);
  REQUIRE(registry.FindMatch(kPoison, kStart) == PoisonMatch::kNone);

  SUBCASE("it crashes a second target") {
    registry.Report(Crash(kPoison, "callboard/b"), kStart);
    CHECK(registry.FindMatch(kPoison, kStart) == PoisonMatch::kSameRequest);

    SUBCASE("its content is refused under another id") {
      CHECK(registry.FindMatch({"callboard", "call-9", "f"}, kStart) ==
            PoisonMatch::kSameContent);
      CHECK(registry.FindMatch({"callboard", "", "f"}, kStart) ==
            PoisonMatch::kSameContent);
    }

    SUBCASE("its id is refused with another content") {
      CHECK(registry.FindMatch({"callboard", "call-1", "h"}, kStart) ==
            PoisonMatch::kSameRequest);
    }

    SUBCASE("other requests and services are served") {
      CHECK(registry.FindMatch(kOther, kStart) == PoisonMatch::kNone);
      CHECK(registry.FindMatch({"arkusz", "call-1", "f"}, kStart) ==
            PoisonMatch::kNone);
    }

    SUBCASE("the refusal ends after the retention") {
      CHECK(registry.FindMatch(kPoison, kStart + kOptions.retention -
                                            std::chrono::seconds(1)) ==
            PoisonMatch::kSameRequest);
      CHECK(registry.FindMatch(kPoison, kStart + kOptions.retention) ==
            PoisonMatch::kNone);
    }

    SUBCASE("a host that joins blocks it as well") {
      PoisonRegistry joined(kOptions);
      for (const CrashReport& it :
           registry.Reports(kStart + std::chrono::minutes(4))) {
        joined.Report(it, kStart + std::chrono::minutes(4));
      }
      CHECK(joined.FindMatch(kPoison, kStart + std::chrono::minutes(4)) ==
            PoisonMatch::kSameRequest);
      CHECK(joined.FindMatch(kPoison, kStart + kOptions.retention) ==
            PoisonMatch::kNone);
    }
  }

  SUBCASE("it crashes the same target again after its restart") {
    const TimePoint later = kStart + std::chrono::seconds(5);
    registry.Report(Crash(kPoison, "callboard/a"), later);
    CHECK(registry.FindMatch(kPoison, later) == PoisonMatch::kSameRequest);
  }
}

// Every request that was in flight when a target ended is reported, although
// only one of them caused the crash.
TEST_CASE("a request must not be refused for the crashes of another one") {
  PoisonRegistry registry(kOptions);

  SUBCASE("several copies were in flight at one crash") {
    for (int n = 0; n < 5; ++n) {
      registry.Report(Crash(kOther, "callboard/a"), kStart);
    }
    CHECK(registry.FindMatch(kOther, kStart) == PoisonMatch::kNone);
  }

  SUBCASE("it recently completed without a crash") {
    registry.MarkSafe(kOther, "", kStart);
    for (const char* target : {"callboard/a", "callboard/b", "callboard/c"}) {
      CHECK_FALSE(registry.Report(Crash(kOther, target),
                                  kStart + std::chrono::seconds(30)));
    }
    CHECK(registry.FindMatch(kOther, kStart) == PoisonMatch::kNone);

    SUBCASE("but begins to crash targets later") {
      const TimePoint later = kStart + 2 * kOptions.safe_contents.lifetime;
      CHECK(registry.Report(Crash(kOther, "callboard/a"), later));
      CHECK(registry.Report(Crash(kOther, "callboard/b"), later));
      CHECK(registry.FindMatch(kOther, later) == PoisonMatch::kSameRequest);
    }
  }

  SUBCASE("it completes without a crash after the first report") {
    registry.Report(Crash(kOther, "callboard/a"), kStart);
    registry.MarkSafe(kOther, "", kStart);
    const TimePoint later = kStart + 2 * kOptions.safe_contents.lifetime;
    registry.Report(Crash(kOther, "callboard/b"), later);
    CHECK(registry.FindMatch(kOther, later) == PoisonMatch::kNone);
  }
}

TEST_CASE("a block must end when the request may run again, and only then") {
  const PoisonOptions options{.block_duration = std::chrono::minutes(10),
                              .retention = std::chrono::hours(1),
                              .same_crash_window = std::chrono::hours(1)};
  PoisonRegistry registry(options);
  const PoisonKey key{.fingerprint = "f"};
  const auto crash = [&key](const std::string& target,
                            const std::string& version) {
    return CrashReport{.key = key,
                       .target = target,
                       .crash_limit = 3,
                       .target_version = {.service = "s", .version = version}};
  };
  registry.SetVersionsInUse({{"s", {"v1"}}});
  for (const char* target : {"a", "b", "c"}) {
    registry.Report(crash(target, "v1"), kStart);
  }
  REQUIRE(registry.FindMatch(key, kStart) == PoisonMatch::kSameContent);

  SUBCASE("a copy that was in flight completes without a crash") {
    CHECK(registry.MarkSafe(key, "v1", kStart));
    CHECK(registry.FindMatch(key, kStart) == PoisonMatch::kNone);

    SUBCASE("and a late report of the same crashes changes nothing") {
      CHECK_FALSE(registry.Report(crash("a", "v1"), kStart));
    }
  }

  SUBCASE("time passes") {
    const TimePoint later = kStart + options.block_duration;
    CHECK(registry.FindMatch(key, later) == PoisonMatch::kNone);

    SUBCASE("and one further crash blocks it again") {
      registry.Report(crash("d", "v1"), later);
      CHECK(registry.FindMatch(key, later) == PoisonMatch::kSameContent);
    }
    SUBCASE("and a report of a crash that is known does not") {
      CHECK_FALSE(registry.Report(crash("c", "v1"), later));
      CHECK(registry.FindMatch(key, later) == PoisonMatch::kNone);
    }
  }

  SUBCASE("time passes for one that never reached the limit") {
    const PoisonKey innocent{.fingerprint = "g"};
    CrashReport report = crash("a", "v1");
    report.key = innocent;
    registry.Report(report, kStart);
    REQUIRE(registry.SuspectedRequests(kStart).size() == 2);
    CHECK(registry.SuspectedRequests(kStart + options.block_duration).size() ==
          1);
  }

  SUBCASE("a new version of the service is deployed") {
    registry.SetVersionsInUse({{"s", {"v1", "v2"}}});
    CHECK(registry.FindMatch(key, kStart) == PoisonMatch::kSameContent);
    registry.SetVersionsInUse({{"s", {"v2"}}});
    CHECK(registry.FindMatch(key, kStart) == PoisonMatch::kNone);

    SUBCASE("and the new version crashes, too") {
      registry.Report(crash("d", "v2"), kStart);
      CHECK(registry.FindMatch(key, kStart) == PoisonMatch::kSameContent);
    }
  }

  SUBCASE("none of its targets is listed, so that its versions are unknown") {
    registry.SetVersionsInUse({{"other", {"v9"}}});
    CHECK(registry.FindMatch(key, kStart) == PoisonMatch::kSameContent);
  }
}

// Hosts compare digests to find out whether they have the same crash reports.
// If they had the same reports and different digests, they would send each
// other these reports again and again.
TEST_CASE("hosts that know the same crashes must come to the same digest") {
  const PoisonOptions options{.same_crash_window = std::chrono::hours(1)};
  PoisonRegistry one(options);
  PoisonRegistry other(options);
  const auto crash = [](const std::string& target) {
    return CrashReport{
        .key = {.fingerprint = "f"}, .target = target, .crash_limit = 3};
  };
  CHECK(one.Digest(kStart) == PoisonDigest{});
  one.Report(crash("a"), kStart);
  other.Report(crash("b"), kStart);
  CHECK(one.Digest(kStart) != other.Digest(kStart));

  SUBCASE("in whatever order they learn of them") {
    one.Report(crash("b"), kStart + std::chrono::milliseconds(3));
    other.Report(crash("a"), kStart + std::chrono::milliseconds(9));
    CHECK(one.Digest(kStart) == other.Digest(kStart));
  }

  SUBCASE("and, once a request is refused, whichever crashes led to it") {
    for (const char* target : {"c", "d", "e"}) {
      one.Report(crash(target), kStart);
    }
    for (const char* target : {"x", "y"}) {
      other.Report(crash(target), kStart);
    }
    CHECK(one.Digest(kStart) == other.Digest(kStart));
  }
}

TEST_CASE("the registry of suspects must not grow without bound") {
  PoisonRegistry registry({.max_requests = 4});
  for (int n = 0; n < 100; ++n) {
    registry.Report(
        Crash({"callboard", "", absl::StrCat("f", n)}, "callboard/a"),
        kStart + std::chrono::seconds(n));
  }
  const auto reports = registry.Reports(kStart + std::chrono::seconds(100));
  CHECK(reports.size() == 8);
  CHECK(std::any_of(reports.begin(), reports.end(), [](const auto& it) {
    return it.key.fingerprint == "f99";
  }));

  // Thousands of requests that are suspected by mistake must not evict a
  // blocked one.
  for (const char* target : {"callboard/b", "callboard/c"}) {
    registry.Report(Crash({"callboard", "", "f99"}, target), kStart);
  }
  for (int n = 0; n < 100; ++n) {
    registry.Report(
        Crash({"callboard", "", absl::StrCat("g", n)}, "callboard/a"),
        kStart + std::chrono::seconds(100 + n));
  }
  CHECK(registry.FindMatch({"callboard", "", "f99"},
                           kStart + std::chrono::seconds(200)) ==
        PoisonMatch::kSameContent);
}

}  // namespace toucandock::core::request
