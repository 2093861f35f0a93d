#include "core/keyspace/grant_coordinator.h"

#include <doctest/doctest.h>

#include "core/keyspace/coordinator_fixture.h"

namespace toucandock::core::keyspace {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

}  // namespace

TEST_CASE("keys must be served soon and never by two targets") {
  World world({});
  world.Run(seconds(4));
  REQUIRE(world.Served() == 1.0);

  SUBCASE("a target is drained and hands its keys over") {
    world.SetDraining(1, true);
    world.Run(milliseconds(1'800));
    CHECK(world.Served() == 1.0);
    for (const Assignment& it : world.Newest()->assignments) {
      CHECK(it.owner.id != "t1");
    }
  }

  SUBCASE("a target is lost: its leases are waited out") {
    world.CrashTarget(2);
    world.Run(milliseconds(2'000));
    CHECK(world.Served() < 1.0);
    world.Run(seconds(7));
    CHECK(world.Served() == 1.0);
  }

  SUBCASE("a target is cut off but still holds its keys") {
    world.CutTarget(2, true);
    world.Run(seconds(9));
    CHECK(world.Served() == 1.0);
    world.CutTarget(2, false);
    world.Run(seconds(2));
  }

  SUBCASE("a target restarts under its id and holds nothing") {
    world.CrashTarget(0);
    world.Run(milliseconds(300));
    world.RestartTarget(0);
    world.Run(seconds(3));
    CHECK(world.Served() == 1.0);
  }

  SUBCASE("the duty moves while nothing else does: no key stops") {
    world.SetLeader(1);
    for (int i = 0; i < 40; ++i) {
      world.Run(milliseconds(100));
      CHECK(world.Served() == 1.0);
    }
    CHECK(world.Newest()->writer == "h1/1");
  }

  SUBCASE("the host with the duty is paused, and its successor moves keys") {
    world.Pause(0, true);
    world.SetLeader(1);
    world.SetDraining(3, true);
    world.Run(seconds(6));
    CHECK(world.Served() == 1.0);
    world.Pause(0, false);
    world.Run(seconds(3));
    CHECK(world.Served() == 1.0);
  }

  SUBCASE("the host with the duty is cut from the store during a move") {
    world.SetDraining(3, true);
    world.Run(milliseconds(90));
    world.CutFromStore(0, true);
    world.SetLeader(1);
    world.Run(seconds(6));
    CHECK(world.Served() == 1.0);
  }

  SUBCASE("the store is away for nine seconds: leases go on") {
    for (int i = 0; i < 3; ++i) {
      world.CutFromStore(i, true);
    }
    world.Run(seconds(9));
    CHECK(world.Served() == 1.0);
    for (int i = 0; i < 3; ++i) {
      world.CutFromStore(i, false);
    }
    world.Run(seconds(1));
    CHECK(world.Served() == 1.0);
  }

  // wds-gateway trouble-3: the store dealt the duty anew just before it went
  // away, and the earlier host stopped renewing for a successor that never was.
  SUBCASE("the duty moves, and the store goes away before anybody takes it") {
    world.Pause(1, true);
    world.SetLeader(1);
    world.Run(milliseconds(700));
    for (int i = 0; i < 3; ++i) {
      world.CutFromStore(i, true);
    }
    for (int i = 0; i < 8; ++i) {
      world.Run(seconds(1));
      CHECK(world.Served() == 1.0);
    }
    world.Pause(1, false);
    for (int i = 0; i < 3; ++i) {
      world.CutFromStore(i, false);
    }
    world.Run(seconds(3));
    CHECK(world.Newest()->writer == "h1/1");
    CHECK(world.Served() == 1.0);
  }

  // wds-gateway trouble-3: the host with the duty was stopped while the store
  // was away, and the leases ended three seconds before anybody could renew.
  SUBCASE("the host with the duty ends while the store is away") {
    for (int i = 0; i < 3; ++i) {
      world.CutFromStore(i, true);
    }
    world.Run(seconds(3));
    world.Pause(0, true);
    for (int i = 0; i < 7; ++i) {
      world.Run(seconds(1));
      CHECK(world.Served() == 1.0);
    }
    world.SetLeader(1);
    for (int i = 1; i < 3; ++i) {
      world.CutFromStore(i, false);
    }
    world.Run(milliseconds(1'500));
    CHECK(world.Served() == 1.0);

    SUBCASE("and an owner was lost meanwhile, whose lease is waited out") {
      world.CutTarget(2, true);
      world.SetListed(2, false);
      world.Run(seconds(18));
      CHECK(world.Served() == 1.0);
    }
  }

  // wds-gateway trouble-3: the successor renewed over kept connections only,
  // had none yet, and let all leases end during the outage.
  SUBCASE("the store goes away right after the duty has moved") {
    world.SetLeader(1);
    world.Run(milliseconds(700));
    REQUIRE(world.Newest()->writer == "h1/1");
    for (int i = 0; i < 3; ++i) {
      world.CutFromStore(i, true);
    }
    for (int i = 0; i < 9; ++i) {
      world.Run(seconds(1));
      CHECK(world.Served() == 1.0);
    }
  }

  SUBCASE("all hosts are killed at once and find the owners on the store") {
    for (int i = 0; i < 3; ++i) {
      world.RestartHost(i);
    }
    world.Run(seconds(2));
    CHECK(world.Served() == 1.0);
  }

  SUBCASE("the host with the duty restarts between release and grant") {
    world.SetDraining(3, true);
    for (int i = 0; i < 12; ++i) {
      world.Run(milliseconds(30));
      world.RestartHost(0);
    }
    world.Run(seconds(8));
    CHECK(world.Served() == 1.0);
  }

  CHECK(world.FirstFault() == "");
}

// kc-brama trouble-1: the leases of both owners of an unsettled range were
// renewed to raise their fences, so that both held the keys.
TEST_CASE("a successor must not grant keys to several possible holders") {
  World world({.lost_answers = 0.3, .seed = 965'096'673'780});
  world.Run(seconds(6));
  for (int round = 0; round < 6; ++round) {
    world.SetDraining(round % 4, true);
    world.Run(milliseconds(150));
    world.SetLeader((world.leader() + 1) % 3);
    world.SetDraining((round + 1) % 4, true);
    world.Run(seconds(4));
    world.SetDraining(round % 4, false);
    world.SetDraining((round + 1) % 4, false);
  }
  CHECK(world.FirstFault() == "");
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
    World world({.lost_answers = seed % 3 == 0 ? 0.25 : 0.0,
                 .late_commands = seed % 2 == 0 ? 0.5 : 0.0,
                 .max_delay = milliseconds(20 + 15 * (seed % 4)),
                 .seed = seed});
    world.Run(seconds(3));
    std::uniform_int_distribution<int> pick(0, 9);
    for (int step = 0; step < 25; ++step) {
      const int host = pick(world.random()) % 3;
      const int target = pick(world.random()) % 4;
      switch (pick(world.random())) {
        case 0:
          world.SetLeader(host);
          break;
        case 1:
          world.CutFromStore(host, pick(world.random()) < 5);
          break;
        case 2:
          world.Pause(host, pick(world.random()) < 5);
          break;
        case 3:
          world.RestartHost(host);
          break;
        case 4:
          world.CutTarget(target, pick(world.random()) < 5);
          break;
        case 5:
          world.CrashTarget(target);
          break;
        case 6:
          world.RestartTarget(target);
          break;
        case 7:
          world.SetDraining(target, pick(world.random()) < 5);
          break;
        case 8:
          world.SetListed(target, pick(world.random()) < 7);
          break;
        default:
          world.Load(static_cast<std::uint32_t>(pick(world.random())) * 7'000,
                     200);
      }
      world.Run(milliseconds(50 + 90 * pick(world.random())));
    }
    world.StopLosingAnswers();
    for (int i = 0; i < 3; ++i) {
      world.Pause(i, false);
      world.CutFromStore(i, false);
    }
    for (int i = 0; i < 4; ++i) {
      world.CutTarget(i, false);
      world.RestartTarget(i);
      world.SetDraining(i, false);
    }
    // Longer than the longest wait for leases of an unreachable holder.
    world.Run(seconds(25));
    REQUIRE(world.FirstFault() == "");
    CHECK(world.Served() == 1.0);
  }
}

}  // namespace toucandock::core::keyspace
