#include "core/routing/queue_host.h"

#include <doctest/doctest.h>

#include <map>

#include "absl/strings/str_cat.h"

namespace toucandock::core::routing {
namespace {

constexpr int kHosts = 10;
constexpr int kTargets = 1'000;

RoutingSnapshot MakeSnapshot() {
  RoutingSnapshot snapshot;
  for (int n = 0; n < kHosts; ++n) {
    snapshot.hosts.push_back({.id = absl::StrCat("entry", n)});
  }
  return snapshot;
}

std::map<TargetId, HostId> QueueHosts(const RoutingSnapshot& snapshot,
                                      const HostId& failing = "") {
  std::map<TargetId, HostId> queue_hosts;
  for (int n = 0; n < kTargets; ++n) {
    const TargetId target = absl::StrCat("callboard/", n);
    queue_hosts[target] = QueueHost(snapshot, target, [&](const HostId& it) {
                            return it == failing;
                          })->id;
  }
  return queue_hosts;
}

}  // namespace

// If the requests to a target went through two queues, the queues together
// could send it more requests than it has slots.
TEST_CASE("a change of members must not split the queues of other targets") {
  RoutingSnapshot snapshot = MakeSnapshot();
  const std::map<TargetId, HostId> before = QueueHosts(snapshot);

  SUBCASE("the targets are spread over the members") {
    std::map<HostId, int> counts;
    for (const auto& [target, host] : before) {
      ++counts[host];
    }
    for (const auto& [host, count] : counts) {
      CHECK(count > kTargets / kHosts / 2);
      CHECK(count < kTargets / kHosts * 2);
    }
  }

  SUBCASE("a member leaves") {
    const HostId gone = snapshot.hosts.front().id;
    snapshot.hosts.erase(snapshot.hosts.begin());
    for (const auto& [target, host] : QueueHosts(snapshot)) {
      CHECK((before.at(target) == gone || before.at(target) == host));
    }
  }

  SUBCASE("a member that is failing is replaced for its own targets only") {
    const HostId failing = snapshot.hosts.front().id;
    for (const auto& [target, host] : QueueHosts(snapshot, failing)) {
      CHECK(host != failing);
      CHECK((before.at(target) == failing || before.at(target) == host));
    }
  }

  SUBCASE("no member is left") {
    snapshot.hosts.clear();
    CHECK(QueueHost(snapshot, "callboard/1",
                    [](const HostId&) { return false; }) == nullptr);
  }
}

TEST_CASE("the hosts together must not exhaust a target's connections") {
  RoutingSnapshot snapshot = MakeSnapshot();
  ServiceRoute& service = snapshot.services["kwatera"];
  service.config.slots = 3;
  service.config.connections = 46;
  service.targets = {{.id = "kwatera/t", .address = "t"}};

  SUBCASE("ten hosts share 46 connections") {
    const size_t share = ConnectionShares(snapshot).at("t");
    CHECK(share == 4);
    CHECK(kHosts * share + service.config.slots <= 46);
  }

  SUBCASE("a limit below the number of hosts leaves each host one connection") {
    service.config.connections = 5;
    CHECK(ConnectionShares(snapshot).at("t") == 1);
  }
}

}  // namespace toucandock::core::routing
