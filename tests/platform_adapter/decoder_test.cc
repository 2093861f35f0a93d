#include <doctest/doctest.h>

#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "absl/strings/str_cat.h"
#include "absl/strings/str_replace.h"
#include "platform/config_decoder.h"
#include "platform/target_entry_decoder.h"

namespace toucandock::platform {
namespace {

using core::routing::ColdLimit;
using std::chrono::milliseconds;

// A part of a text and its replacement.
struct Replacement {
  std::string from;
  std::string to;
};

constexpr char kEntry[] =
    R"({"service":"s1","address":"10.128.0.9:8080","zone":"z1","version":"v1",)"
    R"("concurrency":4,"state":"ready","warmupLeft":"2.5s","sequence":4,)"
    R"("born":1790987082163})";

constexpr char kConfig[] =
    R"({"version":"0000001f","limits":{"maxHeaderBytes":16384,)"
    R"("maxBodyBytes":67108864,"headerTimeout":"3000ms",)"
    R"("idleTimeout":"15000ms"},"listeners":[{"host":"a.example","rules":[)"
    R"({"name":"r1","routeType":"safe","targetLatency":"600ms","priority":2,)"
    R"("match":{"pathPrefix":"/x/"},"action":{"weightedServices":[)"
    R"({"service":"s1","weight":90},{"service":"s2","weight":10}],)"
    R"("timeout":"1200ms","maxAttempts":2}}]}],"clusters":[{"name":"s1",)"
    R"("healthPath":"/healthz","maxConnections":130,"sharded":true},)"
    R"({"name":"s2","healthPath":"/healthz","maxConnections":46}]})";

}  // namespace

// Guards against requests that are sent to a wrong or unusable target because
// an entry was accepted with a missing or invalid field.
TEST_CASE("a forged or damaged entry must describe no target") {
  const auto entry = DecodeTargetEntry("i-1", kEntry);
  REQUIRE(entry.ok());
  CHECK(entry->instance ==
        core::discovery::TargetInstance{"i-1", 1790987082163});
  CHECK(entry->slots == 4);
  CHECK(entry->warm_up_left == milliseconds(2'500));
  CHECK_FALSE(entry->draining);

  const std::vector<Replacement> replacements{
      {R"("service":"s1",)", ""},
      {R"("s1")", "7"},
      {R"("s1")", R"("")"},
      {"10.128.0.9:8080", "10.128.0.9"},
      {"10.128.0.9:8080", "host:80"},
      {R"("concurrency":4)", R"("concurrency":"4")"},
      {R"("concurrency":4)", R"("concurrency":0)"},
      {R"("concurrency":4)", R"("concurrency":-1)"},
      {R"("ready")", R"("asleep")"},
      {"2.5s", "2.5"},
      {"2.5s", "soon"},
      {R"("sequence":4)", R"("sequence":4.5)"},
      {R"("born":1790987082163)", R"("born":"1790987082163")"},
      {R"(,"born":1790987082163)", ""},
      {"{", "["},
  };
  for (const Replacement& it : replacements) {
    CAPTURE(it.from);
    CAPTURE(it.to);
    CHECK_FALSE(DecodeTargetEntry(
                    "i-1", absl::StrReplaceAll(kEntry, {{it.from, it.to}}))
                    .ok());
  }
  CHECK_FALSE(DecodeTargetEntry("i-1", std::string("\xff\x00\x01", 3)).ok());
  CHECK_FALSE(DecodeTargetEntry("", kEntry).ok());
}

// Guards against routes that are used with wrong limits or without a part
// because a damaged configuration was accepted.
TEST_CASE("a configuration must be read whole or not at all") {
  const auto config = DecodeConfig(kConfig);
  REQUIRE(config.ok());
  CHECK(config->version == 0x1f);
  CHECK(config->limits.idle_timeout == milliseconds(15'000));
  REQUIRE(config->routes.size() == 1);
  const core::routing::Route& route = config->routes.front();
  CHECK(route.kind == core::routing::RouteKind::kSafe);
  CHECK(route.services.size() == 2);
  CHECK(route.services[0].weight == 90);
  CHECK(route.latency_goal == milliseconds(600));
  CHECK(route.max_attempts == 2);
  CHECK(config->services[0].keyed);
  CHECK_FALSE(config->services[1].keyed);

  const std::vector<Replacement> replacements{
      {"0000001f", "not hex"},
      {R"("routeType":"safe",)", ""},
      {R"("safe")", "7"},
      {R"("timeout":"1200ms",)", ""},
      {R"("weight":90)", R"("weight":"90")"},
      {R"("pathPrefix":"/x/")", ""},
      {R"("sharded":true)", R"("sharded":1)"},
      {R"("maxAttempts":2}}]}],)", R"("maxAttempts":2}}]}])"},
  };
  for (const Replacement& it : replacements) {
    CAPTURE(it.from);
    CHECK_FALSE(
        DecodeConfig(absl::StrReplaceAll(kConfig, {{it.from, it.to}})).ok());
  }
}

// Guards against cold targets that end because the figure by which requests to
// them are limited was read as no limit, and against one odd figure that makes
// the whole configuration unreadable.
TEST_CASE("what cold targets bear must be read carefully") {
  const auto cold_limit_of = [](const std::string& members) {
    const auto config = DecodeConfig(absl::StrReplaceAll(
        kConfig,
        {{R"("sharded":true)", absl::StrCat(R"("sharded":true)", members)}}));
    REQUIRE(config.ok());
    CHECK_FALSE(config->services[1].cold_limit);
    return std::pair(config->services[0].cold_limit,
                     config->unknown_words.size());
  };

  SUBCASE("a service without the figure has no limit") {
    CHECK(cold_limit_of("") == std::pair(std::optional<ColdLimit>(), size_t{}));
  }
  SUBCASE("a fraction is a valid rate") {
    const auto [limit, odd] =
        cold_limit_of(R"(,"warmup":"3s","warmupPerS":7.2)");
    REQUIRE(limit);
    CHECK(limit->warm_up == milliseconds(3'000));
    CHECK(limit->requests_per_second == doctest::Approx(7.2));
    CHECK(odd == 0);
  }
  for (const char* odd_rate : {"-1", "1e9", "\"7\"", "null", "[]", "true"}) {
    SUBCASE(absl::StrCat("no request for a rate of ", odd_rate).c_str()) {
      const auto [limit, odd] = cold_limit_of(
          absl::StrCat(R"(,"warmup":"3s","warmupPerS":)", odd_rate));
      REQUIRE(limit);
      CHECK(limit->requests_per_second == 0);
      CHECK(odd == 1);
    }
  }
}

}  // namespace toucandock::platform
