#include "core/request/attempt_placement.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <map>

#include "absl/strings/str_cat.h"

namespace toucandock::core::request {
namespace {

using control::HostInfo;

std::vector<HostInfo> Hosts(int n) {
  std::vector<HostInfo> hosts;
  hosts.reserve(n);
  for (int k = 0; k < n; ++k) {
    hosts.push_back({.id = absl::StrCat("entry-", k)});
  }
  return hosts;
}

std::vector<HostInfo> Without(std::vector<HostInfo> hosts, const HostId& id) {
  std::erase_if(hosts, [&](const HostInfo& it) { return it.id == id; });
  return hosts;
}

bool Contains(const std::vector<HostInfo>& hosts, const HostId& id) {
  return std::any_of(hosts.begin(), hosts.end(),
                     [&](const HostInfo& it) { return it.id == id; });
}

constexpr int kIds = 1'000;

}  // namespace

// Hosts learn of a change of members at different times. If their registry
// hosts had none in common, a resend through another host would not find the
// record of the first attempt and the request would run twice.
TEST_CASE("two views that differ by one member must share a registry host") {
  const std::vector<HostInfo> before = Hosts(8);
  for (int n = 0; n < kIds; ++n) {
    const std::string id = absl::StrCat("order-", n);
    const auto hosts = RegistryHosts(before, "lodger", id);
    REQUIRE(hosts.size() == 2);
    for (const auto& after : {Hosts(9), Without(before, hosts[0].id),
                              Without(before, hosts[1].id)}) {
      const auto changed = RegistryHosts(after, "lodger", id);
      CHECK((Contains(changed, hosts[0].id) || Contains(changed, hosts[1].id)));
    }
  }
}

TEST_CASE("no host must carry far more than its share of attempts") {
  std::map<HostId, int> counts;
  for (int n = 0; n < kIds; ++n) {
    for (const HostInfo& it :
         RegistryHosts(Hosts(8), "lodger", absl::StrCat("order-", n))) {
      ++counts[it.id];
    }
  }
  REQUIRE(counts.size() == 8);
  for (const auto& [id, count] : counts) {
    CHECK(count < 2 * 2 * kIds / 8);
  }
}

TEST_CASE("a fleet of one host must register its attempts") {
  CHECK(RegistryHosts(Hosts(1), "lodger", "order-1").size() == 1);
  CHECK(RegistryHosts({}, "lodger", "order-1").empty());
}

// Without the handover, a host that becomes a registry host does not know the
// earlier attempts and lets a resend run again.
TEST_CASE("a new registry host must get the records of its attempts") {
  const std::vector<HostInfo> before = Hosts(4);
  std::vector<AttemptRecord> records;
  records.reserve(kIds);
  for (int n = 0; n < kIds; ++n) {
    records.push_back({{"lodger", absl::StrCat("order-", n), "f", "t"}});
  }

  SUBCASE("a host joins") {
    const auto plan = PlanHandover(records, before, Hosts(5), "entry-0");
    REQUIRE(plan.size() == 1);
    CHECK(plan[0].to.id == "entry-4");
    const auto expected =
        std::count_if(records.begin(), records.end(), [](const auto& it) {
          return Contains(RegistryHosts(Hosts(5), "lodger", it.key.request_id),
                          "entry-4");
        });
    CHECK(plan[0].records.size() == static_cast<size_t>(expected));
  }

  SUBCASE("a host is lost") {
    const auto after = Without(before, "entry-3");
    size_t handed_over = 0;
    for (const Handover& it : PlanHandover(records, before, after, "entry-9")) {
      handed_over += it.records.size();
    }
    const auto expected =
        std::count_if(records.begin(), records.end(), [&](const auto& it) {
          return Contains(RegistryHosts(before, "lodger", it.key.request_id),
                          "entry-3");
        });
    CHECK(handed_over == static_cast<size_t>(expected));
  }

  SUBCASE("nothing changes") {
    CHECK(PlanHandover(records, before, before, "entry-0").empty());
  }
}

}  // namespace toucandock::core::request
