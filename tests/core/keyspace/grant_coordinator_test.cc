#include "core/keyspace/grant_coordinator.h"

#include <doctest/doctest.h>

#include <algorithm>

#include "core/keyspace/coordinator_fixture.h"

namespace toucandock::core::keyspace {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// Time for which a target may hold keys after a grant was sent to it: the grant
// may take its time-out to arrive, and the target's clock may be slow.
Duration LongestHold() {
  const CoordinatorOptions options;
  return options.grant_timeout +
         std::chrono::duration_cast<Duration>(options.grant_lease *
                                              (1 + options.clock_drift));
}

// Keys return to service within this time once they may move.
constexpr milliseconds kMoveLimit{500};

void CutOffLeader(CoordinatorSimulation& simulation, int companions) {
  const int hosts = simulation.hosts();
  const int leader = simulation.leader();
  for (int i = 0; i <= companions; ++i) {
    simulation.CutFromStore((leader + i) % hosts, true);
    for (int j = companions + 1; j < hosts; ++j) {
      simulation.CutHosts((leader + i) % hosts, (leader + j) % hosts, true);
    }
  }
  simulation.SetLeader((leader + companions + 1) % hosts);
}

// Ends all cuts between hosts, targets and the store.
void Heal(CoordinatorSimulation& simulation) {
  for (int i = 0; i < simulation.hosts(); ++i) {
    simulation.CutFromStore(i, false);
    for (int j = 0; j < simulation.hosts(); ++j) {
      simulation.CutHosts(i, j, false);
    }
    for (int target = 0; target < 4; ++target) {
      simulation.CutPath(i, target, false);
    }
  }
}

// Faults of a random schedule besides those that each schedule has. Each kind
// draws from a generator of its own, so that the other faults of a seed stay
// the same.
struct AdditionalFaults {
  // The store comes back from copies of itself.
  bool restores = false;
  // New connections to running targets are refused on their way, and targets
  // close the connections that they have.
  bool refused_connects = false;
};

// Runs one of the random schedules of faults.
void RunSchedule(std::uint64_t seed, const AdditionalFaults& additional) {
  CoordinatorSimulation simulation(
      {.lost_answers = seed % 3 == 0 ? 0.25 : 0.0,
       .late_commands = seed % 2 == 0 ? 0.5 : 0.0,
       .max_delay = milliseconds(20 + 15 * (seed % 4)),
       .seed = seed});
  simulation.Run(seconds(3));
  std::uniform_int_distribution<int> pick(0, 9);
  std::mt19937_64 restore_random(seed);
  std::mt19937_64 refusal_random(~seed);
  for (int step = 0; step < 25; ++step) {
    if (additional.refused_connects && pick(refusal_random) < 4) {
      const int refusing = pick(refusal_random) % 4;
      simulation.RefuseConnects(refusing, pick(refusal_random) < 6);
      if (pick(refusal_random) < 5) {
        simulation.CloseConnections(refusing);
      }
    }
    if (additional.restores && pick(restore_random) < 2) {
      const auto away =
          milliseconds((pick(restore_random) % 3) * 230 * pick(restore_random));
      simulation.RestoreStore(away,
                              static_cast<size_t>(pick(restore_random) / 2),
                              pick(restore_random) % 3);
    }
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
            static_cast<std::uint32_t>(pick(simulation.random())) * 7'000, 200);
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
    simulation.RefuseConnects(i, false);
    simulation.RestartTarget(i);
    simulation.SetDraining(i, false);
  }
  // Longer than the maximum wait for the leases of an unreachable holder.
  simulation.Run(seconds(25));
  REQUIRE(simulation.FirstViolation() == "");
  CHECK(simulation.ServedFraction() == 1.0);
}

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

