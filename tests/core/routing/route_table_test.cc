#include "core/routing/route_table.h"

#include <doctest/doctest.h>

#include <map>

namespace toucandock::core::routing {

TEST_CASE("a request must take the route with the longest prefix of its host") {
  const RouteTable table(
      {.routes = {{.name = "short", .host = "a", .path_prefix = "/x/"},
                  {.name = "long", .host = "a", .path_prefix = "/x/y/"},
                  {.name = "other", .host = "b", .path_prefix = "/x/"}}});
  const auto name = [&table](const char* host, const char* path) {
    const Route* route = table.Find(host, path);
    return route == nullptr ? std::string("none") : route->name;
  };
  CHECK(name("a", "/x/1") == "short");
  CHECK(name("a", "/x/y/1") == "long");
  CHECK(name("a", "/x/y") == "short");
  CHECK(name("b", "/x/y/1") == "other");
  CHECK(name("a", "/x") == "none");
  CHECK(name("a", "/z/1") == "none");
  CHECK(name("c", "/x/1") == "none");
  SUBCASE("slashes in the query are not part of the path") {
    CHECK(name("a", "/x/1?q=/x/y/") == "short");
  }
}

TEST_CASE(
    "services of a route must get their shares, also over short periods") {
  WeightedRotation rotation;
  const std::vector<WeightedService> services{{"a", 90}, {"b", 10}};
  std::map<std::string, int> taken;
  for (int i = 0; i < 20; ++i) {
    taken[rotation.Next(services)]++;
  }
  CHECK(taken["a"] == 18);
  CHECK(taken["b"] == 2);

  SUBCASE("credits do not pass to services that take the place of others") {
    // Service b is owed a request by now.
    for (int i = 0; i < 5; ++i) {
      rotation.Next(services);
    }
    const std::vector<WeightedService> changed{{"a", 90}, {"c", 10}};
    std::map<std::string, int> taken_after;
    for (int i = 0; i < 4; ++i) {
      taken_after[rotation.Next(changed)]++;
    }
    CHECK(taken_after["a"] == 4);
  }
}

}  // namespace toucandock::core::routing
