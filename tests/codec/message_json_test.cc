#include "codec/message_json.h"

#include <doctest/doctest.h>

#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "absl/strings/match.h"
#include "absl/strings/str_replace.h"
#include "codec/record_json.h"
#include "codec/target_json.h"

namespace toucandock::codec {
namespace {

using namespace core::control;  // NOLINT(google-build-using-namespace)

// One kind of text that is received from outside, with a valid example.
struct Kind {
  const char* name;
  std::string good;
  std::function<absl::Status(const std::string&)> parse;
};

std::vector<Kind> AllKinds() {
  const HostInfo host{"a", "10.0.0.1:1", "10.0.0.1:2", "lk-west-1"};
  const Record record = {
      "r1", "a", {2, "a"}, 3, AssignmentRecord{{{{"s", 1}, {"s/t", 9}}}}};
  return {
      {"record", EncodeRecord(record),
       [](const std::string& it) { return ParseRecord(it).status(); }},
      {"renew request", Encode(RenewRequest{.host = host}),
       [](const std::string& it) { return ParseRenewRequest(it).status(); }},
      {"renew reply",
       Encode(RenewReply{.host = "a", .leader_state = LeaderState{}}),
       [](const std::string& it) { return ParseRenewReply(it).status(); }},
      {"vote request", Encode(VoteRequest{.host = host}),
       [](const std::string& it) { return ParseVoteRequest(it).status(); }},
      {"vote reply", Encode(VoteReply{.granted = true}),
       [](const std::string& it) { return ParseVoteReply(it).status(); }},
      {"state reply",
       Encode(StateReply{std::make_shared<const ControlState>(), {}}),
       [](const std::string& it) { return ParseStateReply(it).status(); }},
      {"target answer", R"({"clock_ms":5,"instance":"i","status":"serving"})",
       [](const std::string& it) { return ParseTargetAnswer(it).status(); }},
      {"host list", R"([{"address":"10.0.0.1:1","state":"live"}])",
       [](const std::string& it) { return ParseHostList(it).status(); }},
  };
}

}  // namespace

// A message that is cut off or damaged may still parse, with default values in
// place of missing members.
TEST_CASE("a damaged message from outside must be refused as a whole") {
  for (const Kind& kind : AllKinds()) {
    CAPTURE(kind.name);
    REQUIRE(kind.parse(kind.good).ok());

    for (size_t n = 0; n < kind.good.size(); ++n) {
      CAPTURE(n);
      CHECK_FALSE(kind.parse(kind.good.substr(0, n)).ok());
    }
    for (const std::string& text :
         {kind.good + "x", kind.good + kind.good, "/**/" + kind.good,
          std::string("null"), std::string("7"), std::string("\"\""),
          std::string(100'000, '['), std::string("\xff\xfe\0", 3)}) {
      CHECK_FALSE(kind.parse(text).ok());
    }
    // Each member in turn is renamed, so that it is missing.
    for (size_t n = kind.good.find('"'); n != std::string::npos;
         n = kind.good.find('"', n + 1)) {
      const size_t end = kind.good.find('"', n + 1);
      if (end == std::string::npos || kind.good[end + 1] != ':') {
        continue;
      }
      std::string text = kind.good;
      text.insert(n + 1, "x");
      const std::string member = kind.good.substr(n + 1, end - n - 1);
      CAPTURE(member);
      // These two may be absent from a renew reply.
      if (member != "directive" && member != "leader") {
        CHECK_FALSE(kind.parse(text).ok());
      }
      n = end;
    }
    // Parsers differ in which of two members with the same name they use.
    const size_t n = kind.good.find('{') + 1;
    const std::string first = kind.good.substr(n, kind.good.find(',') - n);
    std::string twice = kind.good;
    twice.insert(n, first + ",");
    CHECK_FALSE(kind.parse(twice).ok());
  }
}

// A cast or a default value could turn an invalid number into a valid fence,
// offset or clock reading.
TEST_CASE("wrong types and numbers out of range must not wrap or be guessed") {
  const std::string record =
      EncodeRecord({"r1", "a", {2, "a"}, 3, AcceptRecord{"p", 4}});
  struct Case {
    const char* from;
    const char* to;
    const char* error;
  };
  const std::vector<Case> cases = {
      {"\"builds_on\":3", "\"builds_on\":-3", "'builds_on' is not a whole"},
      {"\"builds_on\":3", "\"builds_on\":3.5", "'builds_on' is not a whole"},
      {"\"builds_on\":3", "\"builds_on\":\"3\"", "'builds_on' is not a whole"},
      {"\"builds_on\":3", "\"builds_on\":18446744073709551616", "'builds_on'"},
      {"\"builds_on\":3", "\"builds_on\":1e400", ""},
      {"\"builds_on\":3", "\"builds_on\":null", "'builds_on' is not a whole"},
      {"\"id\":\"r1\"", "\"id\":1", "'id' is not a string"},
      {"\"type\":\"accept\"", "\"type\":\"crown\"",
       "unknown record type 'crown'"},
      {"\"type\":\"accept\"", "\"type\":\"settle\"",
       "'assignments' is not a list"},
  };
  for (const Case& it : cases) {
    const std::string text = absl::StrReplaceAll(record, {{it.from, it.to}});
    CAPTURE(text);
    REQUIRE(text != record);
    const auto parsed = ParseRecord(text);
    REQUIRE_FALSE(parsed.ok());
    CHECK_MESSAGE(absl::StartsWith(parsed.status().message(), it.error),
                  parsed.status().message());
  }

  SUBCASE("an enumeration value that this binary does not know") {
    const std::string reply = Encode(VoteReply{
        .granted = true, .leader_state = {.moves = {{.unit = {"s", 1}}}}});
    const std::string text =
        absl::StrReplaceAll(reply, {{"\"phase\":0", "\"phase\":3"}});
    REQUIRE(text != reply);
    CHECK(ParseVoteReply(text).status().message() == "'phase' is out of range");
  }
  SUBCASE("a clock reading that would overflow in nanoseconds") {
    CHECK_FALSE(
        ParseTargetAnswer(R"({"clock_ms":9223372036854775807,"instance":"i",)"
                          R"("status":"serving"})")
            .ok());
  }
}

}  // namespace toucandock::codec
