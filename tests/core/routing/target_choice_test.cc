#include "core/routing/target_choice.h"

#include <doctest/doctest.h>

#include <map>
#include <random>
#include <set>

namespace toucandock::core::routing {
namespace {

constexpr int kChoices = 200;

// Makes many choices over three targets, a, b and c.
struct Chooser {
  ServiceRoute service;
  std::map<TargetId, std::uint32_t> in_flight;
  std::map<TargetId, std::uint32_t> remote_queue_count;
  std::set<TargetId> failing;
  std::vector<TargetId> tried;
  std::mt19937_64 random{1};

  Chooser() { service.targets = {{.id = "a"}, {.id = "b"}, {.id = "c"}}; }

  std::map<TargetId, int> Choose() {
    std::map<TargetId, int> counts;
    for (int n = 0; n < kChoices; ++n) {
      const TargetRoute* it = ChooseTarget(
          service, tried,
          {.in_flight = [&](const TargetId& id) { return in_flight[id]; },
           .remote_queue_count =
               [&](const TargetId& id) { return remote_queue_count[id]; },
           .is_failing =
               [&](const TargetId& id) { return failing.contains(id); },
           .random = [&] { return random(); }});
      ++counts[it == nullptr ? "none" : it->id];
    }
    return counts;
  }
};

}  // namespace

TEST_CASE("requests must not go to a target that cannot serve them") {
  Chooser chooser;
  REQUIRE(chooser.Choose().size() == 3);

  SUBCASE("one refuses connects") {
    chooser.failing = {"a"};
    CHECK(!chooser.Choose().contains("a"));

    SUBCASE("but all do, so that none can be left out") {
      chooser.failing = {"a", "b", "c"};
      CHECK(chooser.Choose().size() == 3);
    }
  }

  SUBCASE("one was already tried for this request") {
    chooser.tried = {"b"};
    CHECK(!chooser.Choose().contains("b"));
  }

  SUBCASE("one is lost and one draining") {
    chooser.service.targets[0].lost = true;
    chooser.service.targets[1].draining = true;
    CHECK(chooser.Choose() == std::map<TargetId, int>{{"c", kChoices}});

    SUBCASE("and the last one too") {
      chooser.service.targets[2].lost = true;
      CHECK(chooser.Choose() == std::map<TargetId, int>{{"none", kChoices}});
    }
  }
}

TEST_CASE("requests must not pile up at a slow target") {
  Chooser chooser;

  SUBCASE("this host has more in flight there") {
    chooser.in_flight = {{"a", 3}};
    const auto counts = chooser.Choose();
    CHECK(counts.at("a") < counts.at("b") / 2);
    CHECK(counts.at("a") < counts.at("c") / 2);
  }

  SUBCASE("other hosts have more in flight there, as its queue host reported") {
    chooser.remote_queue_count = {{"a", 9}, {"b", 1}, {"c", 1}};
    const auto counts = chooser.Choose();
    CHECK(counts.at("a") < counts.at("b") / 2);

    SUBCASE("but own requests, which are known at once, weigh more") {
      chooser.remote_queue_count = {{"a", 3}};
      chooser.in_flight = {{"b", 1}, {"c", 1}};
      const auto changed = chooser.Choose();
      CHECK(changed.at("a") > changed.at("b"));
    }
  }
}

}  // namespace toucandock::core::routing
