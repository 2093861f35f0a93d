#include "codec/event_json.h"

#include <functional>
#include <map>
#include <type_traits>
#include <utility>

#include "absl/strings/str_cat.h"
#include "codec/json.h"
#include "codec/message_json.h"
#include "codec/record_json.h"

namespace toucandock::codec {
namespace {

using namespace core::control;  // NOLINT(google-build-using-namespace)
using core::TimePoint;
using core::detection::ObservationKind;
using core::lease::LeaseOptions;

constexpr std::uint64_t kMaxResult =
    static_cast<std::uint64_t>(ContactResult::kRejected);
constexpr std::uint64_t kMaxHealth =
    static_cast<std::uint64_t>(TargetHealth::kCold);
constexpr std::uint64_t kMaxKind =
    static_cast<std::uint64_t>(ObservationKind::kTimeout);
constexpr std::uint64_t kMaxDrift = 1'000;

Json::Value Nanoseconds(core::Duration value) {
  return Json::Value(static_cast<Json::Int64>(value.count()));
}

Json::Value Nanoseconds(TimePoint value) {
  return Nanoseconds(value.time_since_epoch());
}

TimePoint ParseTime(ObjectReader& reader, const char* name) {
  return TimePoint(reader.Nanoseconds(name));
}

template <typename Enum>
Enum ParseEnum(ObjectReader& reader, const char* name, std::uint64_t max) {
  const std::uint64_t value = reader.Uint(name);
  if (value > max) {
    reader.Fail(absl::StrCat("'", name, "' is out of range"));
    return Enum{};
  }
  return static_cast<Enum>(value);
}

template <typename Items, typename Convert>
Json::Value ListToJson(const Items& items, Convert convert) {
  Json::Value list(Json::arrayValue);
  for (const auto& it : items) {
    list.append(convert(it));
  }
  return list;
}

Json::Value AnswerToJson(const TargetAnswer& answer) {
  Json::Value value;
  value["result"] = Uint(static_cast<std::uint64_t>(answer.result));
  value["clock"] = Nanoseconds(answer.clock);
  value["instance"] = answer.instance;
  value["health"] = Uint(static_cast<std::uint64_t>(answer.health));
  return value;
}

TargetAnswer ParseAnswer(const Json::Value& value, absl::Status& status) {
  ObjectReader reader(value, status);
  return {.result = ParseEnum<ContactResult>(reader, "result", kMaxResult),
          .clock = reader.Nanoseconds("clock"),
          .instance = reader.String("instance"),
          .health = ParseEnum<TargetHealth>(reader, "health", kMaxHealth)};
}

// Writes the type name and the members of each kind of event.
struct EventWriter {
  Json::Value& out;

