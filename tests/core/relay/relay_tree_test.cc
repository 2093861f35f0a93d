#include "core/relay/relay_tree.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <cmath>
#include <set>

#include "absl/strings/str_cat.h"
#include "core/relay/running_time.h"

namespace toucandock::core::relay {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr TimePoint kStart{seconds(100)};

std::string Address(int n) {
  return absl::StrCat("10.0.", n / 250, ".", n % 250, ":7000");
}

Relay HostAt(int n) {
  return {.address = Address(n), .failure_domain = absl::StrCat("d", n % 6)};
}

// Hosts in six failure domains, every third of which is fast.
std::vector<RelayCandidate> Hosts(int count) {
  std::vector<RelayCandidate> hosts;
  hosts.reserve(static_cast<size_t>(count));
  for (int n = 0; n < count; ++n) {
    hosts.push_back(
        {.relay = HostAt(n), .capacity = n / 6 % 3 == 0 ? 5.0 : 1.0});
  }
  return hosts;
}

std::map<std::string, int> HostsPerRelay(const std::vector<Relay>& relays,
                                         int hosts) {
  std::map<std::string, int> counts;
  for (int n = 0; n < hosts; ++n) {
    RelayChoice choice(HostAt(n), {});
    choice.SetRelays(relays);
    if (const auto relay = choice.Current(kStart)) {
      ++counts[*relay];
    }
  }
  return counts;
}

}  // namespace

