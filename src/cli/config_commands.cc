#include "cli/config_commands.h"

#include <utility>

#include "absl/status/statusor.h"
#include "absl/strings/match.h"
#include "absl/strings/numbers.h"
#include "absl/strings/str_cat.h"
#include "absl/strings/str_join.h"
#include "absl/strings/str_split.h"
#include "absl/strings/strip.h"
#include "cli/log_view.h"
#include "cli/read_file.h"
#include "codec/config_yaml.h"
#include "core/config/config.h"

namespace toucandock::cli {
namespace {

using core::ErrorKind;
using core::config::Config;
using core::control::ControlState;
using core::control::PublishResult;

constexpr absl::string_view kVersionComment = "# version: ";

struct LoadedText {
  std::string text;
  Config config;
};

LogView OpenLog(const Options& options) {
  return LogView(
      {.address = options.log_address, .stream = options.log_stream});
}

Answer LogFailed(const Options& options, const absl::Status& status) {
  return Failed(ErrorKind::kLogUnavailable,
                absl::StrCat(status.message(), "; asked ", options.log_address,
                             ", name another with --log=IP:PORT"));
}

absl::string_view FirstLine(absl::string_view text) {
  return absl::StripSuffix(text.substr(0, text.find('\n')), "\r");
}

// Returns the version in the first line, where 'toucandock config' writes it.
std::optional<std::uint64_t> VersionOf(const std::string& text) {
  std::uint64_t version = 0;
  const absl::string_view line = FirstLine(text);
  if (absl::StartsWith(line, kVersionComment) &&
      absl::SimpleAtoi(line.substr(kVersionComment.size()), &version)) {
    return version;
  }
  return std::nullopt;
}

std::string WithVersion(const std::string& text, std::uint64_t version) {
  const size_t n = VersionOf(text) ? text.find('\n') : std::string::npos;
  return absl::StrCat(kVersionComment, version, "\n",
                      VersionOf(text)
                          ? (n == std::string::npos ? "" : text.substr(n + 1))
                          : text);
}

Answer InvalidConfig(const absl::Status& status) {
  Answer answer =
      Failed(ErrorKind::kConfigInvalid, std::string(status.message()));
  for (absl::string_view line : absl::StrSplit(status.message(), '\n')) {
    answer.value["faults"].append(std::string(line));
  }
  return answer;
}

// Fills `loaded`, or returns the error that the command reports.
std::optional<Answer> LoadFile(const std::string& file, LoadedText& loaded) {
  absl::StatusOr<std::string> text = ReadFile(file);
  if (!text.ok()) {
    return Failed(ErrorKind::kNotFound, std::string(text.status().message()));
  }
  text = NormalizeText(file, *std::move(text));
  if (!text.ok()) {
    return InvalidConfig(text.status());
  }
  absl::StatusOr<Config> config = codec::ParseConfig(file, *text);
  if (!config.ok()) {
    return InvalidConfig(config.status());
  }
  loaded = {*std::move(text), *std::move(config)};
  return std::nullopt;
}

Json::Value ToList(const std::vector<std::string>& lines) {
  Json::Value list(Json::arrayValue);
  for (const std::string& it : lines) {
    list.append(it);
  }
  return list;
}

std::vector<std::string> DiffLines(const ControlState& state,
                                   const Config& to) {
  const auto from = codec::ParseConfig("config", state.config_text);
  return core::config::Diff(
      state.config_version != 0 && from.ok() ? *from : Config{}, to);
}

std::string DiffText(const ControlState& state,
                     const std::vector<std::string>& lines) {
  return absl::StrCat(
      "against version ", state.config_version, ":\n",
      lines.empty() ? "no difference" : absl::StrJoin(lines, "\n"), "\n");
}

Answer ReportPublishResult(const PublishResult& publish_result,
                           const Config& config,
                           LogView& log) {
  Answer answer;
  answer.value["accepted"] = publish_result.accepted;
  if (publish_result.accepted) {
    answer.value["version"] = static_cast<Json::UInt64>(publish_result.version);
    answer.text =
        absl::StrCat("accepted as version ", publish_result.version, "\n");
    return answer;
  }
  // The reason starts with the name of its error kind.
  absl::string_view reason = publish_result.reason;
  const bool conflict = absl::ConsumePrefix(&reason, "config-conflict: ");
  absl::ConsumePrefix(&reason, "config-invalid: ");
  answer.value["reason"] = std::string(reason);
  if (!conflict) {
    answer.error = ErrorKind::kConfigInvalid;
    answer.text = absl::StrCat("refused: ", reason);
    return answer;
  }
  answer.error = ErrorKind::kConfigConflict;
  answer.text = absl::StrCat("refused: ", reason, "\n");
  if (const auto state = log.ReadState(); state.ok()) {
    const std::vector<std::string> lines = DiffLines(*state, config);
    answer.value["version"] = static_cast<Json::UInt64>(state->config_version);
    answer.value["diff"] = ToList(lines);
    answer.text += DiffText(*state, lines);
  }
  answer.text +=
      "fetch the text in force with 'toucandock config', make your change in "
      "it and publish it";
  return answer;
}

Answer PublishText(LogView& log,
                   const Options& options,
                   const LoadedText& loaded,
                   std::uint64_t edited_from) {
  const auto publish_result = log.Publish({.text = loaded.text,
                                           .author = options.author,
                                           .edited_from = edited_from,
                                           .wait = options.wait});
  if (absl::IsDeadlineExceeded(publish_result.status())) {
    return Failed(ErrorKind::kHostUnavailable,
                  std::string(publish_result.status().message()));
  }
  if (!publish_result.ok()) {
    return LogFailed(options, publish_result.status());
  }
  return ReportPublishResult(*publish_result, loaded.config, log);
}

// Refuses a text that does not name its version, since it might undo another
// operator's change.
Answer VersionMissing(const ControlState& state) {
  Answer answer = Failed(
      ErrorKind::kConfigConflict,
      absl::StrCat(
          "version ", state.config_version, " by ", state.config_author,
          " is in force, and the text does not say which version it was "
          "edited from; nothing was published\n"
          "run 'toucandock config > new.yaml', make your change in new.yaml "
          "and publish that file\n"
          "or, if your text holds all that version ",
          state.config_version,
          " holds, publish it with --edited_from=", state.config_version));
  answer.value["version"] = static_cast<Json::UInt64>(state.config_version);
  return answer;
}

}  // namespace

Answer Validate(const std::vector<std::string>& arguments, const Options&) {
  LoadedText loaded;
  if (std::optional<Answer> failed = LoadFile(arguments[0], loaded)) {
    return *std::move(failed);
  }
  Answer answer;
  const size_t services = loaded.config.services.size();
  answer.value["valid"] = true;
  answer.value["services"] = static_cast<Json::UInt64>(services);
  answer.text =
      absl::StrCat(arguments[0], ": valid, ", services, " services\n");
  return answer;
}

Answer ShowDiff(const std::vector<std::string>& arguments,
                const Options& options) {
  LoadedText loaded;
  if (std::optional<Answer> failed = LoadFile(arguments[0], loaded)) {
    return *std::move(failed);
  }
  LogView log = OpenLog(options);
  const auto state = log.ReadState();
  if (!state.ok()) {
    return LogFailed(options, state.status());
  }
  Answer answer;
  const std::vector<std::string> lines = DiffLines(*state, loaded.config);
  answer.value["version"] = static_cast<Json::UInt64>(state->config_version);
  answer.value["diff"] = ToList(lines);
  answer.text = DiffText(*state, lines);
  return answer;
}

Answer Publish(const std::vector<std::string>& arguments,
               const Options& options) {
  LoadedText loaded;
  if (std::optional<Answer> failed = LoadFile(arguments[0], loaded)) {
    return *std::move(failed);
  }
  LogView log = OpenLog(options);
  std::optional<std::uint64_t> edited_from =
      options.edited_from ? options.edited_from : VersionOf(loaded.text);
  if (!edited_from) {
    const auto state = log.ReadState();
    if (!state.ok()) {
      return LogFailed(options, state.status());
    }
    if (state->config_version != 0) {
      return VersionMissing(*state);
    }
    edited_from = 0;
  }
  return PublishText(log, options, loaded, *edited_from);
}

Answer Rollback(const std::vector<std::string>& arguments,
                const Options& options) {
  std::uint64_t version = 0;
  if (!absl::SimpleAtoi(arguments[0], &version) || version == 0) {
    return Failed(ErrorKind::kUsage,
                  absl::StrCat("'", arguments[0],
                               "' is not a version; write a number from 1"));
  }
  LogView log = OpenLog(options);
  const auto history = log.ReadVersions();
  if (!history.ok()) {
    return LogFailed(options, history.status());
  }
  const auto found = history->texts.find(version);
  if (found == history->texts.end()) {
    const std::string available_versions = absl::StrJoin(
        history->texts, ", ", [](std::string* out, const auto& it) {
          absl::StrAppend(out, it.first);
        });
    return Failed(
        ErrorKind::kNotFound,
        history->current < version
            ? absl::StrCat("version ", version, " was never accepted; version ",
                           history->current, " is in force")
            : absl::StrCat("the log's retention passed the text of version ",
                           version, "; it holds the versions ",
                           available_versions,
                           "; publish an older text from a file instead"));
  }
  LoadedText loaded;
  loaded.text = WithVersion(found->second, history->current);
  auto config =
      codec::ParseConfig(absl::StrCat("version ", version), loaded.text);
  if (!config.ok()) {
    return InvalidConfig(config.status());
  }
  loaded.config = *std::move(config);
  return PublishText(log, options, loaded, history->current);
}

Answer ShowConfig(const std::vector<std::string>&, const Options& options) {
  LogView log = OpenLog(options);
  const auto state = log.ReadState();
  if (!state.ok()) {
    return LogFailed(options, state.status());
  }
  Answer answer;
  answer.text = WithVersion(state->config_text, state->config_version);
  answer.value["version"] = static_cast<Json::UInt64>(state->config_version);
  answer.value["author"] = state->config_author;
  answer.value["text"] = answer.text;
  return answer;
}

}  // namespace toucandock::cli
