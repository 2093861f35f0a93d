#include "core/keyspace/range_planner.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <map>
#include <string>

namespace toucandock::core::keyspace {
namespace {

PlanInput Input(int targets) {
  PlanInput input{.busy_slots_per_sample = 0.05};
  for (int i = 0; i < targets; ++i) {
    input.candidates.push_back(
        {.instance = {.id = "t" + std::to_string(i), .start_time_ms = 1},
         .capacity = 4});
  }
  input.assignments = {Assignment{}};
  return input;
}

// Returns the assignments as they are when all grants have been confirmed.
std::vector<Assignment> WithConfirmedGrants(
    std::vector<Assignment> assignments) {
  for (Assignment& it : assignments) {
    it.serving = true;
    it.previous.clear();
  }
  return assignments;
}

std::map<std::string, int> SamplesByOwner(
    const std::vector<Assignment>& assignments,
    const std::vector<std::uint32_t>& keys) {
  std::map<std::string, int> samples;
  for (const std::uint32_t key : keys) {
    for (const Assignment& it : assignments) {
      if (it.keys.Contains(key)) {
        samples[it.owner.id]++;
      }
    }
  }
  return samples;
}

}  // namespace

TEST_CASE("each key must have an owner, and no target may be overloaded") {
  PlanInput input = Input(4);
  auto plan = PlanRanges(input, {});
  REQUIRE(plan);
  REQUIRE(CoversAllKeys(*plan));
  CHECK(plan->size() == 4);
  input.assignments = WithConfirmedGrants(*plan);

  SUBCASE("nothing changes without a reason") {
    CHECK_FALSE(PlanRanges(input, {}));
  }

  SUBCASE("busy keys that lie close together are spread") {
    for (std::uint32_t i = 0; i < 200; ++i) {
      input.sampled_keys.push_back(40'000 + i);
    }
    plan = PlanRanges(input, {});
    REQUIRE(plan);
    REQUIRE(CoversAllKeys(*plan));
    int max_count = 0;
    for (const auto& [id, n] : SamplesByOwner(*plan, input.sampled_keys)) {
      max_count = std::max(max_count, n);
    }
    CHECK(max_count < 100);
    SUBCASE("and stay where they are while the load stays") {
      input.assignments = WithConfirmedGrants(*plan);
      CHECK_FALSE(PlanRanges(input, {}));
    }
  }

  // Seen in kc-brama trouble-1: splitting such a range never terminated.
  SUBCASE("a single hot key whose owner is lost moves to another target") {
    input.sampled_keys.assign(300, 53'452);
    input.assignments = WithConfirmedGrants({
        {.keys = {0, 53'451}, .owner = {.id = "t0", .start_time_ms = 1}},
        {.keys = {53'452, 53'452}, .owner = {.id = "lost", .start_time_ms = 1}},
        {.keys = {53'453, kLastKey}, .owner = {.id = "t1", .start_time_ms = 1}},
    });
    plan = PlanRanges(input, {});
    REQUIRE(plan);
    CHECK(CoversAllKeys(*plan));
    const auto it = std::find_if(
        plan->begin(), plan->end(),
        [](const Assignment& a) { return a.keys.Contains(53'452); });
    CHECK(it->owner.id != "lost");
    CHECK(it->previous ==
          std::vector<TargetInstance>{{.id = "lost", .start_time_ms = 1}});
  }

  SUBCASE("a single hot key stays, and its owner's other keys move away") {
    input.sampled_keys.assign(300, 53'452);
    input.sampled_keys.insert(input.sampled_keys.end(), 60, 60'000);
    input.assignments = WithConfirmedGrants({
        {.keys = {0, 16'383}, .owner = {.id = "t0", .start_time_ms = 1}},
        {.keys = {16'384, 32'767}, .owner = {.id = "t1", .start_time_ms = 1}},
        {.keys = {32'768, 53'451}, .owner = {.id = "t2", .start_time_ms = 1}},
        {.keys = {53'452, 53'452}, .owner = {.id = "t3", .start_time_ms = 1}},
        {.keys = {53'453, kLastKey}, .owner = {.id = "t3", .start_time_ms = 1}},
    });
    plan = PlanRanges(input, {});
    REQUIRE(plan);
    const auto samples = SamplesByOwner(*plan, input.sampled_keys);
    CHECK(samples.at("t3") == 300);
  }

  // Seen in wds-gateway-grown quiet-1: requests for two keys were refused 1,900
  // times by owners that were slower than most targets.
  SUBCASE("a single hot key whose owner is slow moves to a fast target") {
    input.sampled_keys.assign(300, 53'452);
    input.candidates[1].capacity = 6;
    input.candidates[3].capacity = 2;
    input.assignments = WithConfirmedGrants({
        {.keys = {0, 16'383}, .owner = {.id = "t0", .start_time_ms = 1}},
        {.keys = {16'384, 32'767}, .owner = {.id = "t1", .start_time_ms = 1}},
        {.keys = {32'768, 53'451}, .owner = {.id = "t2", .start_time_ms = 1}},
        {.keys = {53'452, 53'452}, .owner = {.id = "t3", .start_time_ms = 1}},
        {.keys = {53'453, kLastKey}, .owner = {.id = "t2", .start_time_ms = 1}},
    });
    plan = PlanRanges(input, {});
    REQUIRE(plan);
    CHECK(SamplesByOwner(*plan, input.sampled_keys).at("t1") == 300);

    SUBCASE("and stays there") {
      input.assignments = WithConfirmedGrants(*plan);
      plan = PlanRanges(input, {});
      CHECK(
          (!plan || SamplesByOwner(*plan, input.sampled_keys).at("t1") == 300));
    }
    SUBCASE("but not to a target that is hardly faster") {
      input.candidates[1].capacity = 2.4;
      input.candidates[0].capacity = 2;
      input.candidates[2].capacity = 2;
      plan = PlanRanges(input, {});
      CHECK(
          (!plan || SamplesByOwner(*plan, input.sampled_keys).at("t3") == 300));
    }
  }

  SUBCASE("a new target gets a part of the keys") {
    input.candidates.push_back(
        {.instance = {.id = "new", .start_time_ms = 9}, .capacity = 4});
    plan = PlanRanges(input, {});
    REQUIRE(plan);
    CHECK(CoversAllKeys(*plan));
    CHECK(std::any_of(plan->begin(), plan->end(), [](const Assignment& it) {
      return it.owner.id == "new";
    }));
  }

  SUBCASE("only the keys of a target that leaves move") {
    input.candidates.erase(input.candidates.begin());
    plan = PlanRanges(input, {});
    REQUIRE(plan);
    for (const Assignment& it : *plan) {
      CHECK(it.owner.id != "t0");
      CHECK((it.serving || it.previous.front().id == "t0"));
    }
  }
}

}  // namespace toucandock::core::keyspace
