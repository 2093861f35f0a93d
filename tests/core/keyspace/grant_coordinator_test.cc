#include "core/keyspace/grant_coordinator.h"

#include <doctest/doctest.h>

#include "core/keyspace/coordinator_fixture.h"

namespace toucandock::core::keyspace {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

}  // namespace

TEST_CASE("keys must be served soon and never by two targets") {
  CoordinatorSimulation simulation({});
  simulation.Run(seconds(4));
  REQUIRE(simulation.ServedFraction() == 1.0);

  SUBCASE("a target is drained and hands its keys over") {
    simulation.SetDraining(1, true);
    simulation.Run(milliseconds(1'800));
    CHECK(simulation.ServedFraction() == 1.0);
    for (const Assignment& it : simulation.Newest()->assignments) {
      CHECK(it.owner.id != "t1");
    }
  }

  SUBCASE("a target is lost: its leases are waited out") {
    simulation.CrashTarget(2);
    simulation.Run(milliseconds(2'000));
    CHECK(simulation.ServedFraction() < 1.0);
    simulation.Run(seconds(7));
    CHECK(simulation.ServedFraction() == 1.0);
  }

  SUBCASE("a target is cut off but still holds its keys") {
    simulation.CutTarget(2, true);
    simulation.Run(seconds(9));
    CHECK(simulation.ServedFraction() == 1.0);
    simulation.CutTarget(2, false);
    simulation.Run(seconds(2));
  }

  SUBCASE("a target restarts under its id and holds nothing") {
    simulation.CrashTarget(0);
    simulation.Run(milliseconds(300));
    simulation.RestartTarget(0);
    simulation.Run(seconds(3));
    CHECK(simulation.ServedFraction() == 1.0);
  }

  SUBCASE("the duty moves while nothing else does: no key stops") {
    simulation.SetLeader(1);
    for (int i = 0; i < 40; ++i) {
      simulation.Run(milliseconds(100));
      CHECK(simulation.ServedFraction() == 1.0);
    }
    CHECK(simulation.Newest()->writer == "h1/1");
  }

  SUBCASE("the host with the duty is paused, and its successor moves keys") {
    simulation.Pause(0, true);
    simulation.SetLeader(1);
    simulation.SetDraining(3, true);
    simulation.Run(seconds(6));
    CHECK(simulation.ServedFraction() == 1.0);
    simulation.Pause(0, false);
    simulation.Run(seconds(3));
    CHECK(simulation.ServedFraction() == 1.0);
  }

  SUBCASE("the host with the duty is cut from the store during a move") {
    simulation.SetDraining(3, true);
    simulation.Run(milliseconds(90));
    simulation.CutFromStore(0, true);
    simulation.SetLeader(1);
    simulation.Run(seconds(6));
    CHECK(simulation.ServedFraction() == 1.0);
  }

  SUBCASE("the store is away for nine seconds: leases go on") {
    for (int i = 0; i < 3; ++i) {
      simulation.CutFromStore(i, true);
    }
    simulation.Run(seconds(9));
    CHECK(simulation.ServedFraction() == 1.0);
    for (int i = 0; i < 3; ++i) {
      simulation.CutFromStore(i, false);
    }
    simulation.Run(seconds(1));
    CHECK(simulation.ServedFraction() == 1.0);
  }

  // wds-gateway trouble-3: the store dealt the duty anew just before it went
  // away, and the earlier host stopped renewing for a successor that never was.
  SUBCASE("the duty moves, and the store goes away before anybody takes it") {
    simulation.Pause(1, true);
    simulation.SetLeader(1);
    simulation.Run(milliseconds(700));
    for (int i = 0; i < 3; ++i) {
      simulation.CutFromStore(i, true);
    }
    for (int i = 0; i < 8; ++i) {
      simulation.Run(seconds(1));
      CHECK(simulation.ServedFraction() == 1.0);
    }
    simulation.Pause(1, false);
    for (int i = 0; i < 3; ++i) {
      simulation.CutFromStore(i, false);
    }
    simulation.Run(seconds(3));
    CHECK(simulation.Newest()->writer == "h1/1");
    CHECK(simulation.ServedFraction() == 1.0);
  }

  // wds-gateway trouble-3: the host with the duty was stopped while the store
  // was away, and the leases ended three seconds before anybody could renew.
  SUBCASE("the host with the duty ends while the store is away") {
    for (int i = 0; i < 3; ++i) {
      simulation.CutFromStore(i, true);
    }
    simulation.Run(seconds(3));
    simulation.Pause(0, true);
    for (int i = 0; i < 7; ++i) {
      simulation.Run(seconds(1));
      CHECK(simulation.ServedFraction() == 1.0);
    }
    simulation.SetLeader(1);
    for (int i = 1; i < 3; ++i) {
      simulation.CutFromStore(i, false);
    }
    simulation.Run(milliseconds(1'500));
    CHECK(simulation.ServedFraction() == 1.0);

    SUBCASE("and an owner was lost meanwhile, whose lease is waited out") {
      simulation.CutTarget(2, true);
      simulation.SetListed(2, false);
      simulation.Run(seconds(18));
      CHECK(simulation.ServedFraction() == 1.0);
    }
  }

  // wds-gateway trouble-3: the successor renewed over kept connections only,
  // had none yet, and let all leases end during the outage.
  SUBCASE("the store goes away right after the duty has moved") {
    simulation.SetLeader(1);
    simulation.Run(milliseconds(700));
    REQUIRE(simulation.Newest()->writer == "h1/1");
    for (int i = 0; i < 3; ++i) {
      simulation.CutFromStore(i, true);
    }
    for (int i = 0; i < 9; ++i) {
      simulation.Run(seconds(1));
      CHECK(simulation.ServedFraction() == 1.0);
    }
  }

  SUBCASE("all hosts are killed at once and find the owners on the store") {
    for (int i = 0; i < 3; ++i) {
      simulation.RestartHost(i);
    }
    simulation.Run(seconds(2));
    CHECK(simulation.ServedFraction() == 1.0);
  }

  SUBCASE("the host with the duty restarts between release and grant") {
    simulation.SetDraining(3, true);
    for (int i = 0; i < 12; ++i) {
      simulation.Run(milliseconds(30));
      simulation.RestartHost(0);
    }
    simulation.Run(seconds(8));
    CHECK(simulation.ServedFraction() == 1.0);
  }

  CHECK(simulation.FirstViolation() == "");
}

// kc-brama trouble-1: the leases of both owners of an unsettled range were
// renewed to raise their fences, so that both held the keys.
TEST_CASE("a successor must not grant keys to several possible holders") {
  CoordinatorSimulation simulation(
      {.lost_answers = 0.3, .seed = 965'096'673'780});
  simulation.Run(seconds(6));
  for (int round = 0; round < 6; ++round) {
    simulation.SetDraining(round % 4, true);
    simulation.Run(milliseconds(150));
    simulation.SetLeader((simulation.leader() + 1) % 3);
    simulation.SetDraining((round + 1) % 4, true);
    simulation.Run(seconds(4));
    simulation.SetDraining(round % 4, false);
    simulation.SetDraining((round + 1) % 4, false);
  }
  CHECK(simulation.FirstViolation() == "");
}

// A grant "over a kept connection" that never was takes a round of its own and
// then waits for the next confirmation of the duty.
TEST_CASE("an answered release must not count as a connection for grants") {
  TimePoint now{seconds(1'000)};
  const TargetInstance earlier{.id = "t0", .start_time_ms = 1};
  const TargetInstance owner{.id = "t1", .start_time_ms = 1};
  OwnershipTable table{
      .service = "s",
      .writer = "predecessor",
      .assignments = {{.owner = owner, .previous = {earlier}}}};
  GrantCoordinator coordinator("s", "successor", "", CoordinatorOptions{});
  coordinator.OnTargets({{.instance = earlier, .address = "a"},
                         {.instance = owner, .address = "b"}},
                        now);
  coordinator.OnTable(table, now);
  coordinator.OnLeadership(true, now);
  table.writer = "successor";
  table.offset = 1;
  coordinator.OnTable(table, now);

  // Past the time in which the predecessor may still change owners.
  now += seconds(3);
  coordinator.OnLeadership(true, now);
  std::vector<Action> actions = coordinator.Tick(now);
  REQUIRE(actions.size() == 2);
  for (const Action& it : actions) {
    const auto* release = std::get_if<ReleaseCommand>(&it);
    REQUIRE(release != nullptr);
    coordinator.OnCommandResponse(
        {.id = release->id, .result = CommandResult::kDone}, now);
  }
  actions = coordinator.Tick(now);
  REQUIRE(actions.size() == 1);
  const auto* fence_raise = std::get_if<GrantCommand>(&actions[0]);
  REQUIRE(fence_raise != nullptr);
  CHECK_FALSE(fence_raise->kept_connection_only);
}

TEST_CASE("no schedule of faults may give a key to two targets") {
  // Enough schedules to meet each pair of faults in several orders. Found here:
  // a host that was paused for 4 s granted over a new connection although a
  // successor had the duty (seed 1044), and over a connection that its release
  // to a restarted target had opened (seed 5633).
  constexpr std::uint64_t kSchedules = 10'000;
  for (std::uint64_t seed = 1; seed <= kSchedules; ++seed) {
    CAPTURE(seed);
    CoordinatorSimulation simulation(
        {.lost_answers = seed % 3 == 0 ? 0.25 : 0.0,
         .late_commands = seed % 2 == 0 ? 0.5 : 0.0,
         .max_delay = milliseconds(20 + 15 * (seed % 4)),
         .seed = seed});
    simulation.Run(seconds(3));
    std::uniform_int_distribution<int> pick(0, 9);
    for (int step = 0; step < 25; ++step) {
      const int host = pick(simulation.random()) % 3;
      const int target = pick(simulation.random()) % 4;
      switch (pick(simulation.random())) {
        case 0:
          simulation.SetLeader(host);
          break;
        case 1:
          simulation.CutFromStore(host, pick(simulation.random()) < 5);
          break;
        case 2:
          simulation.Pause(host, pick(simulation.random()) < 5);
          break;
        case 3:
          simulation.RestartHost(host);
          break;
        case 4:
          simulation.CutTarget(target, pick(simulation.random()) < 5);
          break;
        case 5:
          simulation.CrashTarget(target);
          break;
        case 6:
          simulation.RestartTarget(target);
          break;
        case 7:
          simulation.SetDraining(target, pick(simulation.random()) < 5);
          break;
        case 8:
          simulation.SetListed(target, pick(simulation.random()) < 7);
          break;
        default:
          simulation.Load(
              static_cast<std::uint32_t>(pick(simulation.random())) * 7'000,
              200);
      }
      simulation.Run(milliseconds(50 + 90 * pick(simulation.random())));
    }
    simulation.StopLosingAnswers();
    for (int i = 0; i < 3; ++i) {
      simulation.Pause(i, false);
      simulation.CutFromStore(i, false);
    }
    for (int i = 0; i < 4; ++i) {
      simulation.CutTarget(i, false);
      simulation.RestartTarget(i);
      simulation.SetDraining(i, false);
    }
    // Longer than the longest wait for leases of an unreachable holder.
    simulation.Run(seconds(25));
    REQUIRE(simulation.FirstViolation() == "");
    CHECK(simulation.ServedFraction() == 1.0);
  }
}

}  // namespace toucandock::core::keyspace
