#include "core/discovery/evacuations.h"

#include <doctest/doctest.h>

namespace toucandock::core::discovery {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr TimePoint kStart{seconds(100)};

}  // namespace

// Guards against an evacuation that begins anew with each reading of its
// record, so that hosts never stop, or that is lost with an unrelated record.
TEST_CASE("an evacuation must hold until the operator revokes it") {
  Evacuations evacuations;
  CHECK(evacuations.Begin("a", kStart));

  SUBCASE("its record is read again") {
    CHECK_FALSE(evacuations.Begin("a", kStart + seconds(3)));
    CHECK(evacuations.domains().at("a") == kStart);
  }
  SUBCASE("a second domain is evacuated as well") {
    CHECK(evacuations.Begin("b", kStart + seconds(1)));
    SUBCASE("and each is revoked on its own") {
      CHECK(evacuations.End("a"));
      CHECK_FALSE(evacuations.Contains("a"));
      CHECK(evacuations.Contains("b"));
      CHECK_FALSE(evacuations.End("a"));
    }
    SUBCASE("and a complete listing revokes what it does not contain") {
      CHECK(evacuations.RetainOnly({"b"}, kStart) ==
            std::vector<std::string>{"a"});
      CHECK(evacuations.Contains("b"));
    }
  }
  // A copy may lack the record, which the operator then writes again.
  SUBCASE("the store comes back from a copy without its record") {
    evacuations.OnStoreEra(kStart);
    CHECK(evacuations.RetainOnly({}, kStart + seconds(1)).empty());
    CHECK(evacuations.Tick(kStart + seconds(29)).empty());
    CHECK(evacuations.domains().at("a") == kStart);
    SUBCASE("and it is written again") {
      CHECK_FALSE(evacuations.Begin("a", kStart + seconds(8)));
      CHECK(evacuations.Tick(kStart + seconds(30)).empty());
      CHECK(evacuations.Contains("a"));
    }
    SUBCASE("and it is not") {
      CHECK(evacuations.Tick(kStart + seconds(30)) ==
            std::vector<std::string>{"a"});
    }
    SUBCASE("and the operator revokes the evacuation") {
      CHECK(evacuations.End("a"));
    }
  }
  SUBCASE("a later evacuation of the same domain counts from its own record") {
    CHECK(evacuations.End("a"));
    CHECK(evacuations.Begin("a", kStart + seconds(9)));
    CHECK(evacuations.domains().at("a") == kStart + seconds(9));
  }
}

// Guards against requests that reach an evacuated domain after the limit
// because a host learned of the record late.
TEST_CASE("hosts must stop before the limit of an evacuation") {
  EvacuationLimits limits{.limit = seconds(5),
                          .notice_delay = milliseconds(2'500),
                          .transit_margin = milliseconds(500)};
  SUBCASE("targets without keys are closed at once") {
    CHECK(ClosedFrom(kStart, false, limits) == kStart);
  }
  SUBCASE("owners of keys stay open while their keys are handed over") {
    const TimePoint closed_from = ClosedFrom(kStart, true, limits);
    CHECK(closed_from > kStart);
    CHECK(closed_from + limits.notice_delay + limits.transit_margin <=
          kStart + limits.limit);
  }
  SUBCASE("a limit that leaves no time for a handover closes them at once") {
    limits.limit = seconds(1);
    CHECK(ClosedFrom(kStart, true, limits) == kStart);
  }
}

}  // namespace toucandock::core::discovery
