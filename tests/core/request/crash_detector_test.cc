#include "core/request/crash_detector.h"

#include <doctest/doctest.h>

#include <map>
#include <string>
#include <vector>

namespace toucandock::core::request {
namespace {

using discovery::TargetEntry;
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr TimePoint kStart{std::chrono::hours(1)};

TargetEntry Target(const std::string& id,
                   std::int64_t start_time_ms,
                   const std::string& address) {
  return {.instance = {.id = id, .start_time_ms = start_time_ms},
          .service = "lodger",
          .address = address,
          .version = "v1"};
}

BrokenAttempt Attempt(const TargetEntry& target,
                      const std::string& request,
                      TimePoint at) {
  return {.target = target, .request_id = request, .at = at};
}

std::vector<Crash> ReportListed(CrashDetector& detector,
                                const TargetEntry& listed,
                                TimePoint now) {
  return detector.OnTargets({{listed.service, {{.entry = listed}}}}, now);
}

}  // namespace

// Connections are also reset without a crash. If these attempts counted as
// crashes, harmless requests would be blocked.
TEST_CASE(
    "a broken attempt must count as a crash only if the target has ended") {
  CrashDetector detector({.retention = seconds(10), .max_attempts = 3});
  const TargetEntry target = Target("i-1", 100, "10.0.0.1:80");
  detector.OnBroken(Attempt(target, "r1", kStart));
  detector.OnBroken(Attempt(target, "r2", kStart));

  SUBCASE(
      "nothing listens at its address: all its broken attempts are reported") {
    const auto crashes =
        detector.OnConnectRefused(target.instance, kStart + seconds(1));
    REQUIRE(crashes.size() == 2);
    CHECK(crashes[0].evidence == CrashEvidence::kConnectRefused);
    CHECK(crashes[1].attempt.request_id == "r2");

    SUBCASE("and only once") {
      CHECK(detector.OnConnectRefused(target.instance, kStart + seconds(2))
                .empty());
    }
  }

  SUBCASE("another target refuses a connection") {
    CHECK(detector.OnConnectRefused({.id = "i-2", .start_time_ms = 100}, kStart)
              .empty());
    CHECK(detector.IsPending(target.instance, kStart));
    // Guards against test connections for attempts that no longer count.
    CHECK(detector.IsPending(target.instance, kStart + seconds(9)));
    CHECK_FALSE(detector.IsPending(target.instance, kStart + seconds(10)));
  }

  SUBCASE("it accepts a request later, so that only connections were reset") {
    detector.OnAlive(target.instance, kStart + milliseconds(1));
    CHECK_FALSE(detector.IsPending(target.instance, kStart));
    CHECK(detector.OnConnectRefused(target.instance, kStart + seconds(1))
              .empty());
  }

  SUBCASE("it responds to a request that it had accepted before") {
    detector.OnAlive(target.instance, kStart - milliseconds(1));
    CHECK(detector.OnConnectRefused(target.instance, kStart + seconds(1))
              .size() == 2);
  }

  SUBCASE("it is listed as before, or as an earlier instance") {
    CHECK(ReportListed(detector, target, kStart + seconds(1)).empty());
    CHECK(ReportListed(detector, Target("i-1", 99, "10.0.0.1:80"), kStart)
              .empty());
  }

  SUBCASE("a later instance has its id") {
    const auto crashes = ReportListed(
        detector, Target("i-1", 200, "10.0.0.9:80"), kStart + seconds(3));
    REQUIRE(crashes.size() == 2);
    CHECK(crashes[0].evidence == CrashEvidence::kNewInstance);
  }

  SUBCASE("another target has its address") {
    CHECK(ReportListed(detector, Target("i-7", 50, "10.0.0.1:80"),
                       kStart + seconds(3))
              .size() == 2);
  }

  SUBCASE("its end is detected too late to be caused by the request") {
    CHECK(detector.OnConnectRefused(target.instance, kStart + seconds(10))
              .empty());
  }

  SUBCASE("many attempts break: the oldest are dropped") {
    detector.OnBroken(Attempt(target, "r3", kStart));
    detector.OnBroken(Attempt(target, "r4", kStart));
    const auto crashes = detector.OnConnectRefused(target.instance, kStart);
    REQUIRE(crashes.size() == 3);
    CHECK(crashes[0].attempt.request_id == "r2");
  }
}

}  // namespace toucandock::core::request