// Seen in the sweep of wds-gateway at 300 hosts: all of them exchanged messages
// with the leader, which used 93% of its processor, and configurations were in
// force 7.7 s late.
TEST_CASE("no host of a large fleet may serve many others") {
  SUBCASE("a small fleet has no relays") {
    CHECK(AppointRelays({}, Hosts(12), 12, {}).empty());
    CHECK(AppointRelays({}, Hosts(24), 24, {}).empty());
  }

  for (const int hosts : {30, 100, 300, 1'000}) {
    CAPTURE(hosts);
    const std::vector<Relay> relays =
        AppointRelays({}, Hosts(hosts), hosts, {});
    const double root = std::sqrt(hosts);
    CHECK(static_cast<double>(relays.size()) <= root + 1);

    SUBCASE("hosts spread evenly over the relays") {
      for (const auto& [relay, count] : HostsPerRelay(relays, hosts)) {
        CHECK(count <= 2.2 * root);
      }
    }

    SUBCASE("hosts use relays of their own failure domain") {
      for (int n = 0; n < hosts; ++n) {
        RelayChoice choice(HostAt(n), {});
        choice.SetRelays(relays);
        const auto relay = choice.Current(kStart);
        CHECK((choice.IsRelay() ||
               std::count(relays.begin(), relays.end(),
                          Relay{.address = *relay,
                                .failure_domain = HostAt(n).failure_domain}) ==
                   1));
      }
    }

    SUBCASE("the relays are fast hosts of all failure domains") {
      std::set<std::string> domains;
      for (const RelayCandidate& it : Hosts(hosts)) {
        if (std::find(relays.begin(), relays.end(), it.relay) != relays.end()) {
          CHECK(it.capacity == 5.0);
          domains.insert(it.relay.failure_domain);
        }
      }
      CHECK(domains.size() == 6);
    }
  }
}

// Guards against a fleet in which each loss makes many hosts change their
// relay, and fetch everything again, at the same time.
TEST_CASE("the loss of a relay must affect only the hosts that used it") {
  constexpr int kHosts = 300;
  const std::vector<RelayCandidate> all = Hosts(kHosts);
  const std::vector<Relay> relays = AppointRelays({}, all, kHosts, {});
  const Relay& lost = relays.front();

  SUBCASE("the leader keeps the others and appoints one more") {
    std::vector<RelayCandidate> rest = all;
    std::erase_if(rest, [&](const auto& it) { return it.relay == lost; });
    const auto next = AppointRelays(relays, rest, kHosts - 1, {});
    CHECK(next.size() == relays.size());
    for (const Relay& it : relays) {
      CHECK((it == lost || std::count(next.begin(), next.end(), it) == 1));
    }
  }

  SUBCASE("a relay that leaves is replaced before it ends") {
    std::vector<RelayCandidate> rest = all;
    for (RelayCandidate& it : rest) {
      it.capacity = it.relay == lost ? 0 : it.capacity;
    }
    const auto next = AppointRelays(relays, rest, kHosts, {});
    CHECK(next.size() == relays.size());
    CHECK(std::count(next.begin(), next.end(), lost) == 0);
  }

  SUBCASE("a host whose relay does not answer asks another one") {
    for (int n = 0; n < kHosts; ++n) {
      RelayChoice choice(HostAt(n), {});
      choice.SetRelays(relays);
      const auto first = choice.Current(kStart);
      TimePoint now = kStart;
      for (; now < kStart + milliseconds(900); now += milliseconds(300)) {
        choice.OnAsked(now);
        const auto asked = choice.Current(now);
        if (asked && asked != lost.address) {
          choice.OnAnswer(*asked, true, now);
        }
      }
      choice.OnAsked(now);
      CAPTURE(n);
      CHECK((first == lost.address) == (choice.Current(now) != first));
    }
  }

  SUBCASE("a relay whose own source is lost is given up as well") {
    RelayChoice choice(HostAt(9'999), {});
    choice.SetRelays(relays);
    const auto first = choice.Current(kStart);
    for (TimePoint now = kStart; now <= kStart + milliseconds(900);
         now += milliseconds(300)) {
      choice.OnAsked(now);
      choice.OnAnswer(*first, false, now);
    }
    CHECK(choice.Current(kStart + milliseconds(900)) != first);

    SUBCASE("and used again later") {
      CHECK(choice.Current(kStart + seconds(10)) == first);
    }
  }

  SUBCASE("a host asks the leader when no relay answers") {
    RelayChoice choice(HostAt(9'999), {});
    choice.SetRelays({HostAt(1), HostAt(2)});
    for (TimePoint now = kStart; now <= kStart + milliseconds(2'400);
         now += milliseconds(300)) {
      choice.OnAsked(now);
    }
    CHECK_FALSE(choice.Current(kStart + milliseconds(2'400)));
  }
}

// Guards against a fleet of about the limit that appoints and dismisses its
// relays with each host that comes or goes.
TEST_CASE("relays must not alternate with the size of the fleet") {
  const auto relays = AppointRelays({}, Hosts(25), 25, {});
  REQUIRE(relays.size() == 5);
  CHECK(AppointRelays(relays, Hosts(23), 23, {}) == relays);
  CHECK(AppointRelays(relays, Hosts(18), 18, {}).empty());
}

// Seen on wds-gateway-large with slow hosts: a leader that was too busy to read
// its messages counted 7 of 195 hosts, dismissed all relays and then had to
// serve every host by itself.
TEST_CASE("a leader that hears few hosts must not dismiss its relays at once") {
  FleetSize size;
  TimePoint now = kStart;
  const auto count = [&](int hosts, Duration time) {
    for (const TimePoint end = now + time; now < end;
         now += milliseconds(300)) {
      size.Add(hosts, now);
    }
  };
  count(195, seconds(5));
  CHECK_FALSE(size.HasDropped());

  SUBCASE("it does not hear most of them for some seconds") {
    count(7, seconds(6));
    CHECK(size.HasDropped());
    CHECK(size.largest() == 195);

    SUBCASE("and hears them again") {
      count(195, seconds(6));
      CHECK_FALSE(size.HasDropped());
    }

    SUBCASE("and never hears them again, so the fleet is small") {
      count(7, seconds(10));
      CHECK_FALSE(size.HasDropped());
      CHECK(size.largest() == 7);
    }
  }

  SUBCASE("it has just become the leader, and hears them one by one") {
    FleetSize size_of_new_leader;
    size_of_new_leader.Add(5, now);
    CHECK_FALSE(size_of_new_leader.HasSettled());
    CHECK_FALSE(size.HasSettled());
    count(195, seconds(6));
    CHECK(size.HasSettled());

    SUBCASE("as after some time in which another host was the leader") {
      now += seconds(20);
      size.Add(5, now);
      CHECK_FALSE(size.HasSettled());
    }
  }

  SUBCASE("some hosts leave") {
    count(120, seconds(6));
    CHECK_FALSE(size.HasDropped());
  }
}

// Guards against a host that takes all others for lost because it did not run
// itself.
TEST_CASE("the silence of others must not count while this host did not run") {
  RunningTime time(milliseconds(600), kStart);
  for (int n = 0; n < 10; ++n) {
    time.OnTick(kStart + n * milliseconds(300));
  }
  const TimePoint heard = kStart + milliseconds(2'700);
  const auto silence = [&](TimePoint now) {
    return time.At(now) - time.At(heard);
  };
  CHECK(silence(heard + milliseconds(300)) == milliseconds(300));

  SUBCASE("it stalls for 5 s") {
    const TimePoint resumed = heard + seconds(5);
    const Duration heard_before = time.At(heard) - kStart;
    // A message that is read before the next tick.
    CHECK(time.At(resumed) - kStart - heard_before == milliseconds(600));
    time.OnTick(resumed);
    CHECK(time.At(resumed) - kStart - heard_before == milliseconds(600));

    SUBCASE("and runs again") {
      const TimePoint later = resumed + milliseconds(300);
      time.OnTick(later);
      CHECK(time.At(later) - kStart - heard_before == milliseconds(900));
    }
  }
}

}  // namespace toucandock::core::relay
