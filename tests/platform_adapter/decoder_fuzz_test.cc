#include <doctest/doctest.h>

#include <random>
#include <string>
#include <vector>

#include "entry/peer_json.h"
#include "entry/poison_json.h"
#include "entry/settings.h"
#include "platform/config_decoder.h"
#include "platform/log_protocol.h"
#include "platform/target_entry_decoder.h"

namespace toucandock::platform {
namespace {

constexpr char kEntry[] =
    R"({"service":"s1","address":"10.128.0.9:8080","zone":"z1","version":"v1",)"
    R"("concurrency":4,"state":"ready","warmupLeft":"2.5s","sequence":4,)"
    R"("born":1790987082163})";

constexpr char kConfig[] =
    R"({"version":"0000001f","limits":{"maxHeaderBytes":16384,)"
    R"("maxBodyBytes":67108864,"headerTimeout":"3000ms",)"
    R"("idleTimeout":"15000ms"},"listeners":[{"host":"a.example","rules":[)"
    R"({"name":"r1","routeType":"safe","targetLatency":"600ms","priority":2,)"
    R"("match":{"pathPrefix":"/x/"},"action":{"service":"s1",)"
    R"("timeout":"1200ms","maxAttempts":2}}]}],"clusters":[{"name":"s1",)"
    R"("healthPath":"/healthz","maxConnections":130,"sharded":true}]})";

}  // namespace

// Fuzz test with fixed seeds.
TEST_CASE("no damaged text may crash a process that reads it") {
  const std::vector<std::string> texts = {
      kEntry,
      kConfig,
      entry::EncodeHeartbeat({.is_answer = true, .substitutes = {"1.2.3.4:5"}}),
      entry::EncodeLoadReport(
          {.service = "s", .keys = {1, 2}, .speeds = {{"i-1", 3, {}}}}),
      entry::EncodeOwnership(
          {.service = "s",
           .writer = "w",
           .report_address = "1.2.3.4:5",
           .assignments = {{.owner = {"i-1", 7}, .serving = true}}}),
      entry::EncodeRecords({.status = entry::StoreStatus::kOk,
                            .records = {{.offset = 1, .key = "k"}},
                            .end = 2}),
      entry::EncodePoisonUpdate(
          {.crashes = {{.key = {.fingerprint = "f"}, .target = "t"}},
           .safe_reports = {{"f", "v"}}}),
      EncodePage({.end = 2,
                  .first = 0,
                  .records = {EncodeKeyedRecord({.key = "k", .value = "v"})}}),
      "host_name: h\nfailure_domain: a\nip: 1.2.3.4\nreport_port: 1\n",
  };
  const std::vector<std::string> parts = {"[",
                                          "]",
                                          "{",
                                          "}",
                                          "\"",
                                          ",",
                                          ":",
                                          "-1",
                                          "1e999",
                                          "nan",
                                          "null",
                                          "18446744073709551616",
                                          std::string(200, '['),
                                          "\\ud800",
                                          "\xff",
                                          std::string(1, '\0')};
  std::minstd_rand random(16);
  size_t decoded_count = 0;
  for (int n = 0; n < 30'000; ++n) {
    std::string text = texts[random() % texts.size()];
    for (size_t edits = 1 + random() % 3; edits > 0; --edits) {
      const size_t at = random() % (text.size() + 1);
      const std::string& part = parts[random() % parts.size()];
      text.replace(at, random() % 2 == 0 ? 0 : random() % 12, part);
    }
    decoded_count += DecodeTargetEntry("i-1", text).ok() ? 1 : 0;
    decoded_count += DecodeConfig(text).ok() ? 1 : 0;
    decoded_count += entry::DecodeHeartbeat(text).ok() ? 1 : 0;
    decoded_count += entry::DecodeLoadReport(text).ok() ? 1 : 0;
    decoded_count += entry::DecodeOwnership(text).ok() ? 1 : 0;
    decoded_count += entry::DecodeOwnershipUpdate(text).ok() ? 1 : 0;
    decoded_count += entry::DecodeRecords(text).ok() ? 1 : 0;
    decoded_count += entry::DecodePoisonUpdate(text).ok() ? 1 : 0;
    decoded_count += entry::DecodePoisonRecord(text, {}).ok() ? 1 : 0;
    decoded_count += DecodePage(text).ok() ? 1 : 0;
    decoded_count += DecodeKeyedRecord(text).ok() ? 1 : 0;
    decoded_count += entry::ParseEntrySettings("f", text).ok() ? 1 : 0;
  }
  // Most texts are invalid for most decoders, but some must be decoded.
  CHECK(decoded_count > 1'000);
}

}  // namespace toucandock::platform