  void operator()(const TickEvent& it) {
    out["type"] = "tick";
    if (it.oldest_sending) {
      out["oldest_sending"] = Uint(*it.oldest_sending);
    }
    out["busy"] = ListToJson(
        it.busy, [](const core::Unit& unit) { return ToJson(unit); });
    if (!it.rates.empty()) {
      out["rates"] = ToJson(it.rates);
    }
  }
  void operator()(const LogReadEvent& it) {
    out["type"] = "log_read";
    out["sent_at"] = Nanoseconds(it.sent_at);
    out["first_retained"] = Uint(it.first_retained);
    out["end"] = Uint(it.end);
    out["entries"] = ListToJson(it.entries, [](const LogEntry& entry) {
      Json::Value value = ToJson(entry.record);
      value["offset"] = Uint(entry.offset);
      return value;
    });
  }
  void operator()(const LogFailedEvent&) { out["type"] = "log_failed"; }
  void operator()(const AppendResultEvent& it) {
    out["type"] = "append_result";
    out["record_id"] = it.record_id;
    out["stored"] = it.stored;
  }
  void operator()(const RenewRequestEvent& it) {
    WriteRequest("renew_request", it);
  }
  void operator()(const RenewReplyEvent& it) {
    out["type"] = "renew_reply";
    out["from"] = it.from;
    out["sent_at"] = Nanoseconds(it.sent_at);
    WriteReply(it.reply);
  }
  void operator()(const VoteRequestEvent& it) {
    WriteRequest("vote_request", it);
  }
  void operator()(const VoteReplyEvent& it) {
    out["type"] = "vote_reply";
    out["from"] = it.from;
    out["ballot"] = ToJson(it.ballot);
    WriteReply(it.reply);
  }
  void operator()(const StateRequestEvent& it) {
    out["type"] = "state_request";
    out["token"] = Uint(it.token);
  }
  void operator()(const StateReplyEvent& it) {
    out["type"] = "state_reply";
    WriteReply(it.reply);
  }
  void operator()(const NotifyEvent&) { out["type"] = "notify"; }
  void operator()(const GrantAnswerEvent& it) {
    out["type"] = "grant_answer";
    out["target"] = it.target;
    out["sequence"] = Uint(it.sequence);
    out["answer"] = AnswerToJson(it.answer);
  }
  void operator()(const ProbeAnswerEvent& it) {
    out["type"] = "probe_answer";
    out["target"] = it.target;
    out["answer"] = AnswerToJson(it.answer);
  }
  void operator()(const TrafficObservationEvent& it) {
    out["type"] = "traffic_signal";
    out["target"] = it.target;
    out["kind"] = Uint(static_cast<std::uint64_t>(it.kind));
  }
  void operator()(const HostListEvent& it) {
    out["type"] = "host_list";
    out["hosts"] = ListToJson(it.hosts, [](const ListedHost& host) {
      Json::Value value;
      value["address"] = host.address;
      value["leaving"] = host.leaving;
      return value;
    });
  }
  void operator()(const StopEvent&) { out["type"] = "stop"; }

 private:
  template <typename RequestEvent>
  void WriteRequest(const char* type, const RequestEvent& event) {
    out["type"] = type;
    out["token"] = Uint(event.token);
    out["request"] = ToJson(event.request);
  }

