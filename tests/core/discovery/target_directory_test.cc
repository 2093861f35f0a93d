#include "core/discovery/target_directory.h"

#include <doctest/doctest.h>

namespace toucandock::core::discovery {
namespace {

using std::chrono::milliseconds;

constexpr TimePoint kStart{std::chrono::seconds(100)};

TargetEntry Entry(std::uint64_t sequence,
                  bool draining = false,
                  const std::string& id = "t") {
  return {.instance = {.id = id, .start_time_ms = 7},
          .service = "s",
          .address = "10.0.0.1:80",
          .slots = 4,
          .draining = draining,
          .sequence = sequence};
}

}  // namespace

TEST_CASE("outdated entries must not make a leaving target usable again") {
  TargetDirectory directory({});
  REQUIRE(directory.Apply(Entry(1), kStart));

  SUBCASE("an earlier entry arrives late") {
    REQUIRE(directory.Apply(Entry(3, true), kStart));
    CHECK_FALSE(directory.Apply(Entry(2), kStart));
    CHECK(directory.targets().at("t").entry.draining);

    SUBCASE("a later one of the same instance does not undo it either") {
      directory.Apply(Entry(4), kStart);
      CHECK(directory.targets().at("t").entry.draining);
    }

    SUBCASE("a new instance is usable") {
      TargetEntry entry = Entry(1);
      entry.instance.start_time_ms = 8;
      directory.Apply(entry, kStart);
      CHECK_FALSE(directory.targets().at("t").entry.draining);
    }
  }

  SUBCASE("it is removed while the store is available") {
    CHECK(directory.Remove("t", kStart));
    CHECK(directory.targets().empty());

    SUBCASE("an entry from before its removal is read again") {
      CHECK_FALSE(directory.Apply(Entry(0), kStart));
      CHECK(directory.targets().empty());
    }
  }
}

TEST_CASE("entries that expire in an outage must not make targets unusable") {
  TargetDirectory directory({});
  REQUIRE(directory.Apply(Entry(1), kStart));
  directory.OnStoreLost();
  directory.OnStoreRecovered(kStart + milliseconds(9'000));
  TimePoint now = kStart + milliseconds(9'050);
  REQUIRE_FALSE(directory.RetainOnly({}, now));

  SUBCASE("the entry comes back in time") {
    directory.Apply(Entry(2), now + milliseconds(1'500));
    CHECK_FALSE(directory.Tick(now + milliseconds(3'000)));
    CHECK(directory.targets().size() == 1);
  }

  SUBCASE("it does not: the target is removed two seconds after the recovery") {
    CHECK_FALSE(directory.Tick(now + milliseconds(1'900)));
    CHECK(directory.Tick(now + milliseconds(1'950)));
    CHECK(directory.targets().empty());
  }

  // Seen in wds-gateway scale-2 with seed 624040184870: a second loss of the
  // store restarted the grace period.
  SUBCASE("another short loss of the store does not extend the period") {
    directory.OnStoreLost();
    directory.OnStoreRecovered(now + milliseconds(900));
    CHECK(directory.Tick(now + milliseconds(1'950)));
  }

  // Seen in wds-gateway scale-2 with seed 950229649193: a host that was the
  // only one cut off from the store applied the grace period of an outage to
  // targets that had left.
  SUBCASE("the store has responded to another host all the time") {
    directory.OnStoreConfirmedByPeer(kStart, now);
    CHECK(directory.Tick(now));
    CHECK(directory.targets().empty());

    SUBCASE("later removals take effect immediately") {
      directory.Apply(Entry(1, false, "u"), now);
      CHECK(directory.Remove("u", now));
    }
  }

  SUBCASE("it has responded to the other host only since recently") {
    directory.OnStoreConfirmedByPeer(kStart + milliseconds(8'500), now);
    CHECK_FALSE(directory.Tick(now));
    directory.OnStoreConfirmedByPeer(kStart + milliseconds(8'500),
                                     now + milliseconds(1'400));
    CHECK_FALSE(directory.Tick(now + milliseconds(1'400)));
    CHECK(directory.Tick(now + milliseconds(1'450)));
  }

  SUBCASE("this host has lost the store, the other one has not") {
    directory.OnStoreLost();
    directory.OnStoreConfirmedByPeer(kStart, now);
    CHECK(directory.Tick(now));

    SUBCASE("and stops reporting: entries may expire in an outage") {
      directory.Apply(Entry(1, false, "u"), now);
      now += milliseconds(1'000);
      CHECK_FALSE(directory.Remove("u", now));
      CHECK_FALSE(directory.Tick(now + milliseconds(5'000)));
    }
  }

  // Seen in kc-brama hunt-05da-27: the grace period was counted from the time
  // at which the removal was read.
  SUBCASE("a removal that is read later has the same grace period") {
    directory.Apply(Entry(1, false, "u"), now);
    now += milliseconds(1'500);
    REQUIRE_FALSE(directory.Remove("u", now));
    CHECK(directory.Tick(kStart + milliseconds(11'000)));
    CHECK(directory.targets().empty());
  }
}

// Guards against live targets that are taken out of use on hosts which make no
// calls to the store themselves and so do not notice its outages.
TEST_CASE("a host without calls to the store must know of its outages") {
  TargetDirectory directory(DirectoryOptions{});
  directory.Apply(Entry(1, false), kStart);
  TimePoint now = kStart + milliseconds(10'000);

  SUBCASE("an entry that expired in an outage stays for two seconds") {
    directory.OnStoreUpReported(now - milliseconds(100));
    CHECK_FALSE(directory.Remove("t", now));
    CHECK(directory.targets().size() == 1);

    SUBCASE("and is kept if its target publishes it again") {
      directory.Apply(Entry(2, false), now + milliseconds(1'000));
      CHECK_FALSE(directory.Tick(now + milliseconds(5'000)));
      CHECK(directory.targets().size() == 1);
    }
    SUBCASE("and is removed otherwise") {
      CHECK(directory.Tick(now + milliseconds(1'950)));
      CHECK(directory.targets().empty());
    }
  }

  SUBCASE("without an outage, a removal takes effect at once") {
    directory.OnStoreUpReported(kStart);
    CHECK(directory.Remove("t", now));
  }
}

}  // namespace toucandock::core::discovery
