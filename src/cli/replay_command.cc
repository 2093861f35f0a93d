#include "cli/replay_command.h"

#include <chrono>
#include <sstream>

#include "absl/strings/str_cat.h"
#include "absl/strings/str_join.h"
#include "cli/host_commands.h"
#include "cli/read_file.h"
#include "codec/status_json.h"
#include "replay/replay.h"

namespace toucandock::cli {

using core::ErrorKind;

Answer ReplayTrace(const std::vector<std::string>& arguments, const Options&) {
  const absl::StatusOr<std::string> text = ReadFile(arguments[0]);
  if (!text.ok()) {
    return Failed(ErrorKind::kNotFound, std::string(text.status().message()));
  }
  std::istringstream lines(*text);
  const auto result = replay::Replay(arguments[0], lines);
  if (!result.ok()) {
    return Failed(ErrorKind::kMalformedRequest,
                  std::string(result.status().message()));
  }
  Answer answer;
  answer.value["events"] = static_cast<Json::UInt64>(result->events);
  answer.value["expectations"] =
      static_cast<Json::UInt64>(result->expectations);
  answer.value["owned_units"] = static_cast<Json::UInt64>(result->owned_units);
  answer.value["status"] = codec::ToJson(result->status);
  answer.value["decisions"] = Json::Value(Json::arrayValue);
  answer.value["failures"] = Json::Value(Json::arrayValue);
  for (const replay::ReplayedDecision& it : result->decisions) {
    const auto after =
        std::chrono::duration_cast<std::chrono::milliseconds>(it.after);
    Json::Value decision;
    decision["at"] = absl::StrCat(after.count(), "ms");
    decision["what"] = it.what;
    decision["cause"] = it.cause;
    answer.value["decisions"].append(decision);
  }
  for (const std::string& it : result->failures) {
    answer.value["failures"].append(it);
  }
  if (!result->failures.empty()) {
    answer.error = ErrorKind::kInternal;
    answer.text = absl::StrCat("the replay differs from the expected outcome\n",
                               absl::StrJoin(result->failures, "\n"));
    return answer;
  }
  answer.text = ToText(answer.value, "");
  return answer;
}

}  // namespace toucandock::cli
