#include <algorithm>
#include <iostream>
#include <string>
#include <vector>

#include "absl/flags/flag.h"
#include "absl/flags/parse.h"
#include "absl/flags/reflection.h"
#include "absl/flags/usage.h"
#include "absl/strings/numbers.h"
#include "cli/commands.h"
#include "util/command_flags.h"
#include "util/duration.h"

// Values are checked below, so that all errors have exit codes from the error
// table.
ABSL_FLAG(std::string, log, "127.0.0.1:7000", "IP:PORT of the platform's log");
ABSL_FLAG(std::string, stream, "toucandock", "name of the stream on the log");
ABSL_FLAG(std::string,
          host,
          "127.0.0.1:7003",
          "IP:PORT of an entry host's operator port");
ABSL_FLAG(std::string, author, "operator", "who publishes");
ABSL_FLAG(std::string,
          edited_from,
          "",
          "version that the text was edited from; default: the text's first "
          "line, as 'toucandock config' writes it");
ABSL_FLAG(std::string, wait, "10s", "how long to wait");
ABSL_FLAG(std::string, output, "text", "text or json");

namespace {

using toucandock::cli::Options;

int FailUsage(const std::string& message) {
  const auto& answer =
      toucandock::core::AnswerFor(toucandock::core::ErrorKind::kUsage);
  std::cerr << answer.name << ": " << message << "\n";
  return answer.exit_code;
}

// Returns an error message, or an empty text.
std::string FillOptions(Options& options) {
  const std::string output = absl::GetFlag(FLAGS_output);
  if (output != "text" && output != "json") {
    return "--output: '" + output + "' is not text or json";
  }
  const auto wait = toucandock::util::ParseDuration(absl::GetFlag(FLAGS_wait));
  if (!wait.ok()) {
    return "--wait: " + std::string(wait.status().message());
  }
  const std::string edited_from = absl::GetFlag(FLAGS_edited_from);
  std::uint64_t version = 0;
  if (!edited_from.empty()) {
    if (!absl::SimpleAtoi(edited_from, &version)) {
      return "--edited_from: '" + edited_from + "' is not a version number";
    }
    options.edited_from = version;
  }
  options.log_address = absl::GetFlag(FLAGS_log);
  options.log_stream = absl::GetFlag(FLAGS_stream);
  options.host_address = absl::GetFlag(FLAGS_host);
  options.author = absl::GetFlag(FLAGS_author);
  options.wait = std::chrono::duration_cast<std::chrono::milliseconds>(*wait);
  options.json = output == "json";
  return "";
}

}  // namespace

int main(int argc, char** argv) {
  using toucandock::cli::HelpText;
  std::vector<std::string> arguments(argv + 1, argv + argc);
  const auto is_help = [](const std::string& it) {
    return it == "--help" || it == "-h";
  };
  if (!arguments.empty() && arguments[0] == "help") {
    std::cout << HelpText(arguments.size() > 1 ? arguments[1] : "");
    return 0;
  }
  if (std::any_of(arguments.begin(), arguments.end(), is_help)) {
    std::cout << HelpText(arguments[0]);
    return 0;
  }
  using toucandock::util::FlagKind;
  std::string usage_error =
      toucandock::util::CheckFlags(arguments, [](absl::string_view name) {
        return absl::FindCommandLineFlag(name) == nullptr ? FlagKind::kUnknown
                                                          : FlagKind::kValue;
      });
  if (!usage_error.empty()) {
    return FailUsage(usage_error);
  }
  std::vector<char*> checked = {argv[0]};
  for (std::string& it : arguments) {
    checked.push_back(it.data());
  }
  const std::vector<char*> positional =
      absl::ParseCommandLine(static_cast<int>(checked.size()), checked.data());
  const std::vector<std::string> words(positional.begin() + 1,
                                       positional.end());
  Options options;
  usage_error = FillOptions(options);
  if (!usage_error.empty()) {
    return FailUsage(usage_error);
  }
  return toucandock::cli::RunCommand(words, options, std::cout, std::cerr);
}
