#include <csignal>

#include "process/scenario.h"

namespace toucandock::process {
namespace {

constexpr const char* kKey = "key-1";
// Longer than every lease and than the delay before an election.
constexpr std::chrono::milliseconds kFreeze{2'500};

void WaitForAnswersThrough(Load& load, const std::vector<size_t>& hosts) {
  for (const size_t n : hosts) {
    load.WaitForAnswers(n, 100);
  }
}

// A key moves to another owner while an entry host is frozen. The host resumes
// with an outdated routing state and must not send requests to the former
// owner.
void CheckFrozenEntryHost(bool checks_fences) {
  Fleet fleet({.checks_fences = checks_fences});
  fleet.PublishAndWait();
  const size_t leader = fleet.Leader({0, 1, 2});
  const size_t frozen = fleet.HostsExcept(leader).front();
  Load load(fleet);
  load.WaitForAnswers(frozen, 50);
  const std::string owner = fleet.OwnerOf(leader, kKey);

  fleet.host(frozen).process->Send(SIGSTOP);
  fleet.SetTargetFault(fleet.TargetNamed(owner), "status=draining");
  WaitUntil("a move of " + std::string(kKey),
            [&] { return fleet.OwnerOf(leader, kKey) != owner; });
  fleet.host(frozen).process->Send(SIGCONT);
  WaitForAnswersThrough(load, {0, 1, 2});
  CheckAgainstJournals(fleet, load.Stop(), {.checks_fences = checks_fences});
}

}  // namespace

TEST_CASE("a resumed entry host does not send to the owners it remembers") {
  SUBCASE("targets check fences") {
    CheckFrozenEntryHost(true);
  }
  SUBCASE("targets do not check fences") {
    CheckFrozenEntryHost(false);
  }
}

// A leader that is lost during a move, or that resumes after another one was
// elected, could leave units without an owner or give them two.
TEST_CASE("a lost leader leaves no move half done") {
  Fleet fleet({});
  fleet.PublishAndWait();
  const size_t leader = fleet.Leader({0, 1, 2});
  const std::vector<size_t> others = fleet.HostsExcept(leader);
  Load load(fleet);
  load.WaitForAnswers(leader, 50);

  SUBCASE("the leader is killed while the units of a frozen owner move") {
    const std::string owner = fleet.OwnerOf(leader, kKey);
    fleet.target(fleet.TargetNamed(owner)).process->Send(SIGSTOP);
    WaitUntil("a move in progress", [&] {
      return fleet.Status(leader)["moves_under_way"].asUInt64() > 0;
    });
    fleet.host(leader).process->Kill();
    fleet.Leader(others);
    WaitForAnswersThrough(load, others);
    CHECK(fleet.OwnerOf(others[0], kKey) != owner);
    WaitUntil("the end of all moves", [&] {
      return fleet.Status(others[0])["moves_under_way"].asUInt64() == 0;
    });
  }
  SUBCASE("the leader freezes, another is elected, and it resumes") {
    fleet.host(leader).process->Send(SIGSTOP);
    const size_t successor = fleet.Leader(others);
    std::this_thread::sleep_for(kFreeze);
    fleet.host(leader).process->Send(SIGCONT);
    WaitUntil("the resumed leader knows its successor", [&] {
      const Json::Value status = fleet.Status(leader);
      return status.isObject() && !status["is_leader"].asBool() &&
             status["leader"] == fleet.Status(successor)["host"];
    });
    WaitForAnswersThrough(load, {0, 1, 2});
  }
  CheckAgainstJournals(fleet, load.Stop());
}

// After SIGTERM a host finishes the requests in flight and refuses new ones.
// Callers must then see responses, refusals or refused connections, but no
// connection that ends before its response.
TEST_CASE("a planned stop cuts no request") {
  Fleet fleet({});
  fleet.PublishAndWait();
  const size_t leader = fleet.Leader({0, 1, 2});
  Load load(fleet, {.threads_per_host = 4, .work = kFreeze / 25});
  size_t stopped = leader;
  SUBCASE("of an entry host") {
    stopped = fleet.HostsExcept(leader).front();
  }
  SUBCASE("of the leader") {}
  load.WaitForAnswers(stopped, 20);

  fleet.host(stopped).process->Send(SIGTERM);
  CHECK(fleet.host(stopped).process->WaitForExit(
            "a planned stop", std::chrono::seconds(30)) == 0);
  const std::vector<size_t> others = fleet.HostsExcept(stopped);
  WaitForAnswersThrough(load, others);
  const std::vector<CallerRecord> records = load.Stop();
  CheckOutcomes(ThroughHost(records, stopped),
                {ReportedOutcome::kAnswer, ReportedOutcome::kNotRun,
                 ReportedOutcome::kNotConnected});
  for (const size_t n : others) {
    CheckOutcomes(ThroughHost(records, n), {ReportedOutcome::kAnswer});
  }
  CheckAgainstJournals(fleet, records);
}

// All hosts are killed at once, so that the log alone holds the state. Fences
// that started again from a lower value would show up in the journals.
TEST_CASE("a restart of the whole fleet reverts neither config nor fences") {
  Fleet fleet({});
  fleet.PublishAndWait();
  std::vector<CallerRecord> records;
  {
    Load load(fleet);
    load.WaitForAnswers(0, 50);
    for (size_t n = 0; n < fleet.host_count(); ++n) {
      fleet.host(n).process->Kill();
    }
    records = load.Stop();
  }
  for (size_t n = 0; n < fleet.host_count(); ++n) {
    fleet.StartHost(n);
  }
  fleet.WaitUntilReady({0, 1, 2});
  CHECK(fleet.Status(0)["config_version"].asUInt64() == 1);
  // The id differs from all ids of the load, so that the journal checker does
  // not report this POST request as run twice.
  CallerRecord record = Call(
      fleet, 0, {.method = "POST", .key = kKey, .request_id = "afterwards"});
  CHECK(record.reported_outcome == ReportedOutcome::kAnswer);
  records.push_back(std::move(record));
  CheckAgainstJournals(fleet, records);
}

}  // namespace toucandock::process
