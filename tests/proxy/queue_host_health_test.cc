#include "proxy/queue_host_health.h"

#include <doctest/doctest.h>

#include <optional>

namespace toucandock::proxy {
namespace {

using std::chrono::milliseconds;

constexpr core::TimePoint kStart{std::chrono::seconds(100)};

}  // namespace

// A request may wait long in the queue of its queue host, so a short timeout
// would abandon requests that only wait. Probes show whether the host is still
// available.
TEST_CASE(
    "a queue host that does not respond must not delay requests for long") {
  QueueHostHealth health;
  const core::control::HostInfo host = {.id = "home", .peer_address = "p"};
  std::optional<QueueHostHealth::Ticket> ticket;
  ticket.emplace(health, host, kStart);
  CHECK(health.HostsToProbe(kStart + milliseconds(50)).empty());

  SUBCASE("it responds to another request") {
    health.OnAnswer("home", kStart + milliseconds(60));
    CHECK(health.HostsToProbe(kStart + milliseconds(110)).empty());
  }

  SUBCASE("it sends nothing and gets one probe at a time") {
    REQUIRE(health.HostsToProbe(kStart + milliseconds(110)).size() == 1);
    CHECK(health.HostsToProbe(kStart + milliseconds(300)).empty());

    SUBCASE("it responds to the probe: the request only waits in the queue") {
      health.OnProbe("home", true, kStart + milliseconds(120));
      CHECK(!health.IsFailing("home"));
    }

    SUBCASE("it does not respond to the probe: new requests avoid it") {
      health.OnProbe("home", false, kStart + milliseconds(310));
      CHECK(health.IsFailing("home"));
      CHECK(!ticket->IsLost());

      SUBCASE("nor to the next one: requests in flight are abandoned") {
        REQUIRE(health.HostsToProbe(kStart + milliseconds(420)).size() == 1);
        health.OnProbe("home", false, kStart + milliseconds(620));
        CHECK(ticket->IsLost());
      }

      SUBCASE("it is available again although no request waits for it") {
        ticket.reset();
        REQUIRE(health.HostsToProbe(kStart + milliseconds(420)).size() == 1);
        health.OnProbe("home", true, kStart + milliseconds(430));
        CHECK(!health.IsFailing("home"));
      }

      SUBCASE("it never returns and is not probed forever") {
        ticket.reset();
        CHECK(health.HostsToProbe(kStart + std::chrono::minutes(2)).empty());
      }
    }
  }
}

}  // namespace toucandock::proxy
