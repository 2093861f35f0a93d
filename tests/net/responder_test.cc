#include "net/responder.h"

#include <doctest/doctest.h>

#include <optional>
#include <stdexcept>
#include <string>

#include "absl/strings/str_cat.h"

namespace toucandock::net {

// Guards against a host that ends because it tries further ports with an
// acceptor that is still open after its first peer port was taken (soak seeds
// 101 and 201).
TEST_CASE("a port that is taken must not keep a host from trying another") {
  boost::asio::io_context io;
  Tcp::acceptor first(io);
  REQUIRE(OpenAcceptor(first, "127.0.0.1:0").ok());
  const std::string taken =
      absl::StrCat("127.0.0.1:", first.local_endpoint().port());
  Responder responder(io, [](const HttpRequest&) { return HttpResponse(); });
  CHECK_FALSE(responder.Listen(taken).ok());
  CHECK(responder.Listen("127.0.0.1:0").ok());
  CHECK(responder.endpoint().port() != 0);
}

// Guards against a request at the readiness, metrics or peer port that ends the
// process: what answers it may throw.
TEST_CASE("an exception under a small request must cost that request") {
  boost::asio::io_context io;
  std::string reported;
  Responder responder(
      io,
      [](const HttpRequest& request) -> HttpResponse {
        if (request.target() == "/odd") {
          throw std::length_error("test");
        }
        HttpResponse response;
        response.result(boost::beast::http::status::ok);
        return response;
      },
      [&reported](const char*, const char* what) { reported = what; });
  REQUIRE(responder.Listen("127.0.0.1:0").ok());
  HttpClient client(io, responder.endpoint());
  const auto call = [&](const char* target) {
    std::optional<unsigned> status;
    client.Call({boost::beast::http::verb::get, target, 11},
                std::chrono::seconds(2), [&status](const CallAnswer& answer) {
                  status = answer.response.result_int();
                });
    while (!status) {
      io.run_one();
    }
    return *status;
  };
  CHECK(call("/odd") == 500);
  CHECK(reported == "test");
  CHECK(call("/proper") == 200);
}

}  // namespace toucandock::net
