#include "observe/ownership_watch.h"

#include <doctest/doctest.h>

#include <chrono>
#include <string>
#include <vector>

#include "absl/strings/match.h"
#include "absl/strings/str_cat.h"

namespace toucandock::observe {
namespace {

using namespace core::control;  // NOLINT(google-build-using-namespace)
using std::chrono::milliseconds;

// A replica whose service "s" has two shards, owned by t1.
class Fleet {
 public:
  Fleet() {
    ControlState state;
    state.next = 1;
    state.config_version = 1;
    state.assignments[{"s", 0}] = {"s/t1", 10};
    state.assignments[{"s", 1}] = {"s/t1", 11};
    replica.InstallState({std::make_shared<const ControlState>(state), {}});
  }

  void Direct(std::vector<UnitMove> moves, std::set<core::TargetId> lost = {}) {
    replica.set_leader_state({.ballot = {2, "a"},
                              .sequence = ++sequence,
                              .moves = std::move(moves),
                              .lost = std::move(lost)});
  }

  ControlHooks hooks = {.parse_config = [](const std::string&) {
    return core::config::Config{{{.name = "s", .keyed = true, .shards = 2}}};
  }};
  Replica replica{hooks};
  std::uint64_t sequence = 0;
};

UnitMove Move(MovePhase phase) {
  return {.unit = {"s", 0},
          .to = {"s/t2", 12},
          .from = "s/t1",
          .phase = phase,
          .since = 2};
}

}  // namespace

TEST_CASE(
    "a host that is not the leader must still explain the leader's decisions") {
  Fleet fleet;
  std::vector<std::string> decided;
  int changes = 0;
  core::Duration without_owner{};
  core::Duration without_lease{};
  OwnershipWatch watch(
      {.decided =
           [&](const std::string& what, const std::string& cause) {
             decided.push_back(absl::StrCat(what, " (", cause, ")"));
           },
       .owner_changed = [&](const std::string&) { ++changes; },
       .without_owner = [&](const std::string&,
                            core::Duration it) { without_owner += it; },
       .without_lease = [&](core::Duration it) { without_lease += it; }});
  core::TimePoint now{milliseconds(1'000)};
  watch.Observe(fleet.replica, false);
  watch.Advance(now, true);
  CHECK(decided.empty());

  SUBCASE("a move is explained and its time without an owner is counted") {
    fleet.Direct({Move(MovePhase::kRevoking)}, {"s/t1"});
    watch.Observe(fleet.replica, false);
    REQUIRE(decided.size() == 3);
    CHECK(decided[0] ==
          "host a is the leader, ballot 2 (its directive was "
          "received)");
    CHECK(decided[1] == "target s/t1 lost (directive 1 of host a)");
    CHECK(decided[2] ==
          "unit s/shard-0 moves from s/t1 to s/t2, fence 12 (its "
          "owner was lost, directive 1 of host a)");
    watch.Advance(now + milliseconds(300), true);
    fleet.Direct({Move(MovePhase::kActive)});
    watch.Observe(fleet.replica, false);
    watch.Advance(now + milliseconds(900), true);
    REQUIRE(decided.size() == 5);
    CHECK(decided[3] == "target s/t1 back (directive 2 of host a)");
    CHECK(absl::StartsWith(decided[4],
                           "unit s/shard-0 is served by s/t2, fence 12"));
    CHECK(without_owner == milliseconds(300));
    CHECK(without_lease == milliseconds(0));
    CHECK(changes == 0);

    SUBCASE("the same leader state is not reported twice") {
      watch.Observe(fleet.replica, false);
      CHECK(decided.size() == 5);
    }
  }
  SUBCASE("a move that was recorded between two calls keeps its cause") {
    fleet.Direct({Move(MovePhase::kGranting)});
    watch.Observe(fleet.replica, false);
    ControlState recorded = fleet.replica.state();
    recorded.next = 2;
    recorded.assignments[{"s", 0}] = {"s/t2", 12};
    fleet.replica.InstallState(
        {std::make_shared<const ControlState>(recorded), {}});
    fleet.Direct({});
    watch.Observe(fleet.replica, false);
    CHECK(decided.back() ==
          "unit s/shard-0 is served by s/t2, fence 12 (its "
          "owner was lost, directive 1 of host a)");
  }
  SUBCASE("the leader counts the change and leaves reporting to the core") {
    fleet.Direct({Move(MovePhase::kActive)});
    watch.Observe(fleet.replica, true);
    CHECK(decided.empty());
    CHECK(changes == 1);
  }
  SUBCASE("time without a lease is counted") {
    watch.Advance(now + milliseconds(200), false);
    watch.Advance(now + milliseconds(500), true);
    CHECK(without_lease == milliseconds(200));
    CHECK(without_owner == milliseconds(0));
  }
}

}  // namespace toucandock::observe
