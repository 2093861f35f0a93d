#include "settings/settings.h"

#include <doctest/doctest.h>

#include <string>
#include <vector>

#include "absl/strings/match.h"
#include "absl/strings/str_cat.h"
#include "support/files.h"

namespace toucandock::settings {
namespace {

constexpr const char* kRequired =
    "host_name: entry-1\n"
    "failure_domain: lk-west-1\n"
    "log_address: 10.0.0.5:7000\n";

}  // namespace

TEST_CASE("a wrong setting must stop the start with its line and field") {
  REQUIRE(ParseSettings("s", kRequired).ok());
  struct Case {
    const char* line;
    const char* error;
  };
  const std::vector<Case> cases = {
      {"host_nane: x", "s:4: host_nane: unknown name; known here: "},
      {"caller_address: 10.0.0.1", "s:4: caller_address: '10.0.0.1' is not"},
      {"caller_address: localhost:1", "s:4: caller_address: 'localhost:1' is"},
      {"peer_address: 0.0.0.0:7002",
       "s:4: peer_address: other hosts cannot reach 0.0.0.0"},
      {"operator_address: 1.2.3.4:99999", "s:4: operator_address: '1.2.3.4"},
      {"host_list_address: 1.2.3.4:0", "s:4: host_list_address: '1.2.3.4:0'"},
      {"seed_peers: [1.2.3.4:5, x]", "s:4: seed_peers[1]: 'x' is not an"},
      {"seed_peers: 1.2.3.4:5", "s:4: seed_peers: expected a list"},
      {"log_stream: a/b", "s:4: log_stream: 'a/b' is not a name"},
      {"log_level: loud",
       "s:4: log_level: 'loud' is not one of trace, debug, info, warning, "},
      {"probe_timeout: 20", "s:4: probe_timeout: '20' is not a duration"},
      {"probe_timeout: 1h", "s:4: probe_timeout: 1h is outside 1ms to 10s"},
      {"stop_limit: 0s", "s:4: stop_limit: 0us is outside 1s to 1h"},
      {"trace_limit_bytes: 1", "s:4: trace_limit_bytes: 1 is outside 4096"},
      {"limits: {body_bytes: 0}", "s:4: limits.body_bytes: 0 is outside 1"},
      {"limits: {key_bytes: -4}", "s:4: limits.key_bytes: '-4' is not a"},
      {"limits: 7", "s:4: limits: expected a map"},
      {"lease: {serving: 50ms}",
       "s:4: lease.serving: must be at least two renewal intervals"},
      {"lease: {election: 400ms}",
       "s:4: lease.election: must be longer than lease.support"},
      {"lease: {renew_interval: 1ms}", "s:4: lease.renew_interval: 1ms is"},
      {"lease: {drift_permille: 500}", "s:4: lease.drift_permille: 500 is"},
      {"lease: {drift_permille: 99999999999}",
       "s:4: lease.drift_permille: '99999999999' is not a whole number"},
      {"host_name: other", "s:4: host_name: is given twice"},
      {"log_level: [info", "s:5: not YAML"},
  };
  for (const Case& it : cases) {
    CAPTURE(it.line);
    const auto settings =
        ParseSettings("s", absl::StrCat(kRequired, it.line, "\n"));
    REQUIRE_FALSE(settings.ok());
    CHECK_MESSAGE(absl::StartsWith(settings.status().message(), it.error),
                  settings.status().message());
  }
}

TEST_CASE("all wrong settings must be reported at once, in order of lines") {
  const auto settings = ParseSettings("s",
                                      "host_name: Entry 1\n"
                                      "log_address: 7000\n"
                                      "colour: red\n");
  REQUIRE_FALSE(settings.ok());
  CHECK(absl::StartsWith(settings.status().message(),
                         "s:1: failure_domain: is missing\n"
                         "s:1: host_name: 'Entry 1' is not a name; use 1 to 63 "
                         "of a-z, 0-9, -\n"
                         "s:2: log_address: '7000' is not an address; write "
                         "IP:PORT, such as 10.0.0.7:7001\n"
                         "s:3: colour: unknown name; known here: "));
}

TEST_CASE("the sample settings must stay valid and show the defaults") {
  const std::string file = "docs/samples/settings.yaml";
  const auto sample = ParseSettings(file, support::ReadSource(file));
  REQUIRE_MESSAGE(sample.ok(), sample.status().message());
  const auto defaults = ParseSettings("s", kRequired);
  REQUIRE(defaults.ok());
  CHECK(sample->lease.grant == defaults->lease.grant);
  CHECK(sample->lease.election == defaults->lease.election);
  CHECK(sample->lease.drift_permille == defaults->lease.drift_permille);
  CHECK(sample->limits.body_bytes == defaults->limits.body_bytes);
  CHECK(sample->limits.answer_bytes == defaults->limits.answer_bytes);
  CHECK(sample->trace_limit_bytes == defaults->trace_limit_bytes);
  CHECK(sample->probe_timeout == defaults->probe_timeout);
  CHECK(sample->stop_limit == defaults->stop_limit);
}

}  // namespace toucandock::settings
