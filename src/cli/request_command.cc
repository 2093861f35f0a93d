#include "cli/request_command.h"

#include <sstream>

#include "absl/strings/str_cat.h"
#include "absl/strings/str_format.h"
#include "cli/read_file.h"
#include "codec/json.h"
#include "observe/request_report.h"

namespace toucandock::cli {
namespace {

using core::ErrorKind;

Json::Value LinesOf(const std::vector<observe::LogLine>& lines) {
  Json::Value list(Json::arrayValue);
  for (const observe::LogLine& it : lines) {
    list.append(it.fields);
  }
  return list;
}

std::string TextOf(const std::vector<observe::LogLine>& lines) {
  std::string text;
  for (const observe::LogLine& it : lines) {
    absl::StrAppend(&text, "  ", it.time, " ", it.host, " ", it.event);
    for (const std::string& name : it.fields.getMemberNames()) {
      if (name == "time" || name == "host" || name == "event" ||
          name == "request") {
        continue;
      }
      const Json::Value& value = it.fields[name];
      absl::StrAppend(&text, " ", name, "=",
                      value.isString() ? value.asString()
                      : value.type() == Json::realValue
                          ? absl::StrFormat("%.3g", value.asDouble())
                          : codec::WriteJson(value));
    }
    text += '\n';
  }
  return text;
}

}  // namespace

Answer ExplainRequest(const std::vector<std::string>& arguments,
                      const Options&) {
  const absl::StatusOr<std::string> logs = ReadFile(arguments[1]);
  if (!logs.ok()) {
    return Failed(ErrorKind::kNotFound, std::string(logs.status().message()));
  }
  std::istringstream lines(*logs);
  const observe::RequestReport report =
      observe::ReportOn(arguments[0], lines, {});
  Answer answer;
  answer.value["request"] = report.request_id;
  answer.value["dropped_lines"] = codec::Uint(report.dropped_lines);
  answer.value["unreadable_lines"] = codec::Uint(report.unreadable_lines);
  if (report.steps.empty()) {
    answer.error = ErrorKind::kNotFound;
    answer.text = absl::StrCat(
        "no line names the request '", report.request_id,
        "': its first target answered it, or the log of the host that served "
        "it is missing (",
        report.dropped_lines, " lines were left out by the hosts, ",
        report.unreadable_lines, " are no log lines)");
    return answer;
  }
  answer.value["outcome"] = std::string(core::ToString(report.outcome));
  answer.value["conclusion"] = report.conclusion;
  answer.value["advice"] = report.advice;
  answer.value["steps"] = LinesOf(report.steps);
  answer.value["context"] = LinesOf(report.context);
  answer.text = absl::StrCat("outcome: ", core::ToString(report.outcome), "\n",
                             report.conclusion, "\n", report.advice,
                             "\n\nthe request:\n", TextOf(report.steps));
  if (!report.context.empty()) {
    absl::StrAppend(&answer.text, "\nwhat hosts learned around it:\n",
                    TextOf(report.context));
  }
  if (report.dropped_lines > 0) {
    absl::StrAppend(&answer.text, "\n", report.dropped_lines,
                    " lines were left out by the hosts.\n");
  }
  return answer;
}

}  // namespace toucandock::cli
