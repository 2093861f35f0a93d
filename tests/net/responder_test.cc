#include "net/responder.h"

#include <doctest/doctest.h>

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

}  // namespace toucandock::net
