#include "proxy/queue_host_health.h"

#include <doctest/doctest.h>

#include <optional>

namespace toucandock::proxy {
namespace {

using std::chrono::milliseconds;

constexpr core::TimePoint kStart{std::chrono::seconds(100)};

}  // namespace

TEST_CASE("a home host that does not answer must not hold requests for long") {
  QueueHostHealth health;
  const core::control::HostInfo host = {.id = "home", .peer_address = "p"};
  std::optional<QueueHostHealth::Ticket> ticket;
  ticket.emplace(health, host, kStart);
  CHECK(health.HostsToProbe(kStart + milliseconds(50)).empty());

  SUBCASE("it answers another request") {
    health.OnAnswer("home", kStart + milliseconds(60));
    CHECK(health.HostsToProbe(kStart + milliseconds(110)).empty());
  }

  SUBCASE("it is silent and is probed once at a time") {
    REQUIRE(health.HostsToProbe(kStart + milliseconds(110)).size() == 1);
    CHECK(health.HostsToProbe(kStart + milliseconds(300)).empty());

    SUBCASE("it answers the probe: the request only waits in the queue") {
      health.OnProbe("home", true, kStart + milliseconds(120));
      CHECK(!health.IsFailing("home"));
    }

    SUBCASE("it does not: new requests avoid it") {
      health.OnProbe("home", false, kStart + milliseconds(310));
      CHECK(health.IsFailing("home"));
      CHECK(!ticket->IsLost());

      SUBCASE("nor the next: requests under way are given up") {
        REQUIRE(health.HostsToProbe(kStart + milliseconds(420)).size() == 1);
        health.OnProbe("home", false, kStart + milliseconds(620));
        CHECK(ticket->IsLost());
      }

      SUBCASE("it is back, even when nobody waits for it") {
        ticket.reset();
        REQUIRE(health.HostsToProbe(kStart + milliseconds(420)).size() == 1);
        health.OnProbe("home", true, kStart + milliseconds(430));
        CHECK(!health.IsFailing("home"));
      }

      SUBCASE("it is gone for good and not probed for ever") {
        ticket.reset();
        CHECK(health.HostsToProbe(kStart + std::chrono::minutes(2)).empty());
      }
    }
  }
}

}  // namespace toucandock::proxy
