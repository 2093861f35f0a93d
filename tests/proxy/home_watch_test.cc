#include "proxy/home_watch.h"

#include <doctest/doctest.h>

#include <optional>

namespace toucandock::proxy {
namespace {

using std::chrono::milliseconds;

constexpr core::TimePoint kStart{std::chrono::seconds(100)};

}  // namespace

TEST_CASE("a home host that does not answer must not hold requests for long") {
  HomeWatch watch;
  const core::control::HostInfo host = {.id = "home", .peer_address = "p"};
  std::optional<HomeWatch::Ticket> ticket;
  ticket.emplace(watch, host, kStart);
  CHECK(watch.HostsToProbe(kStart + milliseconds(50)).empty());

  SUBCASE("it answers another request") {
    watch.OnAnswer("home", kStart + milliseconds(60));
    CHECK(watch.HostsToProbe(kStart + milliseconds(110)).empty());
  }

  SUBCASE("it is silent and is probed once at a time") {
    REQUIRE(watch.HostsToProbe(kStart + milliseconds(110)).size() == 1);
    CHECK(watch.HostsToProbe(kStart + milliseconds(300)).empty());

    SUBCASE("it answers the probe: the request only waits in the queue") {
      watch.OnProbe("home", true, kStart + milliseconds(120));
      CHECK(!watch.IsFailing("home"));
    }

    SUBCASE("it does not: new requests avoid it") {
      watch.OnProbe("home", false, kStart + milliseconds(310));
      CHECK(watch.IsFailing("home"));
      CHECK(!ticket->IsLost());

      SUBCASE("nor the next: requests under way are given up") {
        REQUIRE(watch.HostsToProbe(kStart + milliseconds(420)).size() == 1);
        watch.OnProbe("home", false, kStart + milliseconds(620));
        CHECK(ticket->IsLost());
      }

      SUBCASE("it is back, even when nobody waits for it") {
        ticket.reset();
        REQUIRE(watch.HostsToProbe(kStart + milliseconds(420)).size() == 1);
        watch.OnProbe("home", true, kStart + milliseconds(430));
        CHECK(!watch.IsFailing("home"));
      }

      SUBCASE("it is gone for good and not probed for ever") {
        ticket.reset();
        CHECK(watch.HostsToProbe(kStart + std::chrono::minutes(2)).empty());
      }
    }
  }
}

}  // namespace toucandock::proxy
