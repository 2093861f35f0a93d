#include <csignal>

#include "process/scenario.h"

namespace toucandock::process {
namespace {

constexpr const char* kKey = "key-1";

// Sends a request to a target the way an entry host would that still takes it
// for the owner of the key: with the unit and fence of an earlier request.
http::ExchangeResult SendDirectly(Fleet& fleet,
                                  size_t target,
                                  const JournalEntry& earlier) {
  return fleet.client().Exchange(
      fleet.target(target).address,
      {.method = "POST",
       .path = "/jobs",
       .headers = {{"Toucandock-Key", earlier.key},
                   {"Toucandock-Unit", earlier.unit},
                   {"Toucandock-Fence", std::to_string(earlier.fence)},
                   {"Idempotency-Key", "sent-by-the-test"}}},
      {.fresh_connection = true});
}

// Returns the last request for kKey that the target ran.
JournalEntry LastOf(Fleet& fleet, const std::string& target) {
  JournalEntry last;
  for (const JournalEntry& it : ReadJournals(fleet)) {
    if (it.target == target && it.key == kKey) {
      last = it;
    }
  }
  return last;
}

void WaitForSuccessor(Fleet& fleet, const std::string& owner) {
  WaitUntil("a successor of " + owner,
            [&] { return fleet.OwnerOf(0, kKey) != owner; });
}

void CheckOwnerLoss(bool checks_fences) {
  Fleet fleet({.checks_fences = checks_fences});
  fleet.PublishAndWait();
  const std::string owner = fleet.OwnerOf(0, kKey);
  const size_t n = fleet.TargetNamed(owner);
  Load load(fleet);
  load.WaitForAnswers(0, 50);

  SUBCASE("the owner is killed and later restarted") {
    fleet.target(n).process->Kill();
    WaitForSuccessor(fleet, owner);
    fleet.RestartTarget(n);
    WaitUntil("the restarted target counts as alive",
              [&] { return fleet.Status(0)["lost_targets"].empty(); });
  }
  SUBCASE("the owner freezes and resumes after the takeover") {
    fleet.target(n).process->Send(SIGSTOP);
    WaitForSuccessor(fleet, owner);
    const JournalEntry earlier = LastOf(fleet, owner);
    fleet.target(n).process->Send(SIGCONT);
    if (checks_fences) {
      const http::ExchangeResult result = SendDirectly(fleet, n, earlier);
      CHECK(result.response.status == 409);
    }
    WaitUntil("the resumed target counts as alive",
              [&] { return fleet.Status(0)["lost_targets"].empty(); });
  }
  for (size_t host = 0; host < fleet.host_count(); ++host) {
    load.WaitForAnswers(host, 200);
  }
  CheckAgainstJournals(fleet, load.Stop(), {.checks_fences = checks_fences});
}

}  // namespace

// An owner that was only frozen resumes after its keys have moved. Requests
// that it runs then would overlap with those of its successor.
TEST_CASE("a lost owner's key is not run by two targets") {
  SUBCASE("targets check fences") {
    CheckOwnerLoss(true);
  }
  SUBCASE("targets do not check fences") {
    CheckOwnerLoss(false);
  }
}

// A target that reports that it is draining must receive no request after 2 s;
// the test waits 1 s longer for starts that would violate this.
TEST_CASE("a draining target gets no new work and no request is cut") {
  Fleet fleet({});
  fleet.PublishAndWait();
  const std::string leaving = fleet.OwnerOf(0, kKey);
  const size_t n = fleet.TargetNamed(leaving);
  Load load(fleet, {.work = std::chrono::milliseconds(20)});
  load.WaitForAnswers(0, 50);

  fleet.SetTargetFault(n, "status=draining");
  const auto limit = std::chrono::steady_clock::now() + std::chrono::seconds(2);
  std::this_thread::sleep_until(limit + std::chrono::seconds(1));
  load.WaitForAnswers(0, 50);

  const std::vector<CallerRecord> records = load.Stop();
  size_t late = 0;
  for (const JournalEntry& it : ReadJournals(fleet)) {
    late += it.target == leaving && it.started_at > limit ? 1 : 0;
  }
  CHECK(late == 0);
  CheckOutcomes(records, {ReportedOutcome::kAnswer});
  CheckAgainstJournals(fleet, records);
}

}  // namespace toucandock::process
