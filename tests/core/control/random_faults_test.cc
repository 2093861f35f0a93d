#include <doctest/doctest.h>

#include <iterator>
#include <random>
#include <string>
#include <vector>

#include "core/control/controller_fixture.h"

namespace toucandock::core::control::testing {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// Injects random faults of all kinds; at most one in each place at a time, so
// that the fleet can recover in between.
class RandomFaultInjector {
 public:
  RandomFaultInjector(Fleet& fleet, std::uint64_t seed)
      : fleet_(fleet), random_(seed) {}

  void InjectFault() {
    switch (Pick(12)) {
      case 0:
        Restart(Host());
        break;
      case 1:
      case 2:
        Pause(Host());
        break;
      case 3:
        fleet_.Kill(Target());
        break;
      case 4:
        Pause(Target());
        break;
      case 5:
        fleet_.Cut(Host(), Host());
        break;
      case 6:
        fleet_.Cut(Host(), Target());
        break;
      case 7:
        fleet_.Cut(Host(), "log");
        break;
      case 8:
        fleet_.log.available = !fleet_.log.available;
        break;
      case 9:
        fleet_.log.loses_answers = !fleet_.log.loses_answers;
        fleet_.log.delay = milliseconds(1 + Pick(300));
        break;
      case 10:
        fleet_.loss = Pick(2) * 0.1;
        fleet_.link_delay = milliseconds(1 + Pick(8));
        break;
      default:
        Isolate(Host());
        break;
    }
  }

  void HealSome() {
    if (Pick(2) == 0) {
      fleet_.HealLinks();
    }
    for (const std::string& it : std::exchange(paused_, {})) {
      fleet_.Resume(it);
    }
    for (const char* it : kTargets) {
      if (!fleet_.Target(it).alive && Pick(2) == 0) {
        fleet_.RestartTarget(it);
      }
    }
  }

  void HealAll() {
    fleet_.HealLinks();
    fleet_.loss = 0;
    fleet_.link_delay = milliseconds(1);
    fleet_.log.available = true;
    fleet_.log.loses_answers = false;
    fleet_.log.delay = milliseconds(2);
    while (!paused_.empty()) {
      HealSome();
    }
    for (const char* it : kTargets) {
      if (!fleet_.Target(it).alive) {
        fleet_.RestartTarget(it);
      }
    }
  }

  std::uint64_t Pick(std::uint64_t n) { return random_() % n; }

 private:
  static constexpr const char* kHosts[] = {"h1", "h2", "h3", "h4", "h5"};
  static constexpr const char* kTargets[] = {"t1", "t2", "t3",
                                             "u1", "u2", "u3"};

  std::string Host() { return kHosts[Pick(std::size(kHosts))]; }
  std::string Target() { return kTargets[Pick(std::size(kTargets))]; }

  void Restart(const std::string& address) {
    std::erase(paused_, address);
    fleet_.StartHost(address, {"h1", "h2", "h3"});
  }

  void Pause(const std::string& address) {
    fleet_.Pause(address);
    paused_.push_back(address);
  }

  void Isolate(const std::string& address) {
    for (const char* it : kHosts) {
      if (it != address) {
        fleet_.Cut(address, it);
      }
    }
  }

  Fleet& fleet_;
  std::mt19937_64 random_;
  std::vector<std::string> paused_;
};

}  // namespace

TEST_CASE(
    "no mix of faults may give a unit two owners, lower a fence or take "
    "a configuration back") {
  for (std::uint64_t seed = 1; seed <= 16; ++seed) {
    SUBCASE(("seed " + std::to_string(seed)).c_str()) {
      Fleet fleet(seed);
      fleet.traffic_interval = milliseconds(20);
      REQUIRE(fleet.StartFleet(5));
      fleet.SetHostList({"h1", "h2", "h3", "h4", "h5"});
      RandomFaultInjector faults(fleet, seed);
      for (int n = 0; n < 25; ++n) {
        faults.InjectFault();
        fleet.RunFor(milliseconds(100 + faults.Pick(1'500)));
        if (faults.Pick(3) == 0) {
          faults.HealSome();
          fleet.RunFor(milliseconds(faults.Pick(1'500)));
        }
        if (n % 8 == 7) {
          fleet.Publish("first", 1);
        }
      }
      faults.HealAll();
      CHECK(fleet.RunUntil([&] { return fleet.IsServing(); }, seconds(30)));
      CHECK(fleet.ViolationSummary() == "");
    }
  }
}

}  // namespace toucandock::core::control::testing
