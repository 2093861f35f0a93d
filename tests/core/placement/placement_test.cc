#include "core/placement/placement.h"

#include <doctest/doctest.h>

#include <map>
#include <string>
#include <vector>

#include "core/placement/hot_keys.h"
#include "core/placement/key_rates.h"

namespace toucandock::core::placement {
namespace {

constexpr TimePoint kStart{std::chrono::seconds(100)};

std::vector<Candidate> Targets(int count) {
  std::vector<Candidate> targets;
  targets.reserve(count);
  for (int n = 0; n < count; ++n) {
    targets.push_back({.id = "t" + std::to_string(n), .failure_domain = "d"});
  }
  return targets;
}

// Applies the decided moves until there are none, at most `rounds` times, and
// returns how many shards moved.
int Converge(PlacementInput& input, int rounds) {
  int moved = 0;
  for (int n = 0; n < rounds; ++n) {
    const std::vector<ShardMove> moves = PlaceShards(input);
    if (moves.empty()) {
      return moved;
    }
    for (const ShardMove& it : moves) {
      input.shards[it.shard].owner = it.to;
      ++moved;
    }
  }
  return moved;
}

std::map<TargetId, int> CountByOwner(const PlacementInput& input) {
  std::map<TargetId, int> counts;
  for (const ShardState& it : input.shards) {
    ++counts[it.owner];
  }
  return counts;
}

}  // namespace

// Every move makes the keys of a shard unavailable for a short time, so shards
// whose owner remains must stay.
TEST_CASE("a change of targets must not move shards of the others") {
  PlacementInput input;
  input.candidates = Targets(8);
  input.shards.resize(64);
  Converge(input, 100);
  REQUIRE(CountByOwner(input)["t0"] == 8);
  const std::vector<ShardState> before = input.shards;

  SUBCASE("a target is lost: only its shards move") {
    input.candidates.erase(input.candidates.begin());
    Converge(input, 100);
    for (size_t n = 0; n < before.size(); ++n) {
      if (before[n].owner != "t0") {
        CHECK(input.shards[n].owner == before[n].owner);
      }
    }

    SUBCASE("it comes back and takes no more than its share") {
      input.candidates = Targets(8);
      CHECK(Converge(input, 100) <= 8);
      CHECK(CountByOwner(input)["t0"] >= 7);
    }
  }

  SUBCASE("a target does not respond at present: it keeps its shards") {
    input.candidates[0].accepts = false;
    CHECK(Converge(input, 100) == 0);
  }

  SUBCASE("a cold target joins with a quarter of the weight") {
    input.candidates.push_back(
        {.id = "cold", .failure_domain = "d", .weight = 0.25});
    Converge(input, 100);
    CHECK(CountByOwner(input)["cold"] >= 1);
    CHECK(CountByOwner(input)["cold"] <= 3);
  }

  SUBCASE("every target is lost: nothing is placed") {
    input.candidates.clear();
    CHECK(PlaceShards(input).empty());
  }
}

// Shards that are balanced over the targets only could still be concentrated in
// one failure domain, and its loss would overload the targets that remain.
TEST_CASE("the loss of a failure domain must not affect most of the shards") {
  PlacementInput input;
  input.candidates = Targets(6);
  for (size_t n = 0; n < input.candidates.size(); ++n) {
    input.candidates[n].failure_domain = n % 2 == 0 ? "a" : "b";
  }
  input.shards.resize(60);
  Converge(input, 100);
  std::map<std::string, int> by_domain;
  for (const ShardState& it : input.shards) {
    by_domain[it.owner == "t0" || it.owner == "t2" || it.owner == "t4" ? "a"
                                                                       : "b"]++;
  }
  CHECK(by_domain["a"] == 30);
  CHECK(by_domain["b"] == 30);
}

TEST_CASE("two hot keys of one shard must not overload their target") {
  HotKeyInput input;
  input.candidates = Targets(4);
  for (int n = 0; n < 16; ++n) {
    input.shard_owners.push_back("t" + std::to_string(n % 4));
  }
  input.rates.per_second = 440;
  input.rates.shards.assign(16, 15);
  input.rates.shards[4] = 15 + 2 * 100;
  const std::uint64_t hot = 16 * 7 + 4;
  const std::uint64_t other = 16 * 9 + 4;
  input.rates.hottest = {{hot, 101}, {other, 99}};

  const std::vector<HotKeyChange> split = PlaceHotKeys(input, {});
  REQUIRE(split.size() == 1);
  CHECK(split[0].key_hash == hot);
  CHECK(split[0].to != "t0");
  input.placed[hot] = split[0].to;

  SUBCASE("once placed, it stays where it is") {
    CHECK(PlaceHotKeys(input, {}).empty());
  }

  SUBCASE("its target is lost: it moves at once") {
    std::erase_if(input.candidates,
                  [&](const Candidate& it) { return it.id == split[0].to; });
    HotKeyOptions options;
    options.max_changes = 0;
    const std::vector<HotKeyChange> moved = PlaceHotKeys(input, options);
    REQUIRE(moved.size() == 1);
    CHECK(moved[0].to != split[0].to);
  }

  SUBCASE("its rate falls and it returns to its shard") {
    input.rates.hottest = {{hot, 1}, {other, 1}};
    const std::vector<HotKeyChange> merged = PlaceHotKeys(input, {});
    REQUIRE(merged.size() == 1);
    CHECK(merged[0].to.empty());
  }

  SUBCASE("a move of it is in progress: nothing is decided") {
    input.rates.hottest = {{hot, 1}};
    input.moving = {hot};
    CHECK(PlaceHotKeys(input, {}).empty());
  }

  SUBCASE("a key of a service with few requests is not placed separately") {
    input.placed.clear();
    input.rates.per_second = 4;
    input.rates.hottest = {{hot, 4}};
    CHECK(PlaceHotKeys(input, {}).empty());
  }
}

TEST_CASE("a hot key must be found among many others in fixed memory") {
  KeyRateCounter counter(64, 16);
  counter.Take(kStart, 4);
  const std::uint64_t hot = (std::uint64_t{5} << 32) + 3;
  for (std::uint64_t n = 0; n < 10'000; ++n) {
    counter.Count(n << 32 | n);
    if (n % 4 == 0) {
      counter.Count(hot);
    }
  }
  const ServiceRates rates = counter.Take(kStart + std::chrono::seconds(2), 4);
  CHECK(rates.per_second == doctest::Approx(6'250));
  REQUIRE_FALSE(rates.hottest.empty());
  CHECK(rates.hottest.size() <= 4);
  CHECK(rates.hottest[0].key_hash == hot);
  CHECK(rates.hottest[0].per_second == doctest::Approx(1'250).epsilon(0.1));

  SUBCASE("the next window starts from zero") {
    const ServiceRates empty =
        counter.Take(kStart + std::chrono::seconds(3), 4);
    CHECK(empty.per_second == 0);
    CHECK(empty.hottest.empty());
  }
}

}  // namespace toucandock::core::placement
