#include "core/request/poison_registry.h"

#include <doctest/doctest.h>

#include "absl/strings/str_cat.h"

namespace toucandock::core::request {
namespace {

constexpr TimePoint kStart{std::chrono::hours(1)};
constexpr PoisonLimits kLimits;

const PoisonKey kPoison = {"callboard", "call-1", "f"};
const PoisonKey kOther = {"callboard", "call-2", "g"};

CrashReport Crash(const PoisonKey& key, const std::string& target) {
  return {.key = key, .target = target, .crash_limit = 2};
}

}  // namespace

TEST_CASE("a request that crashes targets must be stopped at the limit") {
  PoisonRegistry registry(kLimits);
  registry.Report(Crash(kPoison, "callboard/a"), kStart);
  REQUIRE(registry.VerdictOn(kPoison, kStart) == PoisonVerdict::kNone);

  SUBCASE("it crashes a second target") {
    registry.Report(Crash(kPoison, "callboard/b"), kStart);
    CHECK(registry.VerdictOn(kPoison, kStart) == PoisonVerdict::kSameRequest);

    SUBCASE("its content is refused under another id") {
      CHECK(registry.VerdictOn({"callboard", "call-9", "f"}, kStart) ==
            PoisonVerdict::kSameContent);
      CHECK(registry.VerdictOn({"callboard", "", "f"}, kStart) ==
            PoisonVerdict::kSameContent);
    }

    SUBCASE("its id is refused with another content") {
      CHECK(registry.VerdictOn({"callboard", "call-1", "h"}, kStart) ==
            PoisonVerdict::kSameRequest);
    }

    SUBCASE("other requests and services are served") {
      CHECK(registry.VerdictOn(kOther, kStart) == PoisonVerdict::kNone);
      CHECK(registry.VerdictOn({"arkusz", "call-1", "f"}, kStart) ==
            PoisonVerdict::kNone);
    }

    SUBCASE("the refusal ends after the retention") {
      CHECK(registry.VerdictOn(kPoison, kStart + kLimits.retention -
                                            std::chrono::seconds(1)) ==
            PoisonVerdict::kSameRequest);
      CHECK(registry.VerdictOn(kPoison, kStart + kLimits.retention) ==
            PoisonVerdict::kNone);
    }

    SUBCASE("a joined host gets the verdict") {
      PoisonRegistry joined(kLimits);
      for (const CrashReport& it :
           registry.Reports(kStart + std::chrono::minutes(4))) {
        joined.Report(it, kStart + std::chrono::minutes(4));
      }
      CHECK(joined.VerdictOn(kPoison, kStart + std::chrono::minutes(4)) ==
            PoisonVerdict::kSameRequest);
      CHECK(joined.VerdictOn(kPoison, kStart + kLimits.retention) ==
            PoisonVerdict::kNone);
    }
  }

  SUBCASE("it crashes the same target again after its restart") {
    const TimePoint later = kStart + std::chrono::seconds(5);
    registry.Report(Crash(kPoison, "callboard/a"), later);
    CHECK(registry.VerdictOn(kPoison, later) == PoisonVerdict::kSameRequest);
  }
}

TEST_CASE("a request must not be refused for the crashes of another one") {
  PoisonRegistry registry(kLimits);

  SUBCASE("several copies were in flight at one crash") {
    for (int n = 0; n < 5; ++n) {
      registry.Report(Crash(kOther, "callboard/a"), kStart);
    }
    CHECK(registry.VerdictOn(kOther, kStart) == PoisonVerdict::kNone);
  }

  SUBCASE("it was answered in whole a moment ago") {
    registry.Prove(kOther, "", kStart);
    for (const char* target : {"callboard/a", "callboard/b", "callboard/c"}) {
      CHECK_FALSE(registry.Report(Crash(kOther, target),
                                  kStart + std::chrono::seconds(30)));
    }
    CHECK(registry.VerdictOn(kOther, kStart) == PoisonVerdict::kNone);

    SUBCASE("but begins to crash targets later") {
      const TimePoint later = kStart + 2 * kLimits.proof.lifetime;
      CHECK(registry.Report(Crash(kOther, "callboard/a"), later));
      CHECK(registry.Report(Crash(kOther, "callboard/b"), later));
      CHECK(registry.VerdictOn(kOther, later) == PoisonVerdict::kSameRequest);
    }
  }

  SUBCASE("it is answered in whole after the first crash") {
    registry.Report(Crash(kOther, "callboard/a"), kStart);
    registry.Prove(kOther, "", kStart);
    const TimePoint later = kStart + 2 * kLimits.proof.lifetime;
    registry.Report(Crash(kOther, "callboard/b"), later);
    CHECK(registry.VerdictOn(kOther, later) == PoisonVerdict::kNone);
  }
}

TEST_CASE("a verdict must end when the request may run again, and only then") {
  const PoisonLimits limits{.verdict = std::chrono::minutes(10),
                            .retention = std::chrono::hours(1),
                            .same_crash = std::chrono::hours(1)};
  PoisonRegistry registry(limits);
  const PoisonKey key{.fingerprint = "f"};
  const auto crash = [&key](const std::string& target,
                            const std::string& version) {
    return CrashReport{.key = key,
                       .target = target,
                       .crash_limit = 3,
                       .release = {.service = "s", .version = version}};
  };
  registry.SetReleasesInUse({{"s", {"v1"}}});
  for (const char* target : {"a", "b", "c"}) {
    registry.Report(crash(target, "v1"), kStart);
  }
  REQUIRE(registry.VerdictOn(key, kStart) == PoisonVerdict::kSameContent);

  SUBCASE("a copy that was under way is answered in whole") {
    CHECK(registry.Prove(key, "v1", kStart));
    CHECK(registry.VerdictOn(key, kStart) == PoisonVerdict::kNone);

    SUBCASE("and a late report of the same crashes changes nothing") {
      CHECK_FALSE(registry.Report(crash("a", "v1"), kStart));
    }
  }

  SUBCASE("time passes") {
    const TimePoint later = kStart + limits.verdict;
    CHECK(registry.VerdictOn(key, later) == PoisonVerdict::kNone);

    SUBCASE("and one further crash brings it back") {
      registry.Report(crash("d", "v1"), later);
      CHECK(registry.VerdictOn(key, later) == PoisonVerdict::kSameContent);
    }
    SUBCASE("and a report of a crash that is known does not") {
      CHECK_FALSE(registry.Report(crash("c", "v1"), later));
      CHECK(registry.VerdictOn(key, later) == PoisonVerdict::kNone);
    }
  }

  SUBCASE("time passes for one that never reached the limit") {
    const PoisonKey innocent{.fingerprint = "g"};
    CrashReport report = crash("a", "v1");
    report.key = innocent;
    registry.Report(report, kStart);
    REQUIRE(registry.Suspicions(kStart).size() == 2);
    CHECK(registry.Suspicions(kStart + limits.verdict).size() == 1);
  }

  SUBCASE("the service is released") {
    registry.SetReleasesInUse({{"s", {"v1", "v2"}}});
    CHECK(registry.VerdictOn(key, kStart) == PoisonVerdict::kSameContent);
    registry.SetReleasesInUse({{"s", {"v2"}}});
    CHECK(registry.VerdictOn(key, kStart) == PoisonVerdict::kNone);

    SUBCASE("and the new version crashes, too") {
      registry.Report(crash("d", "v2"), kStart);
      CHECK(registry.VerdictOn(key, kStart) == PoisonVerdict::kSameContent);
    }
  }

  SUBCASE("all its targets are away, which says nothing of a release") {
    registry.SetReleasesInUse({{"other", {"v9"}}});
    CHECK(registry.VerdictOn(key, kStart) == PoisonVerdict::kSameContent);
  }
}

TEST_CASE("hosts that know the same crashes must come to the same digest") {
  const PoisonLimits limits{.same_crash = std::chrono::hours(1)};
  PoisonRegistry one(limits);
  PoisonRegistry other(limits);
  const auto crash = [](const std::string& target) {
    return CrashReport{
        .key = {.fingerprint = "f"}, .target = target, .crash_limit = 3};
  };
  CHECK(one.Digest(kStart) == 0);
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
  PoisonRegistry registry({.requests = 4});
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

  // Thousands of false suspicions must not push out a verdict.
  for (const char* target : {"callboard/b", "callboard/c"}) {
    registry.Report(Crash({"callboard", "", "f99"}, target), kStart);
  }
  for (int n = 0; n < 100; ++n) {
    registry.Report(
        Crash({"callboard", "", absl::StrCat("g", n)}, "callboard/a"),
        kStart + std::chrono::seconds(100 + n));
  }
  CHECK(registry.VerdictOn({"callboard", "", "f99"},
                           kStart + std::chrono::seconds(200)) ==
        PoisonVerdict::kSameContent);
}

}  // namespace toucandock::core::request
