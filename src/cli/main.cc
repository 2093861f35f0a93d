#include <string>
#include <vector>

#include "absl/flags/flag.h"
#include "absl/flags/parse.h"
#include "absl/flags/usage.h"
#include "absl/strings/str_cat.h"
#include "absl/time/time.h"
#include "cli/commands.h"

ABSL_FLAG(std::string, log, "127.0.0.1:7000", "IP:PORT of the platform's log");
ABSL_FLAG(std::string, stream, "toucandock", "name of the stream on the log");
ABSL_FLAG(std::string,
          host,
          "127.0.0.1:7003",
          "IP:PORT of an entry host's operator port");
ABSL_FLAG(std::string, author, "operator", "who publishes");
ABSL_FLAG(int64_t,
          edited_from,
          -1,
          "version that the text was edited from; default: the text's first "
          "line, as 'toucandock config' writes it");
ABSL_FLAG(absl::Duration, wait, absl::Seconds(10), "how long to wait");
ABSL_FLAG(std::string, output, "text", "text or json");

int main(int argc, char** argv) {
  std::string usage = "Publishes configurations and shows what hosts do.\n\n";
  for (const auto& it : toucandock::cli::AllCommands()) {
    absl::StrAppend(&usage, "  toucandock ", it.name, " ", it.arguments, "\n",
                    "      ", it.summary, "\n");
  }
  absl::SetProgramUsageMessage(usage);
  const std::vector<char*> positional = absl::ParseCommandLine(argc, argv);
  const std::vector<std::string> words(positional.begin() + 1,
                                       positional.end());
  toucandock::cli::Options options = {
      .log_address = absl::GetFlag(FLAGS_log),
      .log_stream = absl::GetFlag(FLAGS_stream),
      .host_address = absl::GetFlag(FLAGS_host),
      .author = absl::GetFlag(FLAGS_author),
      .wait = absl::ToChronoMilliseconds(absl::GetFlag(FLAGS_wait)),
      .json = absl::GetFlag(FLAGS_output) == "json"};
  if (absl::GetFlag(FLAGS_edited_from) >= 0) {
    options.edited_from = absl::GetFlag(FLAGS_edited_from);
  }
  return toucandock::cli::RunCommand(words, options);
}
