#include "observe/request_report.h"

#include <algorithm>
#include <optional>
#include <set>
#include <utility>

#include "absl/strings/str_cat.h"
#include "absl/strings/str_format.h"
#include "absl/time/time.h"
#include "codec/json.h"

namespace toucandock::observe {
namespace {

using core::Outcome;

std::string TextOf(const LogLine& line, const char* name) {
  const Json::Value& value = line.fields[name];
  return value.isString() ? value.asString() : "";
}

std::uint64_t NumberOf(const LogLine& line, const char* name) {
  const Json::Value& value = line.fields[name];
  return value.isUInt64() ? value.asUInt64() : 0;
}

// Parses one line. A prefix that a log collector has written before the JSON
// object is skipped.
std::optional<LogLine> ParseLine(const std::string& text) {
  const size_t begin = text.find('{');
  if (begin == std::string::npos) {
    return std::nullopt;
  }
  auto value = codec::ParseJson(text.substr(begin));
  if (!value.ok() || !value->isObject()) {
    return std::nullopt;
  }
  LogLine line{.fields = *std::move(value)};
  line.time = TextOf(line, "time");
  line.host = TextOf(line, "host");
  line.event = TextOf(line, "event");
  absl::Time at;
  std::string error;
  if (line.event.empty() ||
      !absl::ParseTime(absl::RFC3339_full, line.time, &at, &error)) {
    return std::nullopt;
  }
  line.at = absl::ToChronoTime(at);
  return line;
}

bool IsBefore(const LogLine& a, const LogLine& b) {
  return a.at < b.at;
}

// The service, the key, the targets and the hosts that the lines of the request
// name, by which related lines are found.
struct Subject {
  std::string service;
  std::optional<std::uint64_t> key;
  std::set<std::string> targets;
  std::set<std::string> hosts;
};

Subject SubjectOf(const std::vector<LogLine>& steps) {
  Subject subject;
  for (const LogLine& it : steps) {
    subject.hosts.insert(it.host);
    if (const std::string service = TextOf(it, "service"); !service.empty()) {
      subject.service = service;
    }
    for (const char* name : {"target", "owner", "last_target"}) {
      if (const std::string target = TextOf(it, name); !target.empty()) {
        subject.targets.insert(target);
      }
    }
    // Requests of services without keys are logged with key 0.
    if (NumberOf(it, "owners_offset") > 0) {
      subject.key = NumberOf(it, "key");
    }
  }
  return subject;
}

bool IsRelevant(const LogLine& line, const Subject& subject) {
  if (line.event == "grant_failed" || line.event == "release_failed") {
    return subject.key && NumberOf(line, "first") <= *subject.key &&
           *subject.key <= NumberOf(line, "last");
  }
  if (line.event == "target_gone" || line.event == "target_pause_ended") {
    return subject.targets.contains(TextOf(line, "target"));
  }
  if (line.event == "target_leaving" || line.event == "target_paused" ||
      line.event == "target_notice_unusual") {
    // The requests of a service without keys may go to any of its targets.
    return subject.targets.contains(TextOf(line, "target")) ||
           (!subject.key && TextOf(line, "service") == subject.service);
  }
  if (line.event == "target_entry") {
    // A target renews its entry regularly. Only its first entry and those of a
    // draining target are relevant.
    return subject.targets.contains(TextOf(line, "target")) &&
           (line.fields["draining"].asBool() ||
            NumberOf(line, "sequence") <= 1);
  }
  if (line.event == "ownership") {
    return subject.key && TextOf(line, "service") == subject.service;
  }
  if (line.event == "duty_taken" || line.event == "duty_given_up") {
    return subject.key.has_value();
  }
  if (line.event == "store_lost" || line.event == "store_regained" ||
      line.event == "config_in_force" || line.event == "config_unreadable" ||
      line.event == "started" || line.event == "ready" ||
      line.event == "stopping" || line.event == "settings_applied") {
    return subject.hosts.contains(line.host);
  }
  return line.event == "lapsed_targets_gone";
}

// Returns a key that is equal for all lines about the same record, so that only
// one of them is shown when many hosts log it. Empty for lines without a
// record.
std::string RecordKeyOf(const LogLine& line) {
  return line.fields["offset"].isNull()
             ? ""
             : absl::StrCat(line.event, " ", TextOf(line, "target"), " ",
                            TextOf(line, "service"), " ",
                            NumberOf(line, "offset"));
}

std::vector<LogLine> ContextOf(const RequestReport& report,
                               const std::vector<LogLine>& others,
                               const ReportOptions& options) {
  Subject subject = SubjectOf(report.steps);
  const auto is_in_window = [&](const LogLine& line) {
    return line.at >= report.steps.front().at - options.before &&
           line.at <= report.steps.back().at + options.after;
  };
  for (const LogLine& it : others) {
    if (subject.key && it.event == "duty_taken" && is_in_window(it)) {
      subject.hosts.insert(it.host);
    }
  }
  std::vector<LogLine> context;
  std::set<std::string> records;
  for (const LogLine& it : others) {
    if (!is_in_window(it) || !IsRelevant(it, subject)) {
      continue;
    }
    const std::string record = RecordKeyOf(it);
    if (record.empty() || records.insert(record).second) {
      context.push_back(it);
    }
  }
  // Keeps the latest ownership records, as they are the more likely causes.
  size_t tables = 0;
  for (auto it = context.rbegin(); it != context.rend(); ++it) {
    if (it->event == "ownership" && ++tables > options.max_tables) {
      it->event.clear();
    }
  }
  std::erase_if(context, [](const LogLine& it) { return it.event.empty(); });
  if (context.size() > options.max_context) {
    context.erase(context.begin(), context.end() - static_cast<std::ptrdiff_t>(
                                                       options.max_context));
  }
  return context;
}

const LogLine* FindLast(const std::vector<LogLine>& lines, const char* event) {
  const auto it =
      std::find_if(lines.rbegin(), lines.rend(),
                   [&](const LogLine& line) { return line.event == event; });
  return it == lines.rend() ? nullptr : &*it;
}

// Returns the host that became the leader last, or an empty text if it has
// given up leadership since.
std::string LeaderOf(const std::vector<LogLine>& lines) {
  std::string host;
  for (const LogLine& it : lines) {
    if (it.event == "duty_taken") {
      host = it.host;
    } else if (it.event == "duty_given_up" && it.host == host) {
      host.clear();
    }
  }
  return host;
}

bool HasLostStore(const std::vector<LogLine>& lines, const std::string& host) {
  bool lost = false;
  for (const LogLine& it : lines) {
    if (it.host == host &&
        (it.event == "store_lost" || it.event == "store_regained")) {
      lost = it.event == "store_lost";
    }
  }
  return lost;
}

std::string DescribeAttempt(const LogLine& line) {
  const std::string target = TextOf(line, "target");
  const std::string end = TextOf(line, "end");
  const std::uint64_t status = NumberOf(line, "status");
  const std::string after =
      absl::StrCat(" after ", NumberOf(line, "after_ms"), " ms");
  if (end == "broken") {
    return absl::StrCat("the connection to ", target, " ended", after,
                        " without a whole answer");
  }
  if (end == "not-sent" && TextOf(line, "cause") == "target-unavailable") {
    return absl::StrCat(target,
                        " declared that it leaves or pauses before the request "
                        "was sent");
  }
  if (end == "not-sent") {
    return absl::StrCat(target, " could not be reached");
  }
  if (end == "not-executed") {
    return absl::StrCat(target, " refused it with ", status, after);
  }
  return absl::StrCat(target, " answered ", status, after);
}

void ExplainKeyedRefusal(const LogLine& line, RequestReport& report) {
  const std::string owner = TextOf(line, "owner");
  const std::uint64_t key = NumberOf(line, "key");
  const std::string cause = TextOf(line, "cause");
  if (cause == "owner pauses") {
    report.conclusion = absl::StrCat(
        owner, " owned key ", key, " and had asked ", line.host,
        " for a pause that outlasted the request; the caller was told to "
        "return in ",
        NumberOf(line, "retry_after_ms"), " ms.");
    report.advice =
        "Nothing for a short pause. If pauses go on, the owner is overloaded: "
        "see what its keys get, or add targets to the service.";
    return;
  }
  if (cause == "owner leaves") {
    report.conclusion =
        absl::StrCat(owner, " owned key ", key, " and had declared to ",
                     line.host, " that it leaves, and the key had not moved.");
    report.advice =
        "Look for the target_entry line of the owner: keys move once the store "
        "lists it as draining.";
    return;
  }
  if (line.fields["owner_denied"].asBool()) {
    report.conclusion = absl::StrCat(
        owner, " did not hold key ", key, ", although record ",
        NumberOf(line, "owners_offset"), " names it as the owner; ", line.host,
        " had not read a newer record within ", NumberOf(line, "waited_ms"),
        " ms.");
    report.advice =
        "Compare the offset with the newest ownership line of other hosts. If "
        "theirs is higher, this host reads the store late; otherwise the keys "
        "were changing hands.";
    return;
  }
  if (!owner.empty() && line.fields["owner_serves"].asBool()) {
    report.conclusion = absl::StrFormat(
        "%s owned key %u and had no room: about %.1f requests ran or waited "
        "there.",
        owner, key, line.fields["owner_load"].asDouble());
    report.advice =
        "Compare the keys of other refusals. If one key has most of them, no "
        "further target can help; otherwise add targets to the service.";
    return;
  }
  if (const LogLine* command = FindLast(report.context, "grant_failed")) {
    report.conclusion =
        absl::StrCat("Key ", key, " was changing its owner, and an order to ",
                     TextOf(*command, "target"), " failed (",
                     TextOf(*command, "result"), ").");
    report.advice =
        "The keys are served again once the leases of a lost owner have ended: "
        "8.3 s at the longest, 14.5 s around an outage of the store.";
    return;
  }
  const std::string leader = LeaderOf(report.context);
  if (leader.empty() && FindLast(report.context, "duty_given_up")) {
    report.conclusion =
        absl::StrCat("Key ", key,
                     " had no serving owner, and no host had the duty to "
                     "decide about owners.");
    report.advice =
        "Look for the next duty_taken line. If there is none, no host reaches "
        "the store.";
    return;
  }
  if (HasLostStore(report.context, leader)) {
    report.conclusion = absl::StrCat(
        "Key ", key, " had no serving owner while ", leader,
        ", which decides about owners, had lost the store; no owner changes "
        "without it.");
    report.advice = "Look at the store, or at that host's path to it.";
    return;
  }
  report.conclusion =
      absl::StrCat("Key ", key, " was changing its owner by record ",
                   NumberOf(line, "owners_offset"), ", the newest that ",
                   line.host, " had read.");
  report.advice = "Nothing, if the refusals of these keys have ended.";
}

void ExplainRefusal(const LogLine& line, RequestReport& report) {
  const std::string error = TextOf(line, "error");
  if (error == "owner-unavailable") {
    ExplainKeyedRefusal(line, report);
    return;
  }
  if (error == "not-configured") {
    report.conclusion =
        absl::StrCat(line.host, " had not read a configuration yet.");
    report.advice =
        "Nothing, if the host had just started; otherwise look at the store.";
    return;
  }
  if (error == "stopping") {
    report.conclusion = absl::StrCat(line.host, " was stopping.");
    report.advice = "Nothing: the caller reaches another host.";
    return;
  }
  if (error == "missing-key") {
    report.conclusion = "The request bore no key, or one that is no number.";
    report.advice = "The caller mends its request.";
    return;
  }
  const std::string cause = TextOf(line, "cause");
  if (cause == "all targets leave" || cause == "all targets pause or leave") {
    report.conclusion = absl::StrCat(
        "Each listed target of ", TextOf(line, "service"), " had declared to ",
        line.host,
        cause == "all targets leave" ? " that it leaves."
                                     : " that it leaves or wants a pause.",
        " The caller was told to return in ", NumberOf(line, "retry_after_ms"),
        " ms.");
    report.advice =
        "Ask those who run the service: its targets stop or are overloaded all "
        "at once.";
    return;
  }
  const LogLine* attempt = FindLast(report.steps, "attempt_failed");
  report.conclusion =
      attempt != nullptr && TextOf(line, "cause") == "target refused"
          ? absl::StrCat(
                "Refused for lack of room: ", DescribeAttempt(*attempt), ".")
          : absl::StrCat("No target of ", TextOf(line, "service"),
                         " had room within ", NumberOf(line, "waited_ms"),
                         " ms.");
  report.advice =
      "Nothing for a short peak. If it stays, add targets to the service.";
}

void ExplainFailure(const LogLine& line, RequestReport& report) {
  const std::string target = TextOf(line, "last_target");
  if (TextOf(line, "error") == "answer-timeout") {
    report.conclusion = absl::StrCat(
        target, " had not answered when the caller's deadline or the route's ",
        "timeout passed, after ", NumberOf(line, "waited_ms"), " ms.");
    report.advice =
        absl::StrCat("Ask ", target, " what became of the request.");
    return;
  }
  const LogLine* attempt = FindLast(report.steps, "attempt_failed");
  if (attempt == nullptr) {
    report.conclusion = absl::StrCat("It ended as: ", TextOf(line, "cause"),
                                     ", while ", target, " had it.");
  } else {
    report.conclusion = absl::StrCat(
        "It may have run: ", DescribeAttempt(*attempt),
        attempt->fields["idempotent"].asBool()
            ? ", and no attempt, time or budget was left for a retry."
            : ", and it must not be sent twice.");
  }
  report.advice = absl::StrCat("Ask ", target, " what became of the request.");
}

void Explain(RequestReport& report) {
  const LogLine& last = report.steps.back();
  const core::ErrorKind error = core::ErrorKindFromName(TextOf(last, "error"));
  if (last.event == "refused") {
    report.outcome = Outcome::kNotRun;
    ExplainRefusal(last, report);
  } else if (last.event == "failed") {
    report.outcome = core::AnswerFor(error).outcome;
    ExplainFailure(last, report);
  } else if (last.event == "caller_left") {
    if (NumberOf(last, "attempts") == 0) {
      report.outcome = Outcome::kNotRun;
    }
    report.conclusion = absl::StrCat("The caller closed its connection after ",
                                     NumberOf(last, "waited_ms"), " ms.");
    report.advice = "Nothing.";
  } else if (TextOf(last, "next") == "deliver") {
    report.outcome = Outcome::kRan;
    report.conclusion = absl::StrCat(
        "The caller got the failure of a target: ", DescribeAttempt(last), ".");
    report.advice = "Ask those who run the service.";
  } else {
    // Successful responses are not logged, and lines may be missing.
    if (last.event == "target_unavailable") {
      report.conclusion = absl::StrCat(
          "It was answered later, or still waits: ", TextOf(last, "target"),
          " declared itself ", TextOf(last, "cause"),
          ". Answers have no line of their own.");
      report.advice = "Nothing.";
      return;
    }
    report.conclusion = absl::StrCat(
        "It was answered by a later attempt, or still runs: ",
        DescribeAttempt(last), " before. Answers have no line of their own.");
    report.advice = "Nothing.";
  }
}

}  // namespace

// Reads the log lines of any number of hosts in any order and explains the
// request.
RequestReport ReportOn(const std::string& request_id,
                       std::istream& logs,
                       const ReportOptions& options) {
  RequestReport report{.request_id = request_id};
  std::vector<LogLine> others;
  std::string text;
  while (std::getline(logs, text)) {
    std::optional<LogLine> line = ParseLine(text);
    if (!line) {
      report.unreadable_lines += text.empty() ? 0 : 1;
      continue;
    }
    report.dropped_lines += NumberOf(*line, "dropped_before");
    if (TextOf(*line, "request") == request_id) {
      report.steps.push_back(*std::move(line));
    } else if (line->fields["request"].isNull()) {
      others.push_back(*std::move(line));
    }
  }
  if (report.steps.empty()) {
    return report;
  }
  std::stable_sort(report.steps.begin(), report.steps.end(), IsBefore);
  std::stable_sort(others.begin(), others.end(), IsBefore);
  report.context = ContextOf(report, others, options);
  Explain(report);
  return report;
}

}  // namespace toucandock::observe
