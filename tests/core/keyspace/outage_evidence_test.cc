#include "core/keyspace/outage_evidence.h"

#include <doctest/doctest.h>

#include <string>
#include <vector>

namespace toucandock::core::keyspace {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr TimePoint kNow{seconds(1'000)};
constexpr Offset kTakeover = 7;

HostReport LostReport(const std::string& host) {
  return {.host = host,
          .store_lost = true,
          .records_end = kTakeover,
          .follows_receiver = true,
          .sent_after = kNow - milliseconds(300)};
}

HostReport FollowerReport(const std::string& host) {
  return {.host = host,
          .store_up = seconds(5),
          .records_end = kTakeover + 1,
          .follows_receiver = true};
}

}  // namespace

// Guards against two leaders: a leader that takes a part of the hosts for all,
// and old reports or those of a successor's hosts for evidence.
TEST_CASE("a leader may act without the store only on enough new reports") {
  const OutageOptions options;
  OutageEvidence evidence(options);
  const HostList list{"a", "b", "c", "d", "e", "f", "g"};
  const auto report = [&](const std::vector<std::string>& hosts) {
    for (const std::string& it : hosts) {
      evidence.OnReport(LostReport(it), kNow);
    }
  };
  const TimePoint end = kNow - milliseconds(300) + options.report_lifetime;

  SUBCASE("hosts that are silent count") {
    report({"a", "b", "c", "d", "e"});
    CHECK(evidence.OutageEnd({list}) == TimePoint{});
    report({"f"});
    CHECK(evidence.OutageEnd({list}) == end);
  }
  SUBCASE("hosts that are not on the list do not") {
    report({"a", "b", "c", "d", "e", "x", "y"});
    CHECK(evidence.OutageEnd({list}) == TimePoint{});
  }
  SUBCASE("each list needs enough") {
    report({"a", "b", "c", "d", "e", "f"});
    CHECK(evidence.OutageEnd({list, {"a", "b", "x"}}) == TimePoint{});
    CHECK(evidence.OutageEnd({list, {"a", "b"}}) == end);
  }
  SUBCASE("an empty list allows nothing") {
    report({"a"});
    CHECK(evidence.OutageEnd({{}}) == TimePoint{});
  }
  SUBCASE("a report without proof of its age does not count") {
    report({"a", "b", "c", "d", "e"});
    HostReport unproved = LostReport("f");
    unproved.sent_after = std::nullopt;
    evidence.OnReport(unproved, kNow);
    CHECK(evidence.OutageEnd({list}) == TimePoint{});
  }
  SUBCASE("nor does one of a host that follows another leader") {
    report({"a", "b", "c", "d", "e", "f"});
    HostReport other = LostReport("f");
    other.follows_receiver = false;
    evidence.OnReport(other, kNow);
    CHECK(evidence.OutageEnd({list}) == TimePoint{});
  }
  SUBCASE("the oldest report that is needed decides") {
    report({"b", "c", "d", "e", "f"});
    HostReport older = LostReport("a");
    older.sent_after = kNow - milliseconds(900);
    evidence.OnReport(older, kNow);
    CHECK(evidence.OutageEnd({list}) ==
          kNow - milliseconds(900) + options.report_lifetime);
  }
}

// Guards against a successor that gives keys on while its predecessor may still
// renew the leases of their owner.
TEST_CASE("a successor must know that its predecessor has too few reports") {
  OutageEvidence evidence{OutageOptions{}};
  const HostList list{"a", "b", "c", "d", "e", "f", "g"};
  evidence.OnReport(FollowerReport("a"), kNow);
  evidence.OnTakeover(kTakeover);

  SUBCASE("reports from before the takeover say nothing") {
    CHECK_FALSE(evidence.ExcludedSince({list}, "b", kNow));
  }
  SUBCASE(
      "two of seven hosts suffice, since six are needed without the store") {
    evidence.OnReport(FollowerReport("a"), kNow);
    CHECK_FALSE(evidence.ExcludedSince({list}, "x", kNow));
    CHECK(evidence.ExcludedSince({list}, "b", kNow) == kNow);
    CHECK(evidence.ExcludedSince({list}, "b", kNow - seconds(9)) ==
          kNow - seconds(5));
  }
  SUBCASE("a host that has not read the takeover's record does not count") {
    HostReport before = FollowerReport("a");
    before.records_end = kTakeover;
    evidence.OnReport(before, kNow);
    CHECK_FALSE(evidence.ExcludedSince({list}, "b", kNow));
  }
  SUBCASE("one without the store counts from its message on") {
    HostReport lost = FollowerReport("a");
    lost.store_lost = true;
    lost.store_up = Duration{};
    evidence.OnReport(lost, kNow);
    CHECK(evidence.ExcludedSince({list}, "b", kNow - seconds(9)) == kNow);
    // A later message does not take back what an earlier one has shown.
    evidence.OnReport(lost, kNow + seconds(3));
    CHECK(evidence.ExcludedSince({list}, "b", kNow - seconds(9)) == kNow);
  }
  SUBCASE("every list must be excluded") {
    evidence.OnReport(FollowerReport("a"), kNow);
    CHECK_FALSE(evidence.ExcludedSince({list, {"x", "y"}}, "b", kNow));
    CHECK(evidence.ExcludedSince({list, {"a", "y"}}, "b", kNow));
  }
  SUBCASE("without other hosts there is nothing to exclude") {
    CHECK(evidence.ExcludedSince({}, "b", kNow));
    CHECK(evidence.ExcludedSince({{}}, "b", kNow));
  }
}

}  // namespace toucandock::core::keyspace
