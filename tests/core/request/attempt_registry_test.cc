#include "core/request/attempt_registry.h"

#include <doctest/doctest.h>

#include "absl/strings/str_cat.h"
#include "core/request/fingerprint.h"

namespace toucandock::core::request {
namespace {

constexpr TimePoint kStart{std::chrono::hours(1)};
constexpr RegistryLimits kLimits;

AttemptKey Arrival(const std::string& token) {
  return {.service = "lodger",
          .request_id = "order-1",
          .fingerprint = "f",
          .token = token};
}

}  // namespace

// A caller that gets no response resends the request, possibly through another
// entry host. If both arrivals were begun, the request would run twice.
TEST_CASE("a resend must not be begun while the first arrival may have run") {
  AttemptRegistry registry(kLimits);
  REQUIRE(registry.Begin(Arrival("first"), kStart) == BeginResult::kBegun);

  SUBCASE("a resend finds it started") {
    CHECK(registry.Begin(Arrival("resend"), kStart) == BeginResult::kStarted);
  }

  SUBCASE("the begin of the first arrival is repeated") {
    CHECK(registry.Begin(Arrival("first"), kStart) == BeginResult::kBegun);
  }

  SUBCASE("the first arrival ran") {
    registry.Finish(Arrival("first"), FinishResult::kRan, kStart);
    CHECK(registry.Begin(Arrival("resend"), kStart) == BeginResult::kRan);

    SUBCASE("and a withdrawal that comes late changes nothing") {
      registry.Finish(Arrival("first"), FinishResult::kWithdrawn, kStart);
      CHECK(registry.Begin(Arrival("resend"), kStart) == BeginResult::kRan);
    }
  }

  SUBCASE("the first arrival definitely did not run") {
    registry.Finish(Arrival("first"), FinishResult::kWithdrawn, kStart);
    CHECK(registry.Begin(Arrival("resend"), kStart) == BeginResult::kBegun);
  }

  SUBCASE("a refused resend withdraws only itself") {
    registry.Finish(Arrival("resend"), FinishResult::kWithdrawn, kStart);
    registry.Finish(Arrival("resend"), FinishResult::kRan, kStart);
    CHECK(registry.Begin(Arrival("third"), kStart) == BeginResult::kStarted);
  }

  SUBCASE("another service may use the same id") {
    AttemptKey other = Arrival("other");
    other.service = "druk";
    CHECK(registry.Begin(other, kStart) == BeginResult::kBegun);
  }

  SUBCASE("the id is reused for another request") {
    AttemptKey other = Arrival("other");
    other.fingerprint = "g";
    CHECK(registry.Begin(other, kStart) == BeginResult::kReused);
  }
}

TEST_CASE(
    "the registry must neither drop records early nor grow without bound") {
  AttemptRegistry registry(
      {.entries = 3, .retention = std::chrono::minutes(10)});
  const auto begin = [&](int n, TimePoint now) {
    AttemptKey key = Arrival("t");
    key.request_id = absl::StrCat("order-", n);
    return registry.Begin(key, now);
  };
  for (int n = 0; n < 3; ++n) {
    REQUIRE(begin(n, kStart + std::chrono::minutes(n)) == BeginResult::kBegun);
  }

  SUBCASE("a full registry refuses new attempts and drops no record") {
    CHECK(begin(3, kStart + std::chrono::minutes(3)) == BeginResult::kRefused);
    CHECK(registry.size() == 3);
  }

  SUBCASE("records expire in the order of their age") {
    const TimePoint later = kStart + std::chrono::minutes(10);
    CHECK(begin(3, later) == BeginResult::kBegun);
    CHECK(begin(4, later) == BeginResult::kRefused);
    CHECK(registry.size() == 3);
  }

  SUBCASE("a confirmed record is kept for the full retention again") {
    REQUIRE(begin(0, kStart + std::chrono::minutes(5)) == BeginResult::kBegun);
    AttemptKey resend = Arrival("resend");
    resend.request_id = "order-0";
    CHECK(registry.Begin(resend, kStart + std::chrono::minutes(14)) ==
          BeginResult::kStarted);
    CHECK(registry.Begin(resend, kStart + std::chrono::minutes(15)) ==
          BeginResult::kBegun);
  }
}

// After a change of members, copies of a record arrive late and in any order.
// If an older copy replaced a newer one, a request that ran could be run again.
TEST_CASE("a record from another host must not overwrite a newer one") {
  AttemptRegistry registry(kLimits);

  SUBCASE("a host that joined stores it") {
    registry.Adopt({Arrival("first"), AttemptState::kStarted}, kStart);
    CHECK(registry.Begin(Arrival("resend"), kStart) == BeginResult::kStarted);

    SUBCASE("and a second copy says that the attempt ran") {
      registry.Adopt({Arrival("first"), AttemptState::kRan}, kStart);
      CHECK(registry.Begin(Arrival("resend"), kStart) == BeginResult::kRan);

      SUBCASE("which an older copy does not undo") {
        registry.Adopt({Arrival("first"), AttemptState::kStarted}, kStart);
        CHECK(registry.Begin(Arrival("resend"), kStart) == BeginResult::kRan);
      }
    }
  }

  SUBCASE("the host has begun a resend before the copy arrives") {
    REQUIRE(registry.Begin(Arrival("resend"), kStart) == BeginResult::kBegun);
    registry.Adopt({Arrival("first"), AttemptState::kRan}, kStart);
    CHECK(registry.Begin(Arrival("third"), kStart) == BeginResult::kStarted);
  }
}

// The fingerprint is how the registry recognizes that an id was reused for
// another request.
TEST_CASE("different requests must not share a fingerprint") {
  const RequestContent content = {"POST", "/orders", "a=1", "key", "body"};
  const std::string fingerprint = Fingerprint(content);
  CHECK(Fingerprint(content) == fingerprint);
  const RequestContent others[] = {
      {"PUT", "/orders", "a=1", "key", "body"},
      {"POST", "/order", "sa=1", "key", "body"},
      {"POST", "/orders", "a=2", "key", "body"},
      {"POST", "/orders", "a=1", "ke", "ybody"},
      {"POST", "/orders", "a=1", "key", "bodY"},
      {"POST", "/orders", "a=1", "key", "body", "a.example"},
  };
  for (const RequestContent& it : others) {
    CHECK(Fingerprint(it) != fingerprint);
  }
}

}  // namespace toucandock::core::request
