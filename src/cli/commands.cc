#include "cli/commands.h"

#include <algorithm>
#include <utility>

#include "absl/strings/str_cat.h"
#include "absl/strings/str_join.h"
#include "absl/strings/str_split.h"
#include "cli/config_commands.h"
#include "cli/host_commands.h"
#include "cli/replay_command.h"
#include "cli/request_command.h"
#include "codec/json.h"

namespace toucandock::cli {
namespace {

using core::ErrorKind;

constexpr const char* kOptionsHelp =
    "options:\n"
    "  --log=IP:PORT       the platform's log (default 127.0.0.1:7000)\n"
    "  --stream=NAME       stream on the log (default toucandock)\n"
    "  --host=IP:PORT      operator port of an entry host (default "
    "127.0.0.1:7003)\n"
    "  --author=NAME       who publishes (default operator)\n"
    "  --edited_from=N     version that the text was edited from (default: "
    "its first line)\n"
    "  --wait=10s          how long to wait for an answer\n"
    "  --output=text|json  how to print the answer\n";

const Command* FindCommand(const std::string& name) {
  const std::vector<Command>& commands = AllCommands();
  const auto it =
      std::find_if(commands.begin(), commands.end(),
                   [&](const Command& entry) { return entry.name == name; });
  return it == commands.end() ? nullptr : &*it;
}

std::string Usage(const Command& command) {
  std::string usage = absl::StrCat("toucandock ", command.name);
  if (*command.arguments != '\0') {
    absl::StrAppend(&usage, " ", command.arguments);
  }
  return usage;
}

Answer Dispatch(const std::vector<std::string>& words, const Options& options) {
  if (words.empty()) {
    return Failed(ErrorKind::kUsage, "name a command; try 'toucandock help'");
  }
  const Command* command = FindCommand(words[0]);
  if (command == nullptr) {
    const std::string names = absl::StrJoin(
        AllCommands(), ", ",
        [](std::string* out, const Command& it) { out->append(it.name); });
    return Failed(ErrorKind::kUsage, absl::StrCat("unknown command '", words[0],
                                                  "'; known: ", names));
  }
  const std::vector<std::string> arguments(words.begin() + 1, words.end());
  const std::vector<absl::string_view> expected =
      absl::StrSplit(command->arguments, ' ', absl::SkipEmpty());
  if (arguments.size() != expected.size()) {
    return Failed(
        ErrorKind::kUsage,
        absl::StrCat(
            arguments.size() > expected.size()
                ? absl::StrCat("extra argument '", arguments[expected.size()],
                               "'")
                : absl::StrCat(expected[arguments.size()], " is missing"),
            "; usage: ", Usage(*command)));
  }
  return command->run(arguments, options);
}

void PrintError(const Answer& answer, bool json, std::ostream& err) {
  const core::ErrorAnswer& row = core::AnswerFor(answer.error);
  if (!json) {
    err << row.name << ": " << answer.text << "\n";
    return;
  }
  Json::Value value = answer.value;
  value["error"] = std::string(row.name);
  value["message"] = answer.text;
  value["exit_code"] = row.exit_code;
  err << codec::WriteJson(value) << "\n";
}

}  // namespace

Answer Failed(ErrorKind error, std::string message) {
  return {.error = error, .text = std::move(message)};
}

const std::vector<Command>& AllCommands() {
  static const std::vector<Command> kCommands = {
      {"validate", "FILE", "check a configuration text without publishing it",
       "Reads FILE and prints every fault with its line, its field and what\n"
       "would be right. Nothing is changed and no host is asked.\n",
       Validate},
      {"diff", "FILE", "show how a text differs from the one in force",
       "Prints one line for each difference between FILE and the version in\n"
       "force. Nothing is changed.\n",
       ShowDiff},
      {"publish", "FILE", "publish a text and wait for the verdict",
       "Checks FILE, appends it to the log and waits until the entry hosts\n"
       "accept or refuse it. Start from the text that 'toucandock config'\n"
       "prints: its first line says which version it was edited from. When\n"
       "somebody else published meanwhile, the text is refused and nothing\n"
       "changes.\n",
       Publish},
      {"rollback", "VERSION", "publish an older text as a new version",
       "Reads the text of VERSION from the log and publishes it again. It\n"
       "gets a new version number; versions never go back. When the log no\n"
       "longer holds that text, the versions that it holds are named.\n",
       Rollback},
      {"config", "", "print the text in force, with its version",
       "Prints the configuration in force. Its first line holds the version\n"
       "and must stay there for 'toucandock publish'.\n",
       ShowConfig},
      {"status", "", "show the state of an entry host (--host)",
       "Shows what the host knows: the leader, its lease, the version in\n"
       "force, lost targets, and under 'degraded' what is not as it should\n"
       "be.\n",
       ShowStatus},
      {"explain", "SERVICE KEY", "show who owns a key and why (--host)",
       "Shows the target that owns KEY of SERVICE and the decisions that\n"
       "led to it, the newest last. Every host answers.\n",
       Explain},
      {"explain-request", "ID FILE", "show what became of a request and why",
       "Reads FILE, the collected log lines of entry hosts on the platform in\n"
       "any order, and shows the lines of the request with this id, what the\n"
       "hosts learned around it, the cause, and whether it has run. Asks no\n"
       "host.\n",
       ExplainRequest},
      {"decisions", "", "show recent changes of state (--host)",
       "Shows the host's latest changes of state with their causes, the\n"
       "newest last.\n",
       ShowDecisions},
      {"replay", "FILE", "feed a recorded trace to a controller",
       "Feeds the events of a trace (setting trace_file) to a controller,\n"
       "prints its decisions and final state, and compares it with the\n"
       "outcomes that the trace states. Asks no host and no log.\n",
       ReplayTrace},
  };
  return kCommands;
}

// Returns the help for one command, or the overview when the name is empty or
// unknown.
std::string HelpText(const std::string& name) {
  if (const Command* command = FindCommand(name)) {
    return absl::StrCat("usage: ", Usage(*command), " [OPTIONS]\n\n",
                        command->help, "\n", kOptionsHelp);
  }
  std::string text = "Publishes configurations and shows what hosts do.\n\n";
  for (const Command& it : AllCommands()) {
    absl::StrAppend(&text, "  ", Usage(it), "\n      ", it.summary, "\n");
  }
  return absl::StrCat(text,
                      "  toucandock help COMMAND\n"
                      "      explain one command\n\n",
                      kOptionsHelp);
}

// Returns the exit code: 0, or the code of the error kind.
int RunCommand(const std::vector<std::string>& words,
               const Options& options,
               std::ostream& out,
               std::ostream& err) {
  const Answer answer = Dispatch(words, options);
  if (answer.error != ErrorKind::kNone) {
    PrintError(answer, options.json, err);
  } else if (options.json) {
    out << codec::WriteJson(answer.value) << "\n";
  } else {
    out << answer.text;
  }
  return core::AnswerFor(answer.error).exit_code;
}

}  // namespace toucandock::cli
