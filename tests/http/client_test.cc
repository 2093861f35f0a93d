#include "http/client.h"

#include <doctest/doctest.h>

#include <chrono>
#include <thread>
#include <vector>

#include "http/server.h"

namespace toucandock::http {

TEST_CASE("a crest must not leave more connections to a target than allowed") {
  constexpr int kRequests = 8;
  const auto server = Server::Start({}, [](const Request&) {
    // Long enough for the requests to overlap.
    std::this_thread::sleep_for(std::chrono::milliseconds(50));
    return JsonResponse(200, "{}");
  });
  REQUIRE(server.ok());
  const std::string address = (*server)->address();
  Client client;
  const auto send_together = [&] {
    std::vector<std::thread> threads;
    threads.reserve(kRequests);
    for (int n = 0; n < kRequests; ++n) {
      threads.emplace_back([&] { client.Exchange(address, {}, {}); });
    }
    for (std::thread& it : threads) {
      it.join();
    }
  };

  SUBCASE("with a limit, the others are closed after use") {
    client.SetIdleLimits({{address, 3}});
    send_together();
    CHECK(client.CountIdle(address) == 3);
  }

  SUBCASE("a limit that comes later closes what is above it") {
    send_together();
    CHECK(client.CountIdle(address) > 3);
    client.SetIdleLimits({{address, 3}});
    CHECK(client.CountIdle(address) == 3);
  }
}

}  // namespace toucandock::http
