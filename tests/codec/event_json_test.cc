#include "codec/event_json.h"

#include <doctest/doctest.h>

#include <chrono>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "core/control/messages.h"

namespace toucandock::codec {
namespace {

using namespace core::control;  // NOLINT(google-build-using-namespace)
using std::chrono::milliseconds;

const core::TimePoint kAt{milliseconds(1'234)};

HostInfo Host(const std::string& id) {
  return {id, id + ":1", id + ":2", "lk-west-1"};
}

LeaderState SomeLeaderState() {
  return {.membership_offset = 3,
          .ballot = {7, "a"},
          .sequence = 9,
          .commit_offset = 12,
          .moves = {{.unit = {"callboard", 5},
                     .to = {"callboard/t2", 77},
                     .from = "callboard/t1",
                     .phase = MovePhase::kGranting,
                     .planned = true,
                     .since = 8}},
          .lost = {"callboard/t1"},
          .draining = {"callboard/t3"},
          .cold = {"callboard/t2"}};
}

std::shared_ptr<const ControlState> SomeState() {
  ControlState state;
  state.next = 40;
  state.members["a"] = {.host = Host("a"), .votes = true};
  state.proposals["p"] = {5, {"text", "ada", 2}};
  state.publish_results["q"] = {true, 2, "because", 6};
  state.assignments[{"callboard", 1}] = {"callboard/t1", 70};
  return std::make_shared<const ControlState>(state);
}

std::vector<LogEntry> EachKindOfRecord() {
  const std::vector<RecordBody> bodies = {
      JoinRecord{Host("a")},
      LeaveRecord{"a"},
      AdmitRecord{"a"},
      EvictRecord{"a"},
      TermRecord{},
      PublishRecord{"t\n\"", "ada", 4},
      AcceptRecord{"p", 5},
      RefuseRecord{"p", "why"},
      AssignmentRecord{{{{"s", 1}, {"s/t", 9}}}},
      NewMembershipRecord{{Host("a")}},
      CheckpointRecord{SomeState()}};
  REQUIRE(bodies.size() == std::variant_size_v<RecordBody>);
  std::vector<LogEntry> entries;
  entries.reserve(bodies.size());
  for (const RecordBody& body : bodies) {
    entries.push_back({entries.size(), {"id", "a", {7, "a"}, 3, body}});
  }
  return entries;
}

// At least one event of each kind; optional members with and without a value.
std::vector<Event> EachKindOfEvent() {
  const RenewRequest renew = {
      .host = Host("b"),
      .membership_offset = 3,
      .echoed_leader_time = milliseconds(5),
      .ballot = {7, "a"},
      .acked_sequence = 8,
      .config_version = 2,
      .busy = {{"callboard", core::kHotKeyBit | 9}},
      .observations = {{"callboard/t1", "b",
                        core::detection::ObservationSource::kTraffic,
                        core::detection::ObservationKind::kTimeout}},
      .leaving = true};
  const RenewReply renewed = {.host = "a",
                              .accepted = true,
                              .leader = Host("a"),
                              .ballot = {7, "a"},
                              .leader_time = milliseconds(6),
                              .lease = true,
                              .resigned = true,
                              .sequence = 9,
                              .leader_state = SomeLeaderState(),
                              .suspects = {"callboard/t1"}};
  const TargetAnswer answer = {ContactResult::kRejected, milliseconds(7), "i1",
                               TargetHealth::kDraining};
  return {
      TickEvent{},
      TickEvent{.oldest_sending = 4, .busy = {{"callboard", 5}}},
      LogReadEvent{kAt, 0, 11, EachKindOfRecord()},
      LogFailedEvent{},
      AppendResultEvent{"r1", true},
      RenewRequestEvent{3, renew},
      RenewReplyEvent{"a", kAt, renewed},
      RenewReplyEvent{"a", kAt, std::nullopt},
      VoteRequestEvent{4, {Host("b"), 3, 4, {8, "b"}}},
      VoteReplyEvent{
          "a", {8, "b"}, VoteReply{true, {8, "b"}, SomeLeaderState()}},
      VoteReplyEvent{"a", {8, "b"}, std::nullopt},
      StateRequestEvent{5},
      StateReplyEvent{StateReply{SomeState(), SomeLeaderState()}},
      StateReplyEvent{},
      NotifyEvent{},
      GrantAnswerEvent{"callboard/t1", 9, answer},
      ProbeAnswerEvent{"callboard/t1", answer},
      TrafficObservationEvent{"callboard/t1",
                              core::detection::ObservationKind::kRefused},
      HostListEvent{{{"10.0.0.1:1", true}, {"10.0.0.2:1", false}}},
      StopEvent{},
  };
}

}  // namespace

// A replay without one of the members would take other decisions than the
// recorded run.
TEST_CASE("a trace must not lose any member of any kind of event") {
  std::set<size_t> kinds;
  for (const Event& event : EachKindOfEvent()) {
    kinds.insert(event.index());
    const std::string text = EncodeTraceLine(TracedEvent{kAt, event});
    CAPTURE(text);
    CHECK(text.find('\n') == std::string::npos);
    const auto parsed = ParseTraceLine(text);
    REQUIRE_MESSAGE(parsed.ok(), parsed.status().message());
    REQUIRE(std::holds_alternative<TracedEvent>(*parsed));
    CHECK(std::get<TracedEvent>(*parsed).event.index() == event.index());
    CHECK(EncodeTraceLine(*parsed) == text);

    // A line that ends early must not be read as a shorter event.
    if (text.size() < 600) {
      for (size_t n = 0; n < text.size(); ++n) {
        CHECK_FALSE(ParseTraceLine(text.substr(0, n)).ok());
      }
    }
  }
  CHECK(kinds.size() == std::variant_size_v<Event>);
}

// A replay with other options would take other decisions, and a lost outcome
// would not be checked.
TEST_CASE("a trace must not lose the options and the expected outcomes") {
  ControllerOptions options = {.self = Host("a"), .seeds = {Host("")}};
  options.lease_options.grant = milliseconds(321);
  options.lease_options.drift_permille = 12;
  const std::vector<TraceLine> lines = {
      options, TracedRecordId{"r1"},
      Expectation{.config_version = 4,
                  .has_lease = false,
                  .is_leader = true,
                  .log_available = false,
                  .voters = 3,
                  .moves_under_way = 0,
                  .lost_targets = std::vector<core::TargetId>{"s/t"},
                  .owners = {{{"s", 1}, ""}}}};
  for (const TraceLine& it : lines) {
    const std::string text = EncodeTraceLine(it);
    const auto parsed = ParseTraceLine(text);
    REQUIRE_MESSAGE(parsed.ok(), parsed.status().message());
    CHECK(EncodeTraceLine(*parsed) == text);
  }
}

}  // namespace toucandock::codec
