#include "cli/commands.h"

#include <fstream>
#include <iostream>
#include <sstream>
#include <utility>

#include "absl/status/statusor.h"
#include "absl/strings/match.h"
#include "absl/strings/numbers.h"
#include "absl/strings/str_cat.h"
#include "absl/strings/str_join.h"
#include "absl/strings/str_split.h"
#include "cli/log_view.h"
#include "codec/config_yaml.h"
#include "codec/json.h"
#include "core/config/config.h"
#include "core/error_kind.h"
#include "http/client.h"

namespace toucandock::cli {
namespace {

using core::ErrorKind;
using core::config::Config;
using core::control::ConfigVerdict;
using core::control::ControlState;

constexpr absl::string_view kVersionComment = "# version: ";

int Fail(ErrorKind kind, const std::string& message) {
  std::cerr << core::ToString(kind) << ": " << message << "\n";
  return core::AnswerFor(kind).exit_code;
}

absl::StatusOr<std::string> ReadFile(const std::string& file) {
  std::ifstream stream(file);
  if (!stream) {
    return absl::NotFoundError(absl::StrCat("cannot read '", file, "'"));
  }
  std::ostringstream text;
  text << stream.rdbuf();
  return text.str();
}

// The version that "toucandock config" writes into the first line.
std::optional<std::uint64_t> VersionOf(const std::string& text) {
  std::uint64_t version = 0;
  const absl::string_view first = text;
  const absl::string_view line = first.substr(0, first.find('\n'));
  if (absl::StartsWith(line, kVersionComment) &&
      absl::SimpleAtoi(line.substr(kVersionComment.size()), &version)) {
    return version;
  }
  return std::nullopt;
}

std::string EscapeQuery(const std::string& text) {
  std::string result;
  for (const unsigned char c : text) {
    if (std::isalnum(c) != 0 || c == '-' || c == '_' || c == '.') {
      result += static_cast<char>(c);
    } else {
      absl::StrAppend(&result, "%", absl::Hex(c, absl::kZeroPad2));
    }
  }
  return result;
}

// One run of the tool: its words and options.
class Command {
 public:
  Command(const std::vector<std::string>& words, const Options& options)
      : words_(words),
        options_(options),
        log_({.address = options.log_address, .stream = options.log_stream}) {}

  int Run() {
    const std::string& name = words_[0];
    if (name == "validate") {
      return Validate();
    }
    if (name == "diff") {
      return Diff();
    }
    if (name == "publish") {
      return Publish();
    }
    if (name == "config") {
      return ShowConfig();
    }
    if (name == "status") {
      return ShowHost("/status");
    }
    if (name == "decisions") {
      return ShowHost("/decisions");
    }
    if (name == "explain") {
      return Explain();
    }
    return Fail(ErrorKind::kUsage,
                absl::StrCat("unknown command '", name, "'; try --help"));
  }

 private:
  bool HasArguments(size_t n) const { return words_.size() == n + 1; }

  int WrongArguments() const {
    for (const CommandHelp& it : AllCommands()) {
      if (it.name == words_[0]) {
        return Fail(
            ErrorKind::kUsage,
            absl::StrCat("usage: toucandock ", it.name, " ", it.arguments));
      }
    }
    return Fail(ErrorKind::kUsage, "see --help");
  }

  // Reads and checks the file named as the first argument.
  absl::StatusOr<Config> LoadFile(std::string& text) const {
    absl::StatusOr<std::string> read = ReadFile(words_[1]);
    if (!read.ok()) {
      return read.status();
    }
    text = *std::move(read);
    return codec::ParseConfig(words_[1], text);
  }

  int Validate() {
    if (!HasArguments(1)) {
      return WrongArguments();
    }
    std::string text;
    const auto config = LoadFile(text);
    if (!config.ok()) {
      return Fail(ErrorKind::kConfigInvalid,
                  std::string(config.status().message()));
    }
    std::cout << words_[1] << ": valid, " << config->services.size()
              << " services\n";
    return 0;
  }

  int Diff() {
    if (!HasArguments(1)) {
      return WrongArguments();
    }
    std::string text;
    const auto config = LoadFile(text);
    if (!config.ok()) {
      return Fail(ErrorKind::kConfigInvalid,
                  std::string(config.status().message()));
    }
    const auto state = log_.ReadState();
    if (!state.ok()) {
      return Fail(ErrorKind::kLogUnavailable,
                  std::string(state.status().message()));
    }
    PrintDiff(*state, *config);
    return 0;
  }

  static void PrintDiff(const ControlState& state, const Config& to) {
    Config from;
    if (state.config_version != 0) {
      auto parsed = codec::ParseConfig("config", state.config_text);
      if (parsed.ok()) {
        from = *std::move(parsed);
      }
    }
    const std::vector<std::string> lines = core::config::Diff(from, to);
    std::cout << "against version " << state.config_version << ":\n"
              << (lines.empty() ? "no difference" : absl::StrJoin(lines, "\n"))
              << "\n";
  }