  SUBCASE("a target does not respond: its keys move after its leases") {
    simulation.CutTarget(2, true);
    simulation.Run(milliseconds(2'000));
    CHECK(simulation.ServedFraction() < 1.0);
    simulation.Run(seconds(7));
    CHECK(simulation.ServedFraction() == 1.0);
  }

  // Its connects are refused, which may as well come from the path to a running
  // process. Its last lease is the only evidence that it holds nothing.
  SUBCASE("a target has ended: its keys move when its leases have ended") {
    simulation.CrashTarget(2);
    simulation.Run(LongestHold() + kMoveLimit);
    CHECK(simulation.ServedFraction() == 1.0);
  }

  SUBCASE("a target has ended, and comes back before its leases would end") {
    simulation.CrashTarget(2);
    simulation.Run(milliseconds(2'400));
    simulation.RestartTarget(2);
    simulation.Run(LongestHold() - milliseconds(2'400) + kMoveLimit);
    CHECK(simulation.ServedFraction() == 1.0);
  }

  SUBCASE("a target ends while the leader changes") {
    simulation.SetLeader(1);
    simulation.Run(milliseconds(500));
    simulation.CrashTarget(2);
    // The earlier leader may grant leases until its leadership lease ends.
    simulation.Run(CoordinatorOptions().leadership_lease + LongestHold() +
                   kMoveLimit);
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

  SUBCASE("only the leader changes: all keys remain served") {
    simulation.SetLeader(1);
    for (int i = 0; i < 40; ++i) {
      simulation.Run(milliseconds(100));
      CHECK(simulation.ServedFraction() == 1.0);
    }
    CHECK(simulation.Newest()->writer == "h1/1");
  }

  SUBCASE("the leader is paused, and its successor moves keys") {
    simulation.Pause(0, true);
    simulation.SetLeader(1);
    simulation.SetDraining(3, true);
    simulation.Run(seconds(6));
    CHECK(simulation.ServedFraction() == 1.0);
    simulation.Pause(0, false);
    simulation.Run(seconds(3));
    CHECK(simulation.ServedFraction() == 1.0);
  }

  SUBCASE("the leader is cut off from the store during a move") {
    simulation.SetDraining(3, true);
    simulation.Run(milliseconds(90));
    simulation.CutFromStore(0, true);
    simulation.SetLeader(1);
    simulation.Run(seconds(6));
    CHECK(simulation.ServedFraction() == 1.0);
  }

  SUBCASE("the store is unavailable for nine seconds: leases are renewed") {
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

  // Seen in wds-gateway trouble-3: the leader was stopped while the store was
  // unavailable, and the leases ended three seconds before another host could
  // renew them.
  SUBCASE("the leader terminates while the store is unavailable") {
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

    SUBCASE("and a lost owner's keys move after its lease has ended") {
      simulation.CutTarget(2, true);
      simulation.SetListed(2, false);
      simulation.Run(seconds(18));
      CHECK(simulation.ServedFraction() == 1.0);
    }
  }

  // Seen in wds-gateway trouble-3: the successor renewed leases over kept
  // connections only, had no connection yet, and let all leases end during the
  // outage.
  SUBCASE("the store becomes unavailable right after a change of leader") {
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

  // The bound of an outage must not be taken for lost when the store answers
  // again: hosts that follow the successor show that the predecessor has ended.
  SUBCASE("the leader is lost in an outage, and its successor waits for it") {
    for (int i = 0; i < 3; ++i) {
      simulation.CutFromStore(i, true);
    }
    simulation.Run(seconds(6));
    simulation.Pause(0, true);
    simulation.SetLeader(1);
    simulation.CutTarget(2, true);
    simulation.SetListed(2, false);
    for (int i = 0; i < 3; ++i) {
      simulation.CutFromStore(i, false);
    }
    simulation.Run(seconds(18));
    CHECK(simulation.ServedFraction() == 1.0);
    simulation.Pause(0, false);
    simulation.Run(seconds(3));
  }

  // Seen in review/1 (kc-brama): only the newest grant counted, so the keys
  // were given on while the longer lease of the outage lasted.
  SUBCASE("an owner is cut off soon after an outage: its longest hold counts") {
    for (int i = 0; i < 3; ++i) {
      simulation.CutFromStore(i, true);
    }
    simulation.Run(seconds(6));
    for (int i = 0; i < 3; ++i) {
      simulation.CutFromStore(i, false);
    }
    // Long enough for grants of the usual length to follow those of the outage.
    simulation.Run(seconds(2));
    simulation.CutTarget(2, true);
    simulation.SetListed(2, false);
    simulation.Run(seconds(12));
    CHECK(simulation.ServedFraction() == 1.0);
  }

  // A restore must not take keys away from owners that have them.
  SUBCASE("the store loses the records of a move, and the leader goes on") {
    simulation.SetDraining(1, true);
    simulation.Run(milliseconds(1'800));
    simulation.RestoreStore(seconds(1), 3, 0);
    for (int i = 0; i < 60; ++i) {
      simulation.Run(milliseconds(100));
      for (std::uint32_t key = 0; key < kLastKey; key += 1'024) {
        CHECK(simulation.HolderOf(key) > -1);
      }
    }
    CHECK(simulation.ServedFraction() == 1.0);
    CHECK(EraOf(simulation.Newest()->offset) == 1);

    SUBCASE("and twice more in quick succession") {
      simulation.RestoreStore(milliseconds(0), 1, 0);
      simulation.Run(milliseconds(700));
      simulation.RestoreStore(milliseconds(200), 0, 0);
      simulation.Run(seconds(4));
      CHECK(simulation.ServedFraction() == 1.0);
      CHECK(EraOf(simulation.Newest()->offset) == 3);
    }

    SUBCASE("and moves keys again") {
      simulation.SetDraining(1, false);
      simulation.SetDraining(2, true);
      simulation.Run(seconds(2));
      CHECK(simulation.ServedFraction() == 1.0);
      for (const Assignment& it : simulation.Newest()->assignments) {
        CHECK(it.owner.id != "t2");
      }
    }
  }

  // Its table may be older than that of the leader that is lost.
  SUBCASE("the store loses records, and a host that has just started leads") {
    simulation.SetDraining(1, true);
    simulation.Run(milliseconds(1'800));
    simulation.Pause(0, true);
    simulation.RestartHost(1);
    simulation.RestoreStore(milliseconds(100), 4, 1);
    simulation.Run(seconds(8));
    CHECK(simulation.Newest()->holders_unknown);
    CHECK(simulation.ServedFraction() == 0.0);
    simulation.Run(seconds(4));
    CHECK_FALSE(simulation.Newest()->holders_unknown);
    CHECK(simulation.ServedFraction() == 1.0);
    simulation.Pause(0, false);
    simulation.Run(seconds(3));
  }

  SUBCASE("all hosts are killed at once and read the owners from the store") {
    for (int i = 0; i < 3; ++i) {
      simulation.RestartHost(i);
    }
    simulation.Run(seconds(2));
    CHECK(simulation.ServedFraction() == 1.0);
  }

  SUBCASE("the leader restarts between a release and the next grant") {
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

// Guards against two owners of a key (review/6): something on the way refused
// connects, the process counted as ended, and its keys were given on while it
// held and served them.
TEST_CASE(
    "a target that refuses connects must keep its keys until its leases end") {
  constexpr int kRefusing = 2;
  CoordinatorSimulation simulation({});
  simulation.Run(seconds(4));
  REQUIRE(simulation.ServedFraction() == 1.0);
  const auto owns_keys = [&simulation] {
    const std::vector<Assignment>& assignments =
        simulation.Newest()->assignments;
    return std::any_of(
        assignments.begin(), assignments.end(),
        [](const Assignment& it) { return it.owner.id == "t2"; });
  };
  REQUIRE(owns_keys());
  simulation.RefuseConnects(kRefusing, true);

  SUBCASE("its connection for grants is open: its leases are renewed") {
    for (int i = 0; i < 60; ++i) {
      simulation.Run(milliseconds(200));
      CHECK(simulation.ServedFraction() == 1.0);
    }
    CHECK(owns_keys());

    SUBCASE("until the leader changes: its keys move after its leases") {
      simulation.SetLeader(1);
      simulation.Run(seconds(12));
      CHECK(simulation.ServedFraction() == 1.0);
      CHECK_FALSE(owns_keys());
    }
  }

  SUBCASE("and closes its connection for grants") {
    simulation.CloseConnections(kRefusing);

    SUBCASE("for less than a lease: no key moves") {
      simulation.Run(seconds(1));
      simulation.RefuseConnects(kRefusing, false);
      for (int i = 0; i < 20; ++i) {
        simulation.Run(milliseconds(200));
        CHECK(simulation.ServedFraction() == 1.0);
      }
      CHECK(owns_keys());
    }
    SUBCASE("for longer than its leases: its keys move after them") {
      simulation.Run(seconds(6));
      CHECK(simulation.ServedFraction() == 1.0);
      CHECK_FALSE(owns_keys());
      simulation.RefuseConnects(kRefusing, false);
      simulation.Run(seconds(6));
      CHECK(simulation.ServedFraction() == 1.0);
    }
    SUBCASE("while another target drains and hands its keys over") {
      simulation.SetDraining(1, true);
      simulation.Run(seconds(6));
      CHECK(simulation.ServedFraction() == 1.0);
    }
  }

  SUBCASE("while it drains: its keys move after its leases") {
    simulation.CloseConnections(kRefusing);
    simulation.SetDraining(kRefusing, true);
    simulation.Run(seconds(6));
    CHECK(simulation.ServedFraction() == 1.0);
    CHECK_FALSE(owns_keys());
  }

  // Seen on a drawn day of kc-brama (fresh-abf9).
  SUBCASE("while it drains after an outage: its longest lease counts") {
    for (int i = 0; i < simulation.hosts(); ++i) {
      simulation.CutFromStore(i, true);
    }
    simulation.Run(seconds(6));
    for (int i = 0; i < simulation.hosts(); ++i) {
      simulation.CutFromStore(i, false);
    }
    simulation.CloseConnections(kRefusing);
    simulation.SetDraining(kRefusing, true);
    simulation.Run(seconds(12));
    CHECK(simulation.ServedFraction() == 1.0);
    CHECK_FALSE(owns_keys());
  }

  CHECK(simulation.FirstViolation() == "");
}

// Seen in review/3 (kc-brama): a leader that was cut off with two of seven
// other hosts took them for all, and granted leases of 10 s until the end of
// the cut to an owner that its successor could not reach and had given up
// after 8.9 s.
TEST_CASE("a leader that is cut off with others must not act for the fleet") {
  CoordinatorSimulation simulation({.hosts = 8});
  simulation.Run(seconds(7));
  REQUIRE(simulation.ServedFraction() == 1.0);
  REQUIRE(simulation.Newest()->hosts.size() == 7);
  const auto cut_off = [&](int companions, bool cut) {
    for (int i = 0; i <= companions; ++i) {
      simulation.CutFromStore(i, cut);
      for (int j = companions + 1; j < 8; ++j) {
        simulation.CutHosts(i, j, cut);
      }
    }
  };

  SUBCASE("with two others: it stops when its leadership lease ends") {
    cut_off(2, true);
    simulation.SetLeader(7);
    simulation.CutPath(7, 1, true);
    simulation.SetListed(1, false);
    simulation.Run(seconds(14));
    CHECK(simulation.ServedFraction() == 1.0);
    cut_off(2, false);
    simulation.CutPath(7, 1, false);
    simulation.Run(seconds(4));
  }

  SUBCASE("with all others but one, which waits for it and for the leases") {
    cut_off(6, true);
    simulation.SetLeader(7);
    simulation.CutPath(7, 1, true);
    simulation.SetListed(1, false);
    simulation.Run(seconds(50));
    CHECK(simulation.ServedFraction() < 1.0);
    // The earlier leader has stopped 60 s after its last confirmation.
    simulation.Run(seconds(25));
    CHECK(simulation.ServedFraction() == 1.0);
    cut_off(6, false);
    simulation.CutPath(7, 1, false);
    simulation.Run(seconds(4));
  }

  SUBCASE("a successor of the successor knows the list of the first leader") {
    cut_off(5, true);
    simulation.SetLeader(7);
    simulation.CutPath(7, 1, true);
    simulation.CutPath(6, 1, true);
    simulation.CutHosts(6, 7, true);
    simulation.Run(seconds(1));
    simulation.SetLeader(6);
    simulation.Run(seconds(30));
    cut_off(5, false);
    simulation.CutPath(6, 1, false);
    simulation.Run(seconds(4));
  }

  SUBCASE("all have lost the store, and one host is lost: it goes on") {
    simulation.Pause(5, true);
    for (int i = 0; i < 8; ++i) {
      simulation.CutFromStore(i, true);
    }
    for (int i = 0; i < 20; ++i) {
      simulation.Run(seconds(1));
      CHECK(simulation.ServedFraction() == 1.0);
    }
  }

  // A host that is resumed processes the messages that have waited for it.
  SUBCASE("reports from before a pause are no evidence") {
    for (int i = 0; i < 8; ++i) {
      simulation.CutFromStore(i, true);
    }
    simulation.Run(seconds(4));
    simulation.Pause(0, true);
    simulation.Run(seconds(1));
    for (int i = 1; i < 8; ++i) {
      simulation.CutFromStore(i, false);
      simulation.CutHosts(0, i, true);
    }
    simulation.SetLeader(7);
    simulation.CutPath(7, 1, true);
    simulation.Run(seconds(12));
    simulation.Pause(0, false);
    simulation.Run(seconds(6));
    CHECK(simulation.ServedFraction() == 1.0);
  }

  CHECK(simulation.FirstViolation() == "");
}

// Seen in wds-gateway trouble-3: the store chose a new leader just before it
// became unavailable. The previous leader stopped renewing leases in favour of
// a successor that never took over. With 5 hosts, the previous leader can go on
// without a report of that successor; with 3, it could not tell it from one
// that the store still answers.
TEST_CASE("keys must be served if a new leader is lost with the store") {
  constexpr int kHosts = 5;
  CoordinatorSimulation simulation({.hosts = kHosts});
  simulation.Run(seconds(7));
  REQUIRE(simulation.ServedFraction() == 1.0);
  simulation.Pause(1, true);
  simulation.SetLeader(1);
  simulation.Run(milliseconds(700));
  for (int i = 0; i < kHosts; ++i) {
    simulation.CutFromStore(i, true);
  }
  for (int i = 0; i < 8; ++i) {
    simulation.Run(seconds(1));
    CHECK(simulation.ServedFraction() == 1.0);
  }
  simulation.Pause(1, false);
  for (int i = 0; i < kHosts; ++i) {
    simulation.CutFromStore(i, false);
  }
  simulation.Run(seconds(3));
  CHECK(simulation.Newest()->writer == "h1/1");
  CHECK(simulation.ServedFraction() == 1.0);
  CHECK(simulation.FirstViolation() == "");
}

// Seen in kc-brama trouble-1: while a range was being moved, the leases of both
// its owners were renewed to raise their fences, so that both held the keys.
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

// Each wait beyond those of the fencing protocol keeps requests from being
// served.
TEST_CASE("moved keys must return to service without needless waits") {
  CoordinatorSimulation simulation({.max_delay = milliseconds(2)});
  simulation.Run(seconds(4));
  REQUIRE(simulation.ServedFraction() == 1.0);
  simulation.SetDraining(1, true);
  const auto time_until_served = [&simulation](double fraction) {
    const TimePoint start = simulation.now();
    while (simulation.ServedFraction() >= fraction) {
      simulation.Run(milliseconds(5));
    }
    const TimePoint moved = simulation.now();
    while (simulation.ServedFraction() < fraction &&
           simulation.now() < start + seconds(20)) {
      simulation.Run(milliseconds(5));
    }
    return simulation.now() - moved;
  };

  // The model acts every 40 ms. With the waits of earlier versions, these took
  // 280 and 320 ms.
  SUBCASE("a target drains") {
    CHECK(time_until_served(1.0) <= milliseconds(240));
  }
  SUBCASE("another target is lost, and its lease is waited out") {
    simulation.CrashTarget(2);
    simulation.SetListed(2, false);
    CHECK(time_until_served(0.7) <= milliseconds(240));
    simulation.Run(seconds(9));
    CHECK(simulation.ServedFraction() == 1.0);
  }
  CHECK(simulation.FirstViolation() == "");
}

// If a response to a release counted as a connection for grants, the next grant
// would require a kept connection that does not exist. It would fail after a
// round trip and then wait for the next confirmation of the leadership.
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

  // After the time in which the predecessor may still change owners.
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
  // Enough schedules to combine each pair of faults in several orders. They
  // showed that a host that was paused for 4 s granted keys over a new
  // connection although a successor was the leader (seed 1044), and over a
  // connection that its release to a restarted target had opened (seed 5633).
  constexpr std::uint64_t kSchedules = 10'000;
  for (std::uint64_t seed = 1; seed <= kSchedules; ++seed) {
    CAPTURE(seed);
    RunSchedule(seed, {});
  }
}

// Guards against the same fault as the case above on refused connects, beside
// all others: a refused connect is no evidence of an ended process.
TEST_CASE("no refused connect may give a key to two targets") {
  constexpr std::uint64_t kSchedules = 2'000;
  for (std::uint64_t seed = 1; seed <= kSchedules; ++seed) {
    CAPTURE(seed);
    RunSchedule(seed, {.restores = seed % 2 == 0, .refused_connects = true});
  }
}

// Offsets of the store are assigned again after a restore. Without the era in
// them, fences were not the highest any more.
TEST_CASE("no restore of the store may give a key to two targets") {
  // A leader that went on renewed the lease of the new owner of an unfinished
  // move (27451), and a record that was appended late hid the table of the
  // leader (30888, 45966). Seed 23832 shows a recheck that begins too early.
  for (const std::uint64_t seed : {23'832, 27'451, 30'888, 45'966}) {
    CAPTURE(seed);
    RunSchedule(seed, {.restores = true});
  }
  constexpr std::uint64_t kSchedules = 10'000;
  for (std::uint64_t seed = 1; seed <= kSchedules; ++seed) {
    CAPTURE(seed);
    RunSchedule(seed, {.restores = true});
  }
}

// The model's targets found review/1 in the code of that time. With the rules
// of that time for outages, it finds review/3. Grants are not carried out late
// here: a late grant to one of several possible holders is a fault of its own
// (issue 34).
TEST_CASE("no partition between hosts may give a key to two targets") {
  constexpr std::uint64_t kSchedules = 2'000;
  constexpr int kTargets = 4;
  for (std::uint64_t seed = 1; seed <= kSchedules; ++seed) {
    CAPTURE(seed);
    const int hosts = 2 + static_cast<int>(seed % 7);
    CoordinatorSimulation simulation(
        {.hosts = hosts,
         .targets = kTargets,
         .lost_answers = seed % 3 == 0 ? 0.25 : 0.0,
         .max_delay = milliseconds(20 + 15 * (seed % 4)),
         .seed = seed});
    std::uniform_int_distribution<int> pick(0, 9'999);
    const auto any = [&](int n) { return pick(simulation.random()) % n; };
    // Some hosts join later, when the lists do not name them, or leave for
    // good.
    const int late_host = seed % 4 == 0 ? 1 + any(hosts - 1) : hosts;
    for (int i = late_host; i < hosts; ++i) {
      simulation.Pause(i, true);
    }
    // Short enough on some seeds for hosts that no list names yet.
    simulation.Run(milliseconds(1'000 + any(6'000)));
    for (int round = 0; round < 4; ++round) {
      if (round == 1) {
        for (int i = late_host; i < hosts; ++i) {
          simulation.RestartHost(i);
        }
      }
      if (round == 2 && seed % 5 == 0) {
        simulation.Pause(any(hosts), true);
      }
      switch (any(4)) {
        case 0:
        case 1:
          CutOffLeader(simulation, any(hosts - 1));
          break;
        case 2:
          // The store answers some of the hosts only.
          for (int i = 0; i < hosts; ++i) {
            simulation.CutFromStore(i, any(10) < 8);
          }
          simulation.SetLeader(any(hosts));
          break;
        default:
          for (int i = 0; i < hosts; ++i) {
            simulation.CutHosts(any(hosts), i, true, any(3) == 0);
          }
      }
      for (int i = any(4); i > 0; --i) {
        // The new leader is more likely to be cut from targets than others.
        simulation.CutPath(any(2) == 0 ? simulation.leader() : any(hosts),
                           any(kTargets), true);
      }
      for (int i = any(4); i > 0; --i) {
        simulation.Run(milliseconds(any(3'000)));
        const int host = any(hosts);
        const int target = any(kTargets);
        switch (any(7)) {
          case 0:
            simulation.Pause(host, any(2) == 0);
            break;
          case 1:
            simulation.RestartHost(host);
            break;
          case 2:
            simulation.CutTarget(target, any(2) == 0);
            break;
          case 3:
            simulation.CrashTarget(target);
            break;
          case 4:
            simulation.RestartTarget(target);
            break;
          case 5:
            simulation.SetDraining(target, any(2) == 0);
            break;
          default:
            simulation.SetLeader(host);
        }
      }
      simulation.Run(milliseconds(any(14'000)));
      if (any(2) == 0) {
        Heal(simulation);
        simulation.Run(milliseconds(any(5'000)));
      }
    }
    simulation.StopLosingAnswers();
    Heal(simulation);
    for (int i = 0; i < hosts; ++i) {
      simulation.Pause(i, false);
    }
    for (int i = 0; i < kTargets; ++i) {
      simulation.CutTarget(i, false);
      simulation.RestartTarget(i);
      simulation.SetDraining(i, false);
    }
    simulation.Run(seconds(25));
    REQUIRE(simulation.FirstViolation() == "");
    CHECK(simulation.ServedFraction() == 1.0);
  }
}

}  // namespace toucandock::core::keyspace
