#include <doctest/doctest.h>
#include <json/value.h>

#include <random>
#include <string>
#include <utility>
#include <vector>

#include "absl/strings/str_cat.h"
#include "absl/strings/str_replace.h"
#include "codec/json.h"
#include "entry/peer_json.h"
#include "platform/config_decoder.h"
#include "platform/target_entry_decoder.h"

namespace toucandock::platform {
namespace {

using core::routing::RouteKind;

constexpr char kConfig[] =
    R"({"version":"0000001f","limits":{"maxHeaderBytes":16384,)"
    R"("maxBodyBytes":67108864,"headerTimeout":"3000ms",)"
    R"("idleTimeout":"15000ms"},"listeners":[{"host":"a.example","rules":[)"
    R"({"name":"r1","routeType":"safe","targetLatency":"600ms","priority":2,)"
    R"("match":{"pathPrefix":"/x/"},"action":{"weightedServices":[)"
    R"({"service":"s1","weight":90},{"service":"s2","weight":10}],)"
    R"("timeout":"1200ms","maxAttempts":2}},)"
    R"({"name":"r2","routeType":"unsafe","targetLatency":"1s","priority":1,)"
    R"("match":{"pathPrefix":"/y/"},"action":{"service":"s2",)"
    R"("timeout":"2s","maxAttempts":1}}]},{"host":"b.example","rules":[)"
    R"({"name":"r3","routeType":"upload","targetLatency":"1s","priority":0,)"
    R"("match":{"pathPrefix":"/z/"},"action":{"service":"s1",)"
    R"("timeout":"8s","maxAttempts":2}}]}],"clusters":[{"name":"s1",)"
    R"("healthPath":"/healthz","maxConnections":130,"sharded":true},)"
    R"({"name":"s2","healthPath":"/healthz","maxConnections":46}]})";

constexpr char kEntry[] =
    R"({"service":"s1","address":"10.128.0.9:8080","zone":"z1","version":"v1",)"
    R"("concurrency":4,"state":"ready","warmupLeft":"2.5s","sequence":4,)"
    R"("born":1790987082163})";

std::string ConfigWithKind(const std::string& word) {
  return absl::StrReplaceAll(kConfig,
                             {{R"("routeType":"safe")",
                               absl::StrCat(R"("routeType":")", word, "\"")}});
}

void CollectObjects(Json::Value& value, std::vector<Json::Value*>& objects) {
  if (value.isObject()) {
    objects.push_back(&value);
  }
  if (value.isObject() || value.isArray()) {
    for (Json::Value& it : value) {
      CollectObjects(it, objects);
    }
  }
}

// Returns the text with a member of an unknown name in a random object, whose
// value is of a random type.
std::string WithUnknownMember(const std::string& text,
                              std::minstd_rand& random) {
  Json::Value json = *codec::ParseJson(text);
  std::vector<Json::Value*> objects;
  CollectObjects(json, objects);
  Json::Value& place = *objects[random() % objects.size()];
  Json::Value& member = place[absl::StrCat("x", random() % 1'000)];
  switch (random() % 5) {
    case 0:
      member = "word";
      break;
    case 1:
      member = 7;
      break;
    case 2:
      member["inner"] = true;
      break;
    case 3:
      member.append(1.5);
      break;
    default:
      member = Json::Value();
      break;
  }
  return codec::WriteJson(json);
}

}  // namespace

// Guards against a service that stops because the decoder lacks a word of the
// platform's pages: 'upload' once made each configuration unreadable.
TEST_CASE("each kind of route on the platform's pages must be known") {
  const std::pair<const char*, RouteKind> words[] = {
      {"safe", RouteKind::kSafe},
      {"unsafe", RouteKind::kUnsafe},
      {"upload", RouteKind::kUpload},
      {"download", RouteKind::kDownload},
  };
  for (const auto& it : words) {
    CAPTURE(std::string(it.first));
    const auto config = DecodeConfig(ConfigWithKind(it.first));
    REQUIRE(config.ok());
    CHECK(config->routes.front().kind == it.second);
    CHECK(config->routes.front().IsIdempotent() ==
          (it.second == RouteKind::kSafe || it.second == RouteKind::kDownload));
    CHECK(config->unknown_words.empty());
  }
  for (const char* state : {"ready", "draining"}) {
    CAPTURE(state);
    const auto entry = DecodeTargetEntry(
        "i-1", absl::StrReplaceAll(
                   kEntry, {{"\"ready\"", absl::StrCat("\"", state, "\"")}}));
    REQUIRE(entry.ok());
    CHECK(entry->draining == (std::string(state) == "draining"));
  }
}

// Guards against one word of a later platform version that stops what does not
// use it.
TEST_CASE("an unknown word must affect only the route or target that has it") {
  const auto known = DecodeConfig(kConfig);
  REQUIRE(known.ok());

  SUBCASE("an unknown kind of route is never repeated") {
    const auto config = DecodeConfig(ConfigWithKind("stream"));
    REQUIRE(config.ok());
    CHECK(config->routes[0].kind == RouteKind::kUnknown);
    CHECK_FALSE(config->routes[0].IsIdempotent());
    REQUIRE(config->unknown_words.size() == 1);
    CHECK(config->unknown_words[0] == "route 'r1': routeType 'stream'");

    SUBCASE("and the other routes stay as they were") {
      CHECK(config->routes[1] == known->routes[1]);
      CHECK(config->routes[2] == known->routes[2]);
      CHECK(config->services == known->services);
      CHECK(config->limits == known->limits);
    }
  }

  SUBCASE("an unknown field anywhere in a configuration changes nothing") {
    std::minstd_rand random(24);
    for (int n = 0; n < 500; ++n) {
      const std::string text = WithUnknownMember(kConfig, random);
      CAPTURE(text);
      const auto config = DecodeConfig(text);
      REQUIRE(config.ok());
      CHECK(config->version == known->version);
      CHECK(config->routes == known->routes);
      CHECK(config->services == known->services);
      CHECK(config->limits == known->limits);
    }
  }

  SUBCASE("an unknown field of a target entry changes nothing") {
    const auto entry = DecodeTargetEntry("i-1", kEntry);
    REQUIRE(entry.ok());
    std::minstd_rand random(24);
    for (int n = 0; n < 100; ++n) {
      const auto extended =
          DecodeTargetEntry("i-1", WithUnknownMember(kEntry, random));
      REQUIRE(extended.ok());
      CHECK(extended->instance == entry->instance);
      CHECK(extended->address == entry->address);
      CHECK(extended->draining == entry->draining);
    }
  }

  SUBCASE("an unknown field of an ownership record changes nothing") {
    const core::keyspace::OwnershipTable table{
        .service = "s1",
        .writer = "w",
        .report_address = "10.0.0.1:7000",
        .assignments = {
            {.owner = {.id = "i-1", .start_time_ms = 5}, .serving = true}}};
    const std::string text = entry::EncodeOwnership(table);
    std::minstd_rand random(24);
    for (int n = 0; n < 100; ++n) {
      const auto decoded =
          entry::DecodeOwnership(WithUnknownMember(text, random));
      REQUIRE(decoded.ok());
      CHECK(entry::EncodeOwnership(*decoded) == text);
    }
  }

  SUBCASE("a heartbeat of a later version may have more members") {
    REQUIRE(entry::DecodeHeartbeat("[1,1,1,1,1,1,3,1,1,1]").ok());
    const auto newer = entry::DecodeHeartbeat(
        R"([1,1,1,1,1,1,3,1,1,1,"10.0.0.1:7000",{"later":[7]}])");
    REQUIRE(newer.ok());
    CHECK(newer->substitutes == std::vector<std::string>{"10.0.0.1:7000"});
    const auto heartbeat = entry::DecodeHeartbeat(R"([1,9,{"later":[7]}])");
    REQUIRE(heartbeat.ok());
    CHECK_FALSE(heartbeat->is_answer);
    CHECK(heartbeat->poison_digest.all == 9);
  }
}

}  // namespace toucandock::platform