  int Publish() {
    if (!HasArguments(1)) {
      return WrongArguments();
    }
    std::string text;
    const auto config = LoadFile(text);
    if (!config.ok()) {
      return Fail(ErrorKind::kConfigInvalid,
                  std::string(config.status().message()));
    }
    const std::optional<std::uint64_t> edited_from =
        options_.edited_from ? options_.edited_from : VersionOf(text);
    const auto verdict =
        log_.Publish({.text = text,
                      .author = options_.author,
                      // Without any statement, only a first text is accepted.
                      .edited_from = edited_from.value_or(0),
                      .wait = options_.wait});
    if (!verdict.ok()) {
      return Fail(ErrorKind::kLogUnavailable,
                  std::string(verdict.status().message()));
    }
    return ReportVerdict(*verdict, *config);
  }

  int ReportVerdict(const ConfigVerdict& verdict, const Config& config) {
    if (verdict.accepted) {
      if (options_.json) {
        Json::Value value;
        value["accepted"] = true;
        value["version"] = static_cast<Json::UInt64>(verdict.version);
        std::cout << codec::WriteJson(value) << "\n";
      } else {
        std::cout << "accepted as version " << verdict.version << "\n";
      }
      return 0;
    }
    const bool conflict = absl::StartsWith(verdict.reason, "config-conflict");
    std::cerr << "refused: " << verdict.reason << "\n";
    if (conflict) {
      if (const auto state = log_.ReadState(); state.ok()) {
        PrintDiff(*state, config);
      }
      std::cerr << "fetch the text in force with 'toucandock config', apply "
                   "your change to it and publish again\n";
    }
    return core::AnswerFor(conflict ? ErrorKind::kConfigConflict
                                    : ErrorKind::kConfigInvalid)
        .exit_code;
  }

  int ShowConfig() {
    if (!HasArguments(0)) {
      return WrongArguments();
    }
    const auto state = log_.ReadState();
    if (!state.ok()) {
      return Fail(ErrorKind::kLogUnavailable,
                  std::string(state.status().message()));
    }
    std::string text = state->config_text;
    if (VersionOf(text)) {
      text = text.substr(text.find('\n') + 1);
    }
    std::cout << kVersionComment << state->config_version << "\n" << text;
    return 0;
  }

  int Explain() {
    if (!HasArguments(2)) {
      return WrongArguments();
    }
    return ShowHost(absl::StrCat("/explain?service=", EscapeQuery(words_[1]),
                                 "&key=", EscapeQuery(words_[2])));
  }

  int ShowHost(const std::string& path) {
    const std::vector<std::string> parts = absl::StrSplit(path, '?');
    http::Client client;
    const http::ExchangeResult result = client.Exchange(
        options_.host_address,
        {.path = parts[0], .query = parts.size() > 1 ? parts[1] : ""},
        {.timeout = options_.wait});
    if (result.progress != http::Progress::kComplete) {
      return Fail(ErrorKind::kInternal,
                  absl::StrCat("no answer from the entry host at '",
                               options_.host_address,
                               "'; name one with --host=IP:PORT"));
    }
    if (result.response.status != 200) {
      std::cerr << result.response.body << "\n";
      return core::AnswerFor(ErrorKind::kNotFound).exit_code;
    }
    Print(result.response.body);
    return 0;
  }

  void Print(const std::string& body) const {
    const auto value = codec::ParseJson(body);
    if (options_.json || !value.ok()) {
      std::cout << body << "\n";
      return;
    }
    PrintValue(*value, "");
  }

  static void PrintValue(const Json::Value& value, const std::string& indent) {
    if (value.isArray()) {
      for (const Json::Value& it : value) {
        if (it.isObject() && it.isMember("what")) {
          std::cout << indent << it["at"].asString() << "  "
                    << it["what"].asString() << "  (" << it["cause"].asString()
                    << ")\n";
        } else {
          std::cout << indent << "- " << it.asString() << "\n";
        }
      }
      return;
    }
    for (const std::string& name : value.getMemberNames()) {
      const Json::Value& member = value[name];
      if (member.isArray()) {
        std::cout << indent << name << ":" << (member.empty() ? " none" : "")
                  << "\n";
        PrintValue(member, indent + "  ");
      } else {
        std::cout << indent << name << ": " << member.asString() << "\n";
      }
    }
  }

  const std::vector<std::string>& words_;
  const Options& options_;
  LogView log_;
};

}  // namespace

const std::vector<CommandHelp>& AllCommands() {
  static const std::vector<CommandHelp> kCommands = {
      {"validate", "FILE", "check a configuration text without publishing it"},
      {"diff", "FILE", "show how a text differs from the one in force"},
      {"publish", "FILE", "publish a text and wait for the verdict"},
      {"config", "", "print the text in force, with its version"},
      {"status", "", "show the state of an entry host (--host)"},
      {"explain", "SERVICE KEY", "show who owns a key and why (--host)"},
      {"decisions", "", "show recent changes of state (--host)"},
  };
  return kCommands;
}

// Returns the exit code: 0, or that of the error kind.
int RunCommand(const std::vector<std::string>& words, const Options& options) {
  if (words.empty()) {
    return Fail(ErrorKind::kUsage, "name a command; try --help");
  }
  return Command(words, options).Run();
}

}  // namespace toucandock::cli
