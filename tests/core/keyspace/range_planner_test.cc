#include "core/keyspace/range_planner.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <cmath>
#include <limits>
#include <map>
#include <set>
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

namespace {

// 20 targets share the keys and a load of 0.4 of their capacity evenly.
PlanInput EvenLoad() {
  constexpr int kTargets = 20;
  constexpr std::uint32_t kSamples = 1'000;
  PlanInput input = Input(kTargets);
  input.busy_slots_per_sample = 0.032;
  input.assignments.clear();
  for (std::uint32_t i = 0; i < kTargets; ++i) {
    input.assignments.push_back(
        {.keys = {i * 65'536 / kTargets, (i + 1) * 65'536 / kTargets - 1},
         .owner = input.candidates[i].instance,
         .serving = true});
  }
  for (std::uint32_t i = 0; i < kSamples; ++i) {
    input.sampled_keys.push_back(i * 65'536 / kSamples);
  }
  return input;
}

void AddSamples(PlanInput& input, std::uint32_t key, size_t count) {
  input.sampled_keys.insert(input.sampled_keys.end(), count, key);
  std::sort(input.sampled_keys.begin(), input.sampled_keys.end());
}

const std::string& OwnerOf(const std::vector<Assignment>& assignments,
                           std::uint32_t key) {
  return std::find_if(
             assignments.begin(), assignments.end(),
             [key](const Assignment& it) { return it.keys.Contains(key); })
      ->owner.id;
}

int MovesIn(const std::vector<Assignment>& assignments) {
  return static_cast<int>(
      std::count_if(assignments.begin(), assignments.end(),
                    [](const Assignment& it) { return !it.serving; }));
}

}  // namespace

TEST_CASE("one plan must relieve busy targets, with no needless moves") {
  PlanInput input = EvenLoad();

  SUBCASE("even load stays where it is") {
    CHECK_FALSE(PlanRanges(input, {}));

    SUBCASE("also if all targets are overloaded") {
      input.busy_slots_per_sample = 0.12;
      CHECK_FALSE(PlanRanges(input, {}));
    }
  }

  SUBCASE("60 neighbouring keys become busy") {
    for (std::uint32_t i = 0; i < 60; ++i) {
      AddSamples(input, 40'000 + i, 13);
    }
    auto plan = PlanRanges(input, {});
    REQUIRE(plan);
    REQUIRE(CoversAllKeys(*plan));
    std::set<std::string> owners;
    for (std::uint32_t i = 0; i < 60; ++i) {
      owners.insert(OwnerOf(*plan, 40'000 + i));
    }
    // The mean is 89 samples.
    CHECK(owners.size() >= 12);
    for (const auto& it : SamplesByOwner(*plan, input.sampled_keys)) {
      CAPTURE(it.first);
      CHECK(it.second < 1.25 * 89);
    }
    // One piece for each owner.
    CHECK(MovesIn(*plan) <= 25);

    SUBCASE("and nothing moves again while the load stays") {
      input.assignments = WithConfirmedGrants(*plan);
      CHECK_FALSE(PlanRanges(input, {}));
    }
    SUBCASE("unless the change has only begun to show") {
      input.is_settling = true;
      CHECK_FALSE(PlanRanges(input, {}));
    }
  }

  // Neither can be served together with other keys.
  SUBCASE("two adjacent keys become hot, and do not stay together") {
    AddSamples(input, 40'000, 150);
    AddSamples(input, 40'001, 150);
    const auto plan = PlanRanges(input, {});
    REQUIRE(plan);
    CHECK(OwnerOf(*plan, 40'000) != OwnerOf(*plan, 40'001));
    const auto samples = SamplesByOwner(*plan, input.sampled_keys);
    CHECK(samples.at(OwnerOf(*plan, 40'000)) < 155);
    CHECK(samples.at(OwnerOf(*plan, 40'001)) < 155);
  }

  SUBCASE("a key becomes hot, and a faster target has nothing else") {
    input.candidates[5].capacity = 6.4;
    AddSamples(input, 40'000, 500);
    auto plan = PlanRanges(input, {});
    REQUIRE(plan);
    CHECK(OwnerOf(*plan, 40'000) == "t5");
    CHECK(SamplesByOwner(*plan, input.sampled_keys).at("t5") <= 504);

    SUBCASE("and it stays there, with other keys where they are") {
      input.assignments = WithConfirmedGrants(*plan);
      CHECK_FALSE(PlanRanges(input, {}));
    }
  }

  // 20 requests that each stand for 16 may as well be noise.
  SUBCASE("few samples of great weight move nothing") {
    input.sample_weights.assign(input.sampled_keys.size(), 1);
    input.sample_variances.assign(input.sampled_keys.size(), 1);
    for (size_t i = 0; i < 4; ++i) {
      input.sample_weights[110 + i] = 16;
      input.sample_variances[110 + i] = 256;
    }
    CHECK_FALSE(PlanRanges(input, {}));
  }

  SUBCASE("most load reports are lost: nothing moves") {
    input.sampled_keys.assign(60, 40'000);
    input.busy_slots_per_sample = 1;
    CHECK_FALSE(PlanRanges(input, {}));
  }

  SUBCASE("a target becomes cold and keeps what it can bear") {
    input.mean_work_time = std::chrono::milliseconds(140);
    input.candidates[7].cold_requests_per_second = 7.2;
    auto plan = PlanRanges(input, {});
    REQUIRE(plan);
    // One slot is busy with 31 samples.
    const auto samples = SamplesByOwner(*plan, input.sampled_keys);
    CHECK(samples.at("t7") > 5);
    CHECK(samples.at("t7") < 0.65 * 31);

    SUBCASE("a rate that is no number, or none, bears nothing") {
      for (const double rate :
           {0.0, -1.0, std::numeric_limits<double>::quiet_NaN()}) {
        CAPTURE(rate);
        input.candidates[7].cold_requests_per_second = rate;
        plan = PlanRanges(input, {});
        REQUIRE(plan);
        CHECK(SamplesByOwner(*plan, input.sampled_keys)["t7"] < 5);
      }
    }
    SUBCASE("one that bears nothing gets no keys of a lost target either") {
      input.candidates[7].cold_requests_per_second = 0;
      input.assignments[7].owner.id = "lost";
      plan = PlanRanges(input, {});
      REQUIRE(plan);
      for (const Assignment& it : *plan) {
        CHECK(it.owner.id != "t7");
      }
    }
    SUBCASE("a huge rate does not exceed what its slots bear") {
      input.candidates[7].cold_requests_per_second = 1e9;
      CHECK_FALSE(PlanRanges(input, {}));
    }
  }

  SUBCASE("idle ranges of an earlier load are left over") {
    std::vector<Assignment> cut;
    for (Assignment& it : input.assignments) {
      const std::uint32_t middle = it.keys.first + 1'000;
      for (std::uint32_t i = 0; i < 2; ++i) {
        Assignment part = it;
        part.keys.last = middle + i;
        if (i == 1) {
          part.keys.first = part.keys.last;
          part.owner = input.candidates[(middle / 3'276 + 5) % 20].instance;
        }
        cut.push_back(part);
        it.keys.first = part.keys.last + 1;
      }
      cut.push_back(it);
    }
    input.assignments = cut;
    input.sampled_keys.clear();
    for (std::uint32_t i = 0; i < 1'000; ++i) {
      input.sampled_keys.push_back(i * 65'536 / 1'000 + 7);
    }
    REQUIRE(input.assignments.size() == 60);

    SUBCASE("they stay while nothing else has to move") {
      input.candidates.resize(20);
      PlanOptions options;
      options.ranges_per_target = 2.5;
      CHECK_FALSE(PlanRanges(input, options));
    }
    SUBCASE("they join their neighbours in a plan that is made anyway") {
      AddSamples(input, 40'000, 200);
      const auto plan = PlanRanges(input, {});
      REQUIRE(plan);
      REQUIRE(CoversAllKeys(*plan));
      CHECK(WithConfirmedGrants(*plan).size() == MergeNeighbours(*plan).size());
      CHECK(MergeNeighbours(WithConfirmedGrants(*plan)).size() < 60);
    }
  }
}

}  // namespace toucandock::core::keyspace
