#include "codec/attempt_json.h"

#include <doctest/doctest.h>

namespace toucandock::codec {
namespace {

using namespace core::request;  // NOLINT(google-build-using-namespace)

const AttemptKey kKey = {"lodger", "order \"1\"", "f", "t"};

}  // namespace

TEST_CASE("messages about attempts must arrive as they were sent") {
  CHECK(*ParseAttemptKey(Encode(kKey)) == kKey);
  for (const auto result :
       {BeginResult::kBegun, BeginResult::kStarted, BeginResult::kRan,
        BeginResult::kReused, BeginResult::kRefused}) {
    CHECK(*ParseBeginResult(Encode(result)) == result);
  }
  for (const auto result : {FinishResult::kRan, FinishResult::kWithdrawn}) {
    const auto call = ParseFinishCall(Encode(FinishCall{kKey, result}));
    REQUIRE(call.ok());
    CHECK(call->key == kKey);
    CHECK(call->result == result);
  }
  const auto records = ParseAttemptRecords(Encode(std::vector<AttemptRecord>{
      {kKey, AttemptState::kStarted}, {kKey, AttemptState::kRan}}));
  REQUIRE(records.ok());
  REQUIRE(records->size() == 2);
  CHECK((*records)[1].key == kKey);
  CHECK((*records)[1].state == AttemptState::kRan);
  const std::vector<CrashReport> reports = {
      {{"callboard", "", "f"}, "callboard/a", 3, std::chrono::seconds(2)}};
  CHECK(*ParseCrashReports(Encode(reports)) == reports);
}

// A host that read a damaged reply as a success would send a request whose
// attempt was not recorded.
TEST_CASE("a malformed message must not be taken for a confirmation") {
  for (const char* text :
       {"", "{}", "[]", "null", R"({"result":"done"})", R"({"result":0})"}) {
    CHECK_FALSE(ParseBeginResult(text).ok());
    CHECK_FALSE(ParseAttemptKey(text).ok());
    CHECK_FALSE(ParseFinishCall(text).ok());
    CHECK_FALSE(ParseAttemptRecords(text).ok());
    CHECK_FALSE(ParseCrashReports(text).ok());
  }
  CHECK_FALSE(ParseCrashReports(
                  R"({"reports":[{"service":"s","id":"","fingerprint":"f",)"
                  R"("target":"t","crash_limit":0,"age_ns":0}]})")
                  .ok());
}

}  // namespace toucandock::codec
