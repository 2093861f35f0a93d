#include "entry/settings.h"

#include <doctest/doctest.h>

#include "absl/strings/match.h"
#include "absl/strings/str_replace.h"
#include "entry/sample_settings.h"
#include "support/files.h"

namespace toucandock::entry {
TEST_CASE(
    "a wrong setting must stop an entry host and be reported with line and "
    "field") {
  const auto settings = ParseEntrySettings("f", kSampleSettings);
  REQUIRE(settings.ok());
  CHECK(settings->report_port == 7'620);
  CHECK(settings->stop_limit == std::chrono::seconds(6));
  CHECK(settings->caller_read_limit == std::chrono::seconds(15));
  CHECK(settings->fleet_starts);
  CHECK(settings->retries.slack == 64);

  SUBCASE("the kernel may choose the host's own ports") {
    const auto chosen = ParseEntrySettings(
        "f", absl::StrReplaceAll(
                 kSampleSettings,
                 {{":8641", ":0"}, {":8640", ":0"}, {": 7620", ": 0"}}));
    CHECK(chosen.ok());
  }

  struct Row {
    const char* what;
    const char* from;
    const char* to;
    const char* error;
  };
  const Row rows[] = {
      {"no store", "store_address: 10.200.1.7:8642\n", "", "store_address"},
      {"a store without a port", ":8642", ":0", "f:6: store_address"},
      {"no address", "10.1.0.15:8641", "here", "f:4: caller_address"},
      {"a port above the maximum", "7620", "65536", "f:7: report_port"},
      {"a time without a unit", "6s", "6", "f:9: stop_limit"},
      {"a word instead of a number", "24", "many", "f:10: store_partitions"},
      {"no partitions", "24", "0", "f:10: store_partitions"},
      {"no processor", "fleet_starts", "processors: 0\nfleet_starts",
       "f:11: processors"},
      {"a link without bandwidth", "fleet_starts",
       "link_mbps: -1\nfleet_starts", "f:11: link_mbps"},
      {"a read limit that one lost packet exceeds", "fleet_starts",
       "caller_read_limit: 900ms\nfleet_starts", "f:11: caller_read_limit"},
      {"a read limit beyond the kernel's", "fleet_starts",
       "caller_read_limit: 2h\nfleet_starts", "f:11: caller_read_limit"},
      {"a bound below the rate of cold targets", "fleet_starts",
       "warm_up: {overage: 0.5, tolerance: 8}\nfleet_starts", "f:11: warm_up"},
      {"a negative tolerance", "fleet_starts",
       "warm_up: {overage: 1.5, tolerance: -1}\nfleet_starts", "f:11: warm_up"},
      {"no time to evacuate", "fleet_starts",
       "evacuation_limit: 0s\nfleet_starts", "f:11: evacuation_limit"},
      {"an unknown setting", "ip:", "ipv6: x\nip:", "ipv6"},
  };
  for (const Row& row : rows) {
    SUBCASE(row.what) {
      const auto wrong = ParseEntrySettings(
          "f", absl::StrReplaceAll(kSampleSettings, {{row.from, row.to}}));
      REQUIRE_FALSE(wrong.ok());
      CAPTURE(wrong.status().message());
      CHECK(absl::StrContains(wrong.status().message(), row.error));
    }
  }
}

}  // namespace toucandock::entry