  template <typename Reply>
  void WriteReply(const std::optional<Reply>& reply) {
    if (reply) {
      out["reply"] = ToJson(*reply);
    }
  }
};

template <typename Reply>
std::optional<Reply> ParseReply(ObjectReader& reader,
                                absl::Status& status,
                                Reply (*parse)(const Json::Value&,
                                               absl::Status&)) {
  if (!reader.Has("reply")) {
    return std::nullopt;
  }
  return parse(reader.Object("reply"), status);
}

using EventParser = std::function<Event(ObjectReader&, absl::Status&)>;

Event ParseTick(ObjectReader& reader, absl::Status& status) {
  TickEvent event;
  if (reader.Has("oldest_sending")) {
    event.oldest_sending = reader.Uint("oldest_sending");
  }
  for (const Json::Value& it : reader.Array("busy")) {
    event.busy.push_back(ParseUnit(it, status));
  }
  if (reader.Has("rates")) {
    event.rates = ParseRates(reader.Array("rates"), status);
  }
  return event;
}

Event ParseLogRead(ObjectReader& reader, absl::Status& status) {
  LogReadEvent event = {.sent_at = ParseTime(reader, "sent_at"),
                        .first_retained = reader.Uint("first_retained"),
                        .end = reader.Uint("end")};
  for (const Json::Value& it : reader.Array("entries")) {
    event.entries.push_back(
        {ObjectReader(it, status).Uint("offset"), ParseRecord(it, status)});
  }
  return event;
}

Event ParseHostListEvent(ObjectReader& reader, absl::Status& status) {
  HostListEvent event;
  for (const Json::Value& it : reader.Array("hosts")) {
    ObjectReader host(it, status);
    event.hosts.push_back({host.String("address"), host.Bool("leaving")});
  }
  return event;
}

const std::map<std::string, EventParser>& EventParsers() {
  static const std::map<std::string, EventParser> kParsers = {
      {"tick", ParseTick},
      {"log_read", ParseLogRead},
      {"log_failed",
       [](ObjectReader&, absl::Status&) { return LogFailedEvent{}; }},
      {"append_result",
       [](ObjectReader& it, absl::Status&) {
         return AppendResultEvent{it.String("record_id"), it.Bool("stored")};
       }},
      {"renew_request",
       [](ObjectReader& it, absl::Status& status) {
         return RenewRequestEvent{
             it.Uint("token"), ParseRenewRequest(it.Object("request"), status)};
       }},
      {"renew_reply",
       [](ObjectReader& it, absl::Status& status) {
         return RenewReplyEvent{
             it.String("from"), ParseTime(it, "sent_at"),
             ParseReply<RenewReply>(it, status, ParseRenewReply)};
       }},
      {"vote_request",
       [](ObjectReader& it, absl::Status& status) {
         return VoteRequestEvent{
             it.Uint("token"), ParseVoteRequest(it.Object("request"), status)};
       }},
      {"vote_reply",
       [](ObjectReader& it, absl::Status& status) {
         return VoteReplyEvent{
             it.String("from"), ParseBallot(it.Object("ballot"), status),
             ParseReply<VoteReply>(it, status, ParseVoteReply)};
       }},
      {"state_request",
       [](ObjectReader& it, absl::Status&) {
         return StateRequestEvent{it.Uint("token")};
       }},
      {"state_reply",
       [](ObjectReader& it, absl::Status& status) {
         return StateReplyEvent{
             ParseReply<StateReply>(it, status, ParseStateReply)};
       }},
      {"notify", [](ObjectReader&, absl::Status&) { return NotifyEvent{}; }},
      {"grant_answer",
       [](ObjectReader& it, absl::Status& status) {
         return GrantAnswerEvent{it.String("target"), it.Uint("sequence"),
                                 ParseAnswer(it.Object("answer"), status)};
       }},
      {"probe_answer",
       [](ObjectReader& it, absl::Status& status) {
         return ProbeAnswerEvent{it.String("target"),
                                 ParseAnswer(it.Object("answer"), status)};
       }},
      {"traffic_signal",
       [](ObjectReader& it, absl::Status&) {
         return TrafficObservationEvent{
             it.String("target"),
             ParseEnum<ObservationKind>(it, "kind", kMaxKind)};
       }},
      {"host_list", ParseHostListEvent},
      {"stop", [](ObjectReader&, absl::Status&) { return StopEvent{}; }},
  };
  return kParsers;
}

// Calls `visit` with the name and value of each duration of the options.
template <typename Options, typename Visit>
void ForEachDuration(Options& options, Visit visit) {
  visit("renew_interval", options.renew_interval);
  visit("serving", options.serving);
  visit("support", options.support);
  visit("grant", options.grant);
  visit("election", options.election);
  visit("election_step", options.election_step);
  visit("margin", options.margin);
}

Json::Value OptionsToJson(const ControllerOptions& options) {
  Json::Value value;
  value["type"] = "options";
  value["self"] = ToJson(options.self);
  ForEachDuration(options.lease_options,
                  [&](const char* name, core::Duration it) {
                    value["terms"][name] = Nanoseconds(it);
                  });
  value["terms"]["drift_permille"] = options.lease_options.drift_permille;
  value["seeds"] =
      ListToJson(options.seeds, [](const HostInfo& it) { return ToJson(it); });
  return value;
}

ControllerOptions ParseOptions(ObjectReader& reader, absl::Status& status) {
  ControllerOptions options = {.self =
                                   ParseHost(reader.Object("self"), status)};
  ObjectReader lease_reader(reader.Object("terms"), status);
  ForEachDuration(options.lease_options,
                  [&](const char* name, core::Duration& it) {
                    it = lease_reader.Nanoseconds(name);
                  });
  const std::uint64_t drift = lease_reader.Uint("drift_permille");
  if (drift > kMaxDrift) {
    reader.Fail("'drift_permille' is out of range");
  }
  options.lease_options.drift_permille = static_cast<int>(drift);
  for (const Json::Value& it : reader.Array("seeds")) {
    options.seeds.push_back(ParseHost(it, status));
  }
  return options;
}

Json::Value ExpectationToJson(const Expectation& expected) {
  Json::Value value;
  value["type"] = "expect";
  const auto put = [&](const char* name, const auto& member) {
    if (member) {
      value[name] = *member;
    }
  };
  const auto put_number = [&](const char* name, const auto& member) {
    if (member) {
      value[name] = Uint(*member);
    }
  };
  put_number("config_version", expected.config_version);
  put("has_lease", expected.has_lease);
  put("is_leader", expected.is_leader);
  put("log_available", expected.log_available);
  put_number("voters", expected.voters);
  put_number("moves_under_way", expected.moves_under_way);
  if (expected.lost_targets) {
    value["lost_targets"] =
        ListToJson(*expected.lost_targets,
                   [](const core::TargetId& it) { return Json::Value(it); });
  }
  value["owners"] = ListToJson(expected.owners, [](const ExpectedOwner& it) {
    Json::Value owner = ToJson(it.unit);
    owner["target"] = it.target;
    return owner;
  });
  return value;
}

// Unknown members are rejected, since a misspelt one would not check anything.
Expectation ParseExpectation(const Json::Value& value,
                             ObjectReader& reader,
                             absl::Status& status) {
  Expectation expected;
  for (const std::string& name : value.getMemberNames()) {
    if (name == "config_version") {
      expected.config_version = reader.Uint("config_version");
    } else if (name == "has_lease") {
      expected.has_lease = reader.Bool("has_lease");
    } else if (name == "is_leader") {
      expected.is_leader = reader.Bool("is_leader");
    } else if (name == "log_available") {
      expected.log_available = reader.Bool("log_available");
    } else if (name == "voters") {
      expected.voters = reader.Uint("voters");
    } else if (name == "moves_under_way") {
      expected.moves_under_way = reader.Uint("moves_under_way");
    } else if (name == "lost_targets") {
      expected.lost_targets.emplace();
      for (const Json::Value& it : reader.Array("lost_targets")) {
        if (it.isString()) {
          expected.lost_targets->push_back(it.asString());
        } else {
          reader.Fail(
              "'lost_targets' contains a value that is not a target id");
        }
      }
    } else if (name == "owners") {
      for (const Json::Value& it : reader.Array("owners")) {
        ObjectReader owner(it, status);
        expected.owners.push_back(
            {ParseUnit(it, status), owner.String("target")});
      }
    } else if (name != "type") {
      reader.Fail(absl::StrCat("unknown expectation '", name, "'"));
    }
  }
  return expected;
}

struct LineWriter {
  Json::Value operator()(const ControllerOptions& it) const {
    return OptionsToJson(it);
  }
  Json::Value operator()(const TracedEvent& it) const {
    Json::Value value;
    value["at"] = Nanoseconds(it.at);
    std::visit(EventWriter{value}, it.event);
    return value;
  }
  Json::Value operator()(const TracedRecordId& it) const {
    Json::Value value;
    value["type"] = "record_id";
    value["id"] = it.id;
    return value;
  }
  Json::Value operator()(const Expectation& it) const {
    return ExpectationToJson(it);
  }
};

}  // namespace

// Returns one line of JSON without the line break. Times are nanoseconds on the
// host's steady clock.
std::string EncodeTraceLine(const TraceLine& line) {
  return WriteJson(std::visit(LineWriter{}, line));
}

// Errors are InvalidArgument and name the wrong member.
absl::StatusOr<TraceLine> ParseTraceLine(const std::string& text) {
  absl::StatusOr<Json::Value> value = ParseJson(text);
  if (!value.ok()) {
    return value.status();
  }
  absl::Status status;
  ObjectReader reader(*value, status);
  const std::string type = reader.String("type");
  TraceLine line = TracedRecordId{};
  if (!status.ok()) {
    return status;
  }
  if (type == "options") {
    line = ParseOptions(reader, status);
  } else if (type == "record_id") {
    line = TracedRecordId{reader.String("id")};
  } else if (type == "expect") {
    line = ParseExpectation(*value, reader, status);
  } else if (const auto it = EventParsers().find(type);
             it != EventParsers().end()) {
    line = TracedEvent{ParseTime(reader, "at"), it->second(reader, status)};
  } else {
    reader.Fail(absl::StrCat("unknown line type '", type, "'"));
  }
  if (!status.ok()) {
    return status;
  }
  return line;
}

}  // namespace toucandock::codec
