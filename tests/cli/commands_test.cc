#include "cli/commands.h"

#include <doctest/doctest.h>

#include <memory>
#include <mutex>
#include <sstream>
#include <string>
#include <utility>
#include <vector>

#include "absl/strings/match.h"
#include "absl/strings/numbers.h"
#include "absl/strings/str_cat.h"
#include "absl/strings/str_replace.h"
#include "codec/json.h"
#include "codec/record_json.h"
#include "core/control/control_state.h"
#include "http/server.h"
#include "platform/log_protocol.h"
#include "support/fake_server.h"
#include "support/files.h"
#include "util/command_flags.h"

namespace toucandock::cli {
namespace {

using namespace core::control;  // NOLINT(google-build-using-namespace)

std::string Text(int slots) {
  return absl::StrCat(
      "services:\n  - name: druk\n    slots: ", slots,
      "\n    targets:\n"
      "      - {address: \"10.0.0.1:80\", failure_domain: a}\n");
}

// A log and a leader that accepts a text when it was edited from the current
// version.
class FakeLog {
 public:
  FakeLog() {
    Add({}, JoinRecord{{.id = "a"}});
    Add({state_.ballot.number + 1, "a"}, TermRecord{});
    auto server = http::Server::Start(
        {}, [this](const http::Request& request) { return Serve(request); });
    REQUIRE(server.ok());
    server_ = *std::move(server);
  }

  const std::string& address() const { return server_->address(); }

  void StopDeciding() {
    const std::lock_guard<std::mutex> lock(mutex_);
    decides_ = false;
  }

  // Writes a checkpoint and drops all records before it.
  void DropOlderRecords() {
    const std::lock_guard<std::mutex> lock(mutex_);
    Add(state_.ballot,
        CheckpointRecord{std::make_shared<const ControlState>(state_)});
    first_ = entries_.back().offset;
  }

 private:
  void Add(Ballot ballot, RecordBody body, const std::string& id = "") {
    const core::Offset offset = state_.next;
    entries_.push_back(
        {offset,
         {id.empty() ? absl::StrCat("r", offset) : id, "a", std::move(ballot),
          state_.last_leader_record, std::move(body)}});
    REQUIRE(ApplyEntry(state_, entries_.back()) == ApplyResult::kApplied);
  }

  void Decide(const Record& record) {
    const auto& publish = std::get<PublishRecord>(record.body);
    Add({}, publish, record.id);
    if (!decides_) {
      return;
    }
    if (publish.edited_from == state_.config_version) {
      Add(state_.ballot, AcceptRecord{record.id, state_.config_version + 1});
    } else {
      Add(state_.ballot, RefuseRecord{record.id, "config-conflict: too late"});
    }
  }

  http::Response Serve(const http::Request& request) {
    const std::lock_guard<std::mutex> lock(mutex_);
    if (request.method == "POST") {
      bool is_truncated = false;
      const auto records = platform::DecodeFrames(request.body, is_truncated);
      REQUIRE(records.size() == 1);
      const auto record = codec::ParseRecord(records[0]);
      REQUIRE(record.ok());
      Decide(*record);
      return http::JsonResponse(200, "{\"offset\":0}");
    }
    std::uint64_t from = 0;
    REQUIRE(absl::SimpleAtoi(http::QueryParameter(request, "from"), &from));
    if (from < first_) {
      return http::JsonResponse(410, absl::StrCat("{\"first\":", first_, "}"));
    }
    platform::LogPage page{.end = state_.next, .first = first_};
    for (const LogEntry& it : entries_) {
      if (it.offset >= from) {
        page.records.push_back(codec::EncodeRecord(it.record));
      }
    }
    return {.status = 200, .body = platform::EncodePage(page)};
  }

