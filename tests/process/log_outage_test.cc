#include <thread>

#include "absl/strings/match.h"
#include "process/scenario.h"

namespace toucandock::process {
namespace {

constexpr const char* kKey = "key-1";

void WaitForLogOutage(Fleet& fleet, size_t host) {
  WaitUntil("the log counts as down",
            [&] { return !fleet.Status(host)["log_available"].asBool(); });
}

void WaitForRecordedMoves(Fleet& fleet, size_t host) {
  WaitUntil("the log is read again and no move is in progress", [&] {
    const Json::Value status = fleet.Status(host);
    return status["log_available"].asBool() &&
           status["moves_under_way"].asUInt64() == 0;
  });
}

void KillOwnerAndWait(Fleet& fleet, size_t host) {
  const std::string owner = fleet.OwnerOf(host, kKey);
  fleet.target(fleet.TargetNamed(owner)).process->Kill();
  WaitUntil("a successor of " + owner,
            [&] { return fleet.OwnerOf(host, kKey) != owner; });
}

}  // namespace

// The log is needed to record a move of ownership. An owner or a leader that is
// lost while the log is unavailable, or while responses to appends are lost,
// must still be replaced.
TEST_CASE("losses during a log outage leave no key without an owner") {
  Fleet fleet({});
  fleet.PublishAndWait();
  const size_t leader = fleet.Leader({0, 1, 2});
  const std::vector<size_t> others = fleet.HostsExcept(leader);
  Load load(fleet);
  load.WaitForAnswers(0, 50);

  SUBCASE("an owner is lost while the log is down") {
    fleet.SetLogFault("down=1");
    WaitForLogOutage(fleet, others[0]);
    KillOwnerAndWait(fleet, others[0]);
    load.WaitForAnswers(others[0], 100);
  }
  SUBCASE("the leader and then an owner are lost while the log is down") {
    fleet.SetLogFault("down=1");
    WaitForLogOutage(fleet, others[0]);
    fleet.host(leader).process->Kill();
    fleet.Leader(others);
    KillOwnerAndWait(fleet, others[0]);
    load.WaitForAnswers(others[0], 100);
  }
  SUBCASE("an owner is lost while the log loses the answers to appends") {
    fleet.SetLogFault("lose_answers=5");
    KillOwnerAndWait(fleet, others[0]);
    load.WaitForAnswers(others[0], 100);
    const std::string file =
        fleet.WriteFile("second.yaml", fleet.ConfigText("draftdesk"));
    const ToolResult result =
        fleet.RunTool({"publish", file, "--edited_from=1"});
    CHECK(result.exit_code == 0);
    CHECK(absl::StrContains(result.output, "version 2"));
  }
  fleet.SetLogFault("down=0");
  WaitForRecordedMoves(fleet, others[0]);
  load.WaitForAnswers(others[0], 100);
  CheckAgainstJournals(fleet, load.Stop());
}

// A host that starts during an outage cannot read the log and has to get its
// state from its seed peers.
TEST_CASE("a new empty host serves during a log outage and joins afterwards") {
  Fleet fleet({});
  fleet.PublishAndWait();
  fleet.SetLogFault("down=1");
  WaitForLogOutage(fleet, 0);
  const size_t added =
      fleet.AddHost({fleet.host(0).peer_address, fleet.host(1).peer_address});
  fleet.WaitUntilReady({added});
  Load load(fleet);
  load.WaitForAnswers(added, 100);
  CHECK(fleet.Status(added)["members"].asUInt64() == 3);

  fleet.SetLogFault("down=0");
  WaitUntil("the new host is a member",
            [&] { return fleet.Status(0)["members"].asUInt64() == 4; });
  load.WaitForAnswers(added, 100);
  CheckAgainstJournals(fleet, load.Stop());
}

// A new host that reads the log finds that the records of the fleet's start
// were removed, and must find their content in a checkpoint.
TEST_CASE("records that retention removed are not missed by a new host") {
  Fleet fleet({});
  fleet.PublishAndWait();
  Load load(fleet);
  load.WaitForAnswers(0, 50);
  // The leader writes a checkpoint every 1,000 records. Retention keeps 1,200,
  // so that one checkpoint always remains, and 2,600 further records are enough
  // to remove those that the fleet started with.
  fleet.SetLogFault("retain=1200");
  for (int n = 0; n < 2'600; ++n) {
    fleet.AppendToLog("{}");
  }
  REQUIRE(fleet.FirstRetained() > 1'000);
  const size_t added = fleet.AddHost({fleet.host(0).peer_address});
  fleet.WaitUntilReady({added});
  CHECK(fleet.Status(added)["config_version"].asUInt64() == 1);
  WaitUntil("the new host is a member",
            [&] { return fleet.Status(0)["members"].asUInt64() == 4; });
  CheckAgainstJournals(fleet, load.Stop());
}

// Both operators edited version 1. Without the check of --edited_from, the
// second publication would revert the first.
TEST_CASE("two operators who publish at once do not overwrite each other") {
  Fleet fleet({});
  fleet.PublishAndWait();
  const std::string first =
      fleet.WriteFile("first.yaml", fleet.ConfigText("lodger"));
  const std::string second =
      fleet.WriteFile("second.yaml", fleet.ConfigText("eligibles"));
  ToolResult results[2];
  std::thread other([&] {
    results[1] = fleet.RunTool({"publish", second, "--edited_from=1"});
  });
  results[0] = fleet.RunTool({"publish", first, "--edited_from=1"});
  other.join();

  const size_t winner = results[0].exit_code == 0 ? 0 : 1;
  const ToolResult& loser = results[1 - winner];
  CHECK(results[winner].exit_code == 0);
  CHECK(absl::StrContains(results[winner].output, "version 2"));
  CHECK(loser.exit_code == 6);
  CHECK_MESSAGE(absl::StrContains(loser.output, "version 2"), loser.output);
  for (size_t n = 0; n < fleet.host_count(); ++n) {
    WaitUntil("version 2 on " + fleet.host(n).name, [&] {
      return fleet.Status(n)["config_version"].asUInt64() == 2;
    });
  }
}

}  // namespace toucandock::process
