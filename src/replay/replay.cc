#include "replay/replay.h"

#include <algorithm>
#include <deque>
#include <optional>
#include <set>
#include <utility>
#include <variant>

#include "absl/strings/str_cat.h"
#include "absl/strings/str_join.h"
#include "codec/config_yaml.h"
#include "codec/event_json.h"

namespace toucandock::replay {
namespace {

using namespace core::control;  // NOLINT(google-build-using-namespace)
using codec::Expectation;
using codec::TracedEvent;
using codec::TracedRecordId;
using codec::TraceLine;

struct NumberedLine {
  size_t number = 0;
  TraceLine line;
};

// Returns the owner to which requests are sent, or an empty id while the unit
// has none.
core::TargetId OwnerOf(const Replica& replica, const core::Unit& unit) {
  const UnitMove* move = replica.MoveOf(unit);
  if (move != nullptr && move->phase != MovePhase::kActive) {
    return "";
  }
  return replica.AssignmentOf(unit).owner;
}

size_t CountOwned(const Replica& replica) {
  std::set<core::Unit> units;
  for (const auto& [unit, assignment] : replica.state().assignments) {
    units.insert(unit);
  }
  for (const UnitMove& move : replica.leader_state().moves) {
    units.insert(move.unit);
  }
  return std::count_if(units.begin(), units.end(), [&](const core::Unit& unit) {
    return !OwnerOf(replica, unit).empty();
  });
}

std::string FormatValue(bool value) {
  return value ? "true" : "false";
}

std::string FormatValue(std::uint64_t value) {
  return absl::StrCat(value);
}

std::string FormatValue(const std::vector<core::TargetId>& value) {
  return absl::StrCat("[", absl::StrJoin(value, ", "), "]");
}

// Feeds the lines of one trace to a controller of its own.
class TraceReplayer {
 public:
  TraceReplayer(std::string name, const ControllerOptions& options)
      : name_(std::move(name)),
        controller_(options,
                    {.parse_config =
                         [](const std::string& text) {
                           return codec::ParseConfig("config", text);
                         },
                     .new_record_id = [this] { return NextId(); }}) {}

  ReplayResult ReplayLines(const std::vector<NumberedLine>& lines) {
    for (const NumberedLine& it : lines) {
      if (const auto* id = std::get_if<TracedRecordId>(&it.line)) {
        ids_.push_back(id->id);
      }
    }
    for (const NumberedLine& it : lines) {
      if (const auto* event = std::get_if<TracedEvent>(&it.line)) {
        Handle(*event);
      } else if (const auto* expected = std::get_if<Expectation>(&it.line)) {
        Check(it.number, *expected);
      }
    }
    result_.status = controller_.Status(now_);
    result_.owned_units = CountOwned(controller_.replica());
    return std::move(result_);
  }

 private:
  // Returns the next recorded id. When none is left, the actions differ from
  // those of the recorded run, but a trace that was written by hand may not
  // need the ids.
  std::string NextId() {
    if (ids_.empty()) {
      return absl::StrCat("replayed-", ++generated_ids_);
    }
    std::string id = std::move(ids_.front());
    ids_.pop_front();
    return id;
  }

  void Handle(const TracedEvent& event) {
    if (!started_at_) {
      started_at_ = event.at;
    }
    now_ = event.at;
    ++result_.events;
    for (const Action& it : controller_.Handle(event.event, now_)) {
      if (const auto* decision = std::get_if<DecisionAction>(&it)) {
        result_.decisions.push_back(
            {now_ - *started_at_, decision->what, decision->cause});
      }
    }
  }

  template <typename Value>
  void Compare(size_t line,
               const std::string& what,
               const std::optional<Value>& expected,
               const Value& seen) {
    if (!expected) {
      return;
    }
    ++result_.expectations;
    if (*expected != seen) {
      result_.failures.push_back(
          absl::StrCat(name_, ":", line, ": ", what, " is ", FormatValue(seen),
                       ", expected ", FormatValue(*expected)));
    }
  }

  void Check(size_t line, const Expectation& expected) {
    const ControllerStatus status = controller_.Status(now_);
    Compare(line, "config_version", expected.config_version,
            status.config_version);
    Compare(line, "has_lease", expected.has_lease, status.has_lease);
    Compare(line, "is_leader", expected.is_leader, status.is_leader);
    Compare(line, "log_available", expected.log_available,
            status.log_available);
    Compare<std::uint64_t>(line, "voters", expected.voters, status.voters);
    Compare<std::uint64_t>(line, "moves_under_way", expected.moves_under_way,
                           status.moves_under_way);
    Compare(line, "lost_targets", expected.lost_targets, status.lost_targets);
    for (const codec::ExpectedOwner& it : expected.owners) {
      Compare<std::vector<core::TargetId>>(
          line, absl::StrCat("owner of ", core::ToString(it.unit)),
          std::vector<core::TargetId>{it.target},
          {OwnerOf(controller_.replica(), it.unit)});
    }
  }

  const std::string name_;
  std::deque<std::string> ids_;
  size_t generated_ids_ = 0;
  HostController controller_;
  core::TimePoint now_;
  std::optional<core::TimePoint> started_at_;
  ReplayResult result_;
};

}  // namespace

// Replays a trace: its first line holds the controller's options, the others
// events, record ids and expected outcomes. The error is InvalidArgument with
// the name and the line that cannot be read; outcomes that differ are part of
// the result.
absl::StatusOr<ReplayResult> Replay(const std::string& name,
                                    std::istream& lines) {
  std::vector<NumberedLine> parsed;
  std::optional<ControllerOptions> options;
  std::optional<core::TimePoint> last;
  std::string text;
  for (size_t n = 1; std::getline(lines, text); ++n) {
    const auto fail = [&](absl::string_view message) {
      return absl::InvalidArgumentError(
          absl::StrCat(name, ":", n, ": ", message));
    };
    absl::StatusOr<TraceLine> line = codec::ParseTraceLine(text);
    if (!line.ok()) {
      return fail(line.status().message());
    }
    if (auto* found = std::get_if<ControllerOptions>(&*line)) {
      if (options) {
        return fail("a second line with options");
      }
      options = std::move(*found);
      continue;
    }
    if (!options) {
      return fail("the first line must hold the options");
    }
    if (const auto* event = std::get_if<TracedEvent>(&*line)) {
      if (last && event->at < *last) {
        return fail("the time is before that of the event above");
      }
      last = event->at;
    }
    parsed.push_back({n, *std::move(line)});
  }
  if (!options) {
    return absl::InvalidArgumentError(
        absl::StrCat(name, ":1: the trace is empty"));
  }
  return TraceReplayer(name, *options).ReplayLines(parsed);
}

}  // namespace toucandock::replay
