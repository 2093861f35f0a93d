#include "core/routing/home_host.h"

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

std::map<TargetId, HostId> Homes(const RoutingSnapshot& snapshot,
                                 const HostId& failing = "") {
  std::map<TargetId, HostId> homes;
  for (int n = 0; n < kTargets; ++n) {
    const TargetId target = absl::StrCat("callboard/", n);
    homes[target] = HomeHost(snapshot, target, [&](const HostId& it) {
                      return it == failing;
                    })->id;
  }
  return homes;
}

}  // namespace

TEST_CASE("a change of members must not split the queues of other targets") {
  RoutingSnapshot snapshot = MakeSnapshot();
  const std::map<TargetId, HostId> before = Homes(snapshot);

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
    for (const auto& [target, host] : Homes(snapshot)) {
      CHECK((before.at(target) == gone || before.at(target) == host));
    }
  }

  SUBCASE("a member that is failing is replaced for its own targets only") {
    const HostId failing = snapshot.hosts.front().id;
    for (const auto& [target, host] : Homes(snapshot, failing)) {
      CHECK(host != failing);
      CHECK((before.at(target) == failing || before.at(target) == host));
    }
  }

  SUBCASE("no member is left") {
    snapshot.hosts.clear();
    CHECK(HomeHost(snapshot, "callboard/1",
                   [](const HostId&) { return false; }) == nullptr);
  }
}

}  // namespace toucandock::core::routing
