#include "codec/config_yaml.h"

#include <doctest/doctest.h>

#include <string>
#include <vector>

#include "absl/strings/match.h"
#include "absl/strings/str_cat.h"
#include "absl/strings/str_replace.h"
#include "support/files.h"

namespace toucandock::codec {
namespace {

// Each case below changes one place of this text.
constexpr const char* kGood =
    "services:\n"         // line 1
    "  - name: arkusz\n"  // line 2
    "    keyed: true\n"   // line 3
    "    shards: 8\n"     // line 4
    "    classes:\n"      // line 5
    "      - {name: read, methods: [GET], idempotent: true, deadline: 3s}\n"
    "    targets:\n"  // line 7
    "      - {address: \"10.0.0.1:80\", failure_domain: pl-south-1}\n"
    "  - name: druk\n"            // line 9
    "    depends_on: [arkusz]\n"  // line 10
    "    targets:\n"              // line 11
    "      - {address: \"10.0.0.2:80\", failure_domain: pl-south-1}\n";

struct Case {
  const char* from;
  const char* to;
  // Start of each line of the error.
  std::vector<const char*> expected_errors;
};

}  // namespace

TEST_CASE(
    "an error in a configuration must be reported with its line and field") {
  REQUIRE(ParseConfig("f", kGood).ok());
  const std::vector<Case> cases = {
      {"keyed: true",
       "keyed: yes",
       {"f:3: services[0].keyed: 'yes' is not true or false"}},
      {"keyed: true",
       "keyed: [true]",
       {"f:3: services[0].keyed: expected true or false"}},
      {"keyed: true",
       "keyd: true",
       {"f:3: services[0].keyd: unknown name; known here: classes, "}},
      {"keyed: true",
       "name: arkusz",
       {"f:3: services[0].name: is given twice"}},
      {"shards: 8",
       "shards: many",
       {"f:4: services[0].shards: 'many' is not a whole number from 0 to "}},
      {"shards: 8",
       "shards: -1",
       {"f:4: services[0].shards: '-1' is not a whole number from 0 to "}},
      {"shards: 8",
       "shards: 99999999999",
       {"f:4: services[0].shards: '99999999999' is not a whole number"}},
      {"shards: 8",
       "shards: 0",
       {"f:4: services[0].shards: 0 is outside 1 to 65536"}},
      {"shards: 8",
       "shards:",
       {"f:4: services[0].shards: expected a whole number"}},
      {"shards: 8",
       "slots: 200",
       {"f:2: services[0].connections: must be at least the number of slots"}},
      {"[GET]",
       "[get]",
       {"f:6: services[0].classes[0].methods[0]: 'get' is not a method; "}},
      {"[GET]",
       "GET",
       {"f:6: services[0].classes[0].methods: expected a list"}},
      {"deadline: 3s",
       "deadline: 3",
       {"f:6: services[0].classes[0].deadline: '3' is not a duration; "}},
      {"deadline: 3s",
       "deadline: 0s",
       {"f:6: services[0].classes[0].deadline: must be longer than 0"}},
      {"deadline: 3s",
       "length: medium",
       {"f:6: services[0].classes[0].length: 'medium' is not short or long"}},
      {"name: read",
       "name: Read it",
       {"f:6: services[0].classes[0].name: 'Read it' is not a name; use "}},
      {"10.0.0.1:80",
       "ten:80",
       {"f:8: services[0].targets[0].address: 'ten:80' is not an address; "}},
      {"10.0.0.1:80",
       "10.0.0.256:80",
       {"f:8: services[0].targets[0].address: '10.0.0.256:80' is not an "}},
      {"10.0.0.1:80",
       "10.0.0.1:0",
       {"f:8: services[0].targets[0].address: '10.0.0.1:0' is not an "}},
      {", failure_domain: pl-south-1}\n  - name",
       "}\n  - name",
       {"f:8: services[0].targets[0].failure_domain: is missing"}},
      {"name: druk",
       "name: arkusz",
       {"f:9: services[1].name: the name 'arkusz' is used by two services"}},
      {"[arkusz]",
       "[arkusze]",
       {"f:10: services[1].depends_on[0]: no service is named 'arkusze'"}},
      {"[arkusz]",
       "[druk]",
       {"f:1: services: the dependencies form a cycle: druk -> druk"}},
      // All errors are reported at once, in the order of their lines.
      {"shards: 8\n    classes:",
       "shards: 0\n    clases:",
       {"f:4: services[0].shards: 0 is outside 1 to 65536",
        "f:5: services[0].clases: unknown name; known here: "}},
  };
  for (const Case& it : cases) {
    const std::string text = absl::StrReplaceAll(kGood, {{it.from, it.to}});
    CAPTURE(text);
    REQUIRE(text != kGood);
    const auto config = ParseConfig("f", text);
    REQUIRE_FALSE(config.ok());
    const std::string error(config.status().message());
    CAPTURE(error);
    size_t at = 0;
    for (const char* expected_error : it.expected_errors) {
      CHECK(absl::StartsWith(error.substr(at), expected_error));
      at = error.find('\n', at) + 1;
    }
    CHECK(at == 0);
  }
}

TEST_CASE("a text that is no configuration at all must be refused") {
  const std::vector<std::pair<std::string, const char*>> cases = {
      {"", "f:1: text: expected a map"},
      {"services", "f:1: text: expected a map"},
      {"services:", "f:1: services: expected a list"},
      {"services: []", "f:1: services: the list is empty"},
      {"servises: []", "f:1: services: is missing"},
      {"services:\n  - 7", "f:2: services[0]: expected a map"},
      {"services: [\n", "f:2: not YAML: "},
      {"services:\n\t- name: a", "f:2: not YAML: "},
      {std::string(10'000, '['), "f:1: not YAML: "},
      {absl::StrCat(kGood, "---\n", kGood), "f:14: a second document "},
      {std::string(300'000, '#'), "f: the text is larger than 256 KiB"},
  };
  for (const auto& [text, error] : cases) {
    const std::string start = text.substr(0, 40);
    CAPTURE(start);
    const auto config = ParseConfig("f", text);
    REQUIRE_FALSE(config.ok());
    CHECK_MESSAGE(absl::StartsWith(config.status().message(), error),
                  config.status().message());
  }
}

// A change of the format or of its validation could make the published samples
// unusable.
TEST_CASE("the sample configurations must stay valid and hold each service") {
  struct Expected {
    const char* service;
    size_t targets;
    bool keyed;
  };
  const std::vector<std::pair<std::string, std::vector<Expected>>> files = {
      {"wijesinghe",
       {{"callboard", 14, true},
        {"lodger", 9, false},
        {"eligibles", 12, false},
        {"draftdesk", 8, false}}},
      {"kartografia",
       {{"kwatera", 8, false},
        {"druk", 6, false},
        {"arkusz", 10, true},
        {"indeks", 6, false}}}};
  for (const auto& [name, services] : files) {
    const std::string file = absl::StrCat("docs/samples/", name, ".yaml");
    const auto config = ParseConfig(file, support::ReadSource(file));
    REQUIRE_MESSAGE(config.ok(), config.status().message());
    CHECK(config->services.size() == services.size());
    for (const Expected& it : services) {
      CAPTURE(it.service);
      const auto* found = core::config::FindService(*config, it.service);
      REQUIRE(found != nullptr);
      CHECK(found->targets.size() == it.targets);
      CHECK(found->keyed == it.keyed);
    }
  }
}

}  // namespace toucandock::codec