  std::mutex mutex_;
  ControlState state_;
  std::vector<LogEntry> entries_;
  core::Offset first_ = 0;
  bool decides_ = true;
  std::unique_ptr<http::Server> server_;
};

struct Result {
  int exit_code = 0;
  std::string out;
  std::string err;
};

Result Run(const std::vector<std::string>& words, const Options& options) {
  std::ostringstream out;
  std::ostringstream err;
  const int exit_code = RunCommand(words, options, out, err);
  return {exit_code, out.str(), err.str()};
}

constexpr const char* kUnusedAddress = "127.0.0.1:1";

}  // namespace

// Two operators may edit the same version. The text that is published later
// does not contain the earlier change and must be refused.
TEST_CASE("publishing must never undo another operator's change unnoticed") {
  FakeLog log;
  Options options = {.log_address = log.address(),
                     .log_stream = "s",
                     .author = "ada",
                     .wait = std::chrono::seconds(5)};
  const support::TemporaryFile first(Text(1));
  REQUIRE(Run({"publish", first.path()}, options).out ==
          "accepted as version 1\n");

  SUBCASE("a text without a version is not published, and says what to do") {
    const support::TemporaryFile file(Text(2));
    const Result result = Run({"publish", file.path()}, options);
    CHECK(result.exit_code == 6);
    CHECK(absl::StrContains(result.err, "nothing was published"));
    CHECK(absl::StrContains(result.err, "toucandock config > new.yaml"));
    CHECK(absl::StrContains(result.err, "--edited_from=1"));
    options.edited_from = 1;
    CHECK(Run({"publish", file.path()}, options).exit_code == 0);
  }
  SUBCASE("the text that 'config' prints can be edited and published") {
    const Result shown = Run({"config"}, options);
    CHECK(shown.out == "# version: 1\n" + Text(1));
    const support::TemporaryFile edited("# version: 1\n" + Text(2));
    CHECK(absl::StrContains(Run({"diff", edited.path()}, options).out,
                            "against version 1:\n"));
    CHECK(Run({"publish", edited.path()}, options).out ==
          "accepted as version 2\n");

    SUBCASE("the same text again is refused with the version in force") {
      const Result late = Run({"publish", edited.path()}, options);
      CHECK(late.exit_code == 6);
      CHECK(absl::StartsWith(late.err, "config-conflict: refused: too late\n"));
      CHECK(absl::StrContains(late.err, "against version 2:"));
      options.json = true;
      const auto value =
          codec::ParseJson(Run({"publish", edited.path()}, options).err);
      REQUIRE(value.ok());
      CHECK((*value)["error"] == "config-conflict");
      CHECK((*value)["exit_code"] == 6);
      CHECK((*value)["version"] == 2);
    }
    SUBCASE("a text that an editor of another system saved is the same text") {
      const support::TemporaryFile saved(
          "\xEF\xBB\xBF# version: 2\r\n" +
          absl::StrReplaceAll(Text(3), {{"\n", "\r\n"}}));
      CHECK(Run({"publish", saved.path()}, options).out ==
            "accepted as version 3\n");
      CHECK(Run({"config"}, options).out == "# version: 3\n" + Text(3));
    }
    SUBCASE("a rollback is a new version with the older text") {
      CHECK(Run({"rollback", "1"}, options).out == "accepted as version 3\n");
      CHECK(Run({"config"}, options).out == "# version: 3\n" + Text(1));
    }
    SUBCASE("a rollback to a text that retention passed names what is left") {
      log.DropOlderRecords();
      const Result result = Run({"rollback", "1"}, options);
      CHECK(result.exit_code == 3);
      CHECK(absl::StrContains(result.err,
                              "retention passed the text of "
                              "version 1; it holds the versions 2"));
      CHECK(Run({"config"}, options).out == "# version: 2\n" + Text(2));
      CHECK(Run({"rollback", "2"}, options).exit_code == 0);
    }
    SUBCASE("without a result it must not look refused or accepted") {
      log.StopDeciding();
      options.wait = std::chrono::milliseconds(200);
      const Result result = Run({"rollback", "1"}, options);
      CHECK(result.exit_code == 5);
      CHECK(absl::StartsWith(result.err,
                             "host-unavailable: no entry host "
                             "decided within 200 ms; the proposal "
                             "is on the log"));
    }
    SUBCASE("a rollback to a version that never existed") {
      const Result result = Run({"rollback", "7"}, options);
      CHECK(result.exit_code == 3);
      CHECK(absl::StrContains(result.err, "version 7 was never accepted"));
    }
  }
}

TEST_CASE(
    "wrong use must have the exit code of its kind and say what is right") {
  const support::TemporaryFile bad_yaml("services: [");
  const support::TemporaryFile bad_key("services: []\ncolour: red\n");
  const support::TemporaryFile good(Text(1));
  const support::TemporaryFile utf16(std::string("\xFF\xFEs\0", 4));
  const support::TemporaryFile bad_type("services:\n  - druk\n");
  support::FakeServer other;
  other.Answer(200, "{\"first\":0}");
  support::FakeServer refusing;
  refusing.Answer(404,
                  R"({"kind":"unknown-service","detail":"no such service"})");
  struct Case {
    std::vector<std::string> words;
    std::string host;
    int exit_code;
    std::string error;
  };
  const std::vector<Case> cases = {
      {{}, kUnusedAddress, 64, "usage: name a command"},
      {{"statsu"},
       kUnusedAddress,
       64,
       "usage: unknown command 'statsu'; known: "},
      {{"publish"},
       kUnusedAddress,
       64,
       "usage: FILE is missing; usage: toucandock"},
      {{"explain", "s"}, kUnusedAddress, 64, "usage: KEY is missing"},
      {{"status", "x"}, kUnusedAddress, 64, "usage: extra argument 'x'"},
      {{"rollback", "one"},
       kUnusedAddress,
       64,
       "usage: 'one' is not a version"},
      {{"rollback", "0"}, kUnusedAddress, 64, "usage: '0' is not a version"},
      {{"rollback", "1"}, kUnusedAddress, 5, "log-unavailable: "},
      {{"validate", "/nonexistent"},
       kUnusedAddress,
       3,
       "not-found: cannot read '/nonexistent': No such file"},
      {{"validate", "/tmp"},
       kUnusedAddress,
       3,
       "not-found: '/tmp' is a directory"},
      {{"validate", bad_yaml.path()},
       kUnusedAddress,
       2,
       absl::StrCat("config-invalid: ", bad_yaml.path(), ":1: not YAML")},
      {{"publish", bad_key.path()},
       kUnusedAddress,
       2,
       absl::StrCat("config-invalid: ", bad_key.path(),
                    ":1: services: the list is empty; name at least one\n",
                    bad_key.path(), ":2: colour: unknown name")},
      {{"validate", utf16.path()},
       kUnusedAddress,
       2,
       absl::StrCat("config-invalid: ", utf16.path(),
                    ":1: text: is not UTF-8; save the file as UTF-8")},
      {{"validate", bad_type.path()},
       kUnusedAddress,
       2,
       absl::StrCat("config-invalid: ", bad_type.path(),
                    ":2: services[0]: expected a map")},
      {{"publish", good.path()}, kUnusedAddress, 5, "log-unavailable: "},
      {{"diff", good.path()}, kUnusedAddress, 5, "log-unavailable: "},
      {{"config"}, kUnusedAddress, 5, "log-unavailable: "},
      {{"status"},
       kUnusedAddress,
       5,
       "host-unavailable: no answer from the entry"},
      {{"status"}, "nonsense", 5, "host-unavailable: "},
      {{"status"}, other.address(), 70, "internal: what answers at "},
      {{"decisions"}, other.address(), 70, "internal: what answers at "},
      {{"explain", "s", "k"},
       refusing.address(),
       3,
       "unknown-service: no such service"},
      {{"replay", good.path()},
       kUnusedAddress,
       3,
       absl::StrCat("malformed-request: ", good.path(), ":1: not JSON")},
  };
  for (const Case& it : cases) {
    const std::string command =
        it.words.empty() ? "" : absl::StrCat(it.words[0], " ...");
    CAPTURE(command);
    Options options = {.log_address = kUnusedAddress,
                       .log_stream = "s",
                       .host_address = it.host,
                       .wait = std::chrono::milliseconds(300)};
    const Result text = Run(it.words, options);
    CHECK(text.exit_code == it.exit_code);
    CHECK(text.out.empty());
    CHECK_MESSAGE(absl::StartsWith(text.err, it.error), text.err);
    options.json = true;
    const Result json = Run(it.words, options);
    CHECK(json.exit_code == it.exit_code);
    const auto value = codec::ParseJson(json.err);
    REQUIRE(value.ok());
    CHECK((*value)["exit_code"] == it.exit_code);
    CHECK(absl::StartsWith(it.error, (*value)["error"].asString()));
  }
}

TEST_CASE("each command must have help and an answer in JSON") {
  for (const Command& it : AllCommands()) {
    CAPTURE(it.name);
    CHECK(absl::StartsWith(HelpText(it.name),
                           absl::StrCat("usage: toucandock ", it.name)));
    CHECK(absl::StrContains(HelpText(""), it.summary));
  }
  FakeLog log;
  support::FakeServer host;
  Options options = {.log_address = log.address(),
                     .log_stream = "s",
                     .host_address = host.address(),
                     .author = "ada",
                     .wait = std::chrono::seconds(5),
                     .json = true};
  const support::TemporaryFile file(Text(1));
  const support::TemporaryFile logs(
      "{\"time\":\"2026-06-11T10:45:13.541Z\",\"host\":\"h1\",\"event\":"
      "\"refused\",\"request\":\"r1\",\"error\":\"stopping\"}\n");
  const std::string trace = absl::StrCat(
      TOUCANDOCK_SOURCE_DIR, "/tests/traces/member-with-delayed-replies.jsonl");
  const std::vector<std::pair<std::vector<std::string>, const char*>> cases = {
      {{"validate", file.path()}, "services"},
      {{"publish", file.path()}, "version"},
      {{"diff", file.path()}, "diff"},
      {{"rollback", "1"}, "version"},
      {{"config"}, "text"},
      {{"status"}, "config_version"},
      {{"explain", "s", "k"}, "unit"},
      {{"explain-request", "r1", logs.path()}, "conclusion"},
      {{"replay", trace}, "decisions"}};
  host.Answer(200, R"({"config_version":1,"unit":"s/shard-1"})");
  for (const auto& [words, member] : cases) {
    const std::string& command = words[0];
    CAPTURE(command);
    const Result result = Run(words, options);
    CHECK(result.exit_code == 0);
    const auto value = codec::ParseJson(result.out);
    REQUIRE(value.ok());
    CHECK(value->isMember(member));
  }
  host.Answer(200, R"([{"at":"t","what":"w","cause":"c"}])");
  CHECK(Run({"decisions"}, options).out ==
        "[{\"at\":\"t\",\"cause\":\"c\",\"what\":\"w\"}]\n");
  options.json = false;
  CHECK(Run({"decisions"}, options).out == "t  w  (c)\n");
}

// The flag library would otherwise end the program with its own message and
// exit code.
TEST_CASE("a wrong flag must be reported by name and not by the flag library") {
  const auto kind_of = [](absl::string_view name) {
    return name == "log"              ? util::FlagKind::kValue
           : name == "check_settings" ? util::FlagKind::kSwitch
                                      : util::FlagKind::kUnknown;
  };
  const std::vector<std::pair<std::vector<std::string>, std::string>> cases = {
      {{"--log=x", "status"}, ""},
      {{"status", "-log", "x"}, ""},
      {{"--check-settings"}, ""},
      {{"--", "--nonsense"}, ""},
      {{"--lgo=x"}, "unknown option '--lgo=x'; try --help"},
      {{"status", "--log"}, "option --log needs a value, --log=VALUE"}};
  for (const auto& [words, error] : cases) {
    std::vector<std::string> arguments = words;
    CHECK(util::CheckFlags(arguments, kind_of) == error);
  }
  std::vector<std::string> arguments = {"--check-settings"};
  util::CheckFlags(arguments, kind_of);
  CHECK(arguments[0] == "--check_settings");
}

}  // namespace toucandock::cli
