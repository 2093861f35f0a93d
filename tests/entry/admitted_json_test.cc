#include "entry/admitted_json.h"

#include <doctest/doctest.h>

#include <chrono>
#include <string>

#include "absl/strings/str_cat.h"
#include "codec/json.h"
#include "entry/peer_json.h"

namespace toucandock::entry {
namespace {

using core::keyspace::AdmittedUpdate;
using std::chrono::milliseconds;

std::optional<AdmittedUpdate> Decode(const std::string& text) {
  return DecodeAdmitted(*codec::ParseJson(text));
}

}  // namespace

// Guards against hosts that apply other fractions than the leader computed, or
// part of a damaged list.
TEST_CASE("admitted fractions must reach other hosts as they were computed") {
  PeerHeartbeat answer{
      .is_answer = true,
      .admitted = AdmittedUpdate{
          .version = 4'000'000'000,
          .age = milliseconds(250),
          .lists = {{{"s",
                      {{.keys = {0, 499}, .fraction = 0.75},
                       {.keys = {500, 500}, .fraction = 0.125},
                       {.keys = {65'535, 65'535}, .fraction = 0}}},
                     {"t", {{.keys = {7, 8}, .fraction = 1}}}}}}};
  CHECK(*DecodeHeartbeat(EncodeHeartbeat(answer)) == answer);

  SUBCASE("without changes, only the version and its age") {
    answer.admitted->lists.reset();
    CHECK(*DecodeHeartbeat(EncodeHeartbeat(answer)) == answer);
    PeerHeartbeat bare = answer;
    bare.admitted.reset();
    CHECK(EncodeHeartbeat(answer).size() < EncodeHeartbeat(bare).size() + 30);
  }
  SUBCASE("a host of an earlier version sends none and names none") {
    answer.admitted.reset();
    CHECK(*DecodeHeartbeat(EncodeHeartbeat(answer)) == answer);
    const auto heartbeat = DecodeHeartbeat(R"([0,1,{"v":1,"m":1}])");
    REQUIRE(heartbeat.ok());
    CHECK(heartbeat->admitted_version == 0);
  }
  SUBCASE("a heartbeat names the version that its sender knows") {
    const PeerHeartbeat heartbeat{.hosts = 1, .admitted_version = 9};
    CHECK(*DecodeHeartbeat(EncodeHeartbeat(heartbeat)) == heartbeat);
  }
  SUBCASE("a list that is not valid is left out, the rest of the reply holds") {
    for (const char* it :
         {R"(7)", R"([])", R"([1])", R"([-1,0])", R"([1,"x"])", R"([1,0,7])",
          R"([1,0,{"s":7}])", R"([1,0,{"s":[[1,2]]}])",
          R"([1,0,{"s":[[2,1,5]]}])", R"([1,0,{"s":[[1,65536,5]]}])",
          R"([1,0,{"s":[[1,1,1001]]}])", R"([1,0,{"s":[[1,5,5],[5,6,5]]}])",
          R"([1,0,{"s":[[1,1,0.5]]}])"}) {
      CAPTURE(it);
      CHECK_FALSE(Decode(it));
      const auto reply = DecodeHeartbeat(
          absl::StrCat(R"([1,1,2,1,3,1,5,1,0,9,{"v":3,"ad":)", it, "}]"));
      REQUIRE(reply.ok());
      CHECK(reply->hosts == 5);
      CHECK(reply->relays_version == 3);
      CHECK_FALSE(reply->admitted);
    }
  }
}

// Guards against replies that do not fit into a datagram.
TEST_CASE("a reply with the longest list must stay far below a datagram") {
  constexpr size_t kMaxReplyBytes = 16'384;
  core::keyspace::AdmittedRanges ranges;
  for (std::uint32_t n = 0; n < 256; ++n) {
    ranges.push_back(
        {.keys = {30'000 + 2 * n, 30'001 + 2 * n}, .fraction = 0.999});
  }
  PeerHeartbeat answer{
      .is_answer = true,
      .admitted = AdmittedUpdate{.version = 1, .lists = {{{"s", ranges}}}}};
  answer.relays.emplace(20,
                        core::relay::Relay{.address = "10.100.100.100:7620",
                                           .failure_domain = "xx-northwest-a"});
  const std::string text = EncodeHeartbeat(answer);
  CHECK(text.size() < kMaxReplyBytes);
  CHECK(DecodeHeartbeat(text)->admitted == answer.admitted);

  SUBCASE("longer lists are cut, and are not accepted from others") {
    answer.admitted->lists = {{"s", ranges},
                              {"t", {{.keys = {1, 1}, .fraction = 0.5}}}};
    const auto decoded = DecodeHeartbeat(EncodeHeartbeat(answer));
    REQUIRE(decoded->admitted);
    CHECK(decoded->admitted->lists->at("s") == ranges);
    CHECK(decoded->admitted->lists->at("t").empty());
  }
}

}  // namespace toucandock::entry
