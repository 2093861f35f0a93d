#include "platform/grant_client.h"

#include <doctest/doctest.h>

#include <boost/asio/io_context.hpp>
#include <string>
#include <vector>

#include "http/server.h"

namespace toucandock::platform {
namespace {

using core::keyspace::CommandResponse;
using core::keyspace::CommandResult;
using core::keyspace::GrantCommand;
using core::keyspace::ReleaseCommand;

constexpr std::chrono::seconds kTimeout{2};

}  // namespace

// A restarted target knows no fences, so a late grant could give it keys that
// another target owns.
TEST_CASE("a grant over a kept connection must not reach a later instance") {
  std::vector<std::string> paths;
  const auto target =
      http::Server::Start({}, [&](const http::Request& request) {
        paths.push_back(request.path);
        return http::Response{};
      });
  REQUIRE(target.ok());
  const std::string& address = (*target)->address();
  boost::asio::io_context io;
  GrantClient client(io);
  CommandResult result{};
  const auto save_result = [&](const CommandResponse& answer) {
    result = answer.result;
  };
  const auto run = [&] {
    io.run();
    io.restart();
    return result;
  };
  const auto grant = [&](bool kept_connection_only) {
    client.Grant(address,
                 GrantCommand{.lease = std::chrono::seconds(4),
                              .timeout = kTimeout,
                              .kept_connection_only = kept_connection_only},
                 save_result);
    return run();
  };

  SUBCASE("without a connection it is not sent") {
    CHECK(grant(true) == CommandResult::kNotSent);
    CHECK(paths.empty());
  }
  SUBCASE("a connection that a release has opened is not used") {
    client.Release(address, ReleaseCommand{.timeout = kTimeout}, save_result);
    REQUIRE(run() == CommandResult::kDone);
    CHECK(grant(true) == CommandResult::kNotSent);
    CHECK(paths == std::vector<std::string>{"/release"});
  }
  SUBCASE("a connection of an earlier grant is used") {
    REQUIRE(grant(false) == CommandResult::kDone);
    CHECK(grant(true) == CommandResult::kDone);
  }
}

}  // namespace toucandock::platform
