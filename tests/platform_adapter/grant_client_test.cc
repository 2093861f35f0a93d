#include "platform/grant_client.h"

#include <doctest/doctest.h>
#include <sys/socket.h>

#include <atomic>
#include <boost/asio/io_context.hpp>
#include <boost/asio/write.hpp>
#include <functional>
#include <optional>
#include <string>
#include <thread>
#include <utility>
#include <vector>

#include "http/server.h"

namespace toucandock::platform {
namespace {

using core::keyspace::CommandResponse;
using core::keyspace::CommandResult;
using core::keyspace::GrantCommand;
using core::keyspace::ReleaseCommand;

constexpr std::chrono::seconds kTimeout{2};

// A target whose answers the test writes itself, so that some are repeated.
// Connections are served one after the other.
class RepeatingTarget {
 public:
  // Returns the bytes to be sent for a request; its number counts the requests
  // of its connection.
  using Answers = std::function<std::string(const std::string& request, int n)>;

  explicit RepeatingTarget(Answers answers)
      : answers_(std::move(answers)),
        acceptor_(io_, {boost::asio::ip::make_address("127.0.0.1"), 0}),
        thread_([this] { Serve(); }) {}
  ~RepeatingTarget() {
    shutdown(acceptor_.native_handle(), SHUT_RDWR);
    shutdown(open_, SHUT_RDWR);
    thread_.join();
  }
  RepeatingTarget(const RepeatingTarget&) = delete;
  RepeatingTarget& operator=(const RepeatingTarget&) = delete;

  std::string address() const {
    return "127.0.0.1:" + std::to_string(acceptor_.local_endpoint().port());
  }
  int connections() const { return connections_; }

 private:
  void Serve() {
    boost::system::error_code ec;
    for (;;) {
      net::Tcp::socket socket(io_);
      acceptor_.accept(socket, ec);
      if (ec) {
        return;
      }
      ++connections_;
      open_ = socket.native_handle();
      std::string data;
      for (int n = 0; !ec;) {
        char buf[4'096];
        data.append(buf, socket.read_some(boost::asio::buffer(buf), ec));
        // The body of each command is one JSON object.
        if (data.ends_with('}')) {
          boost::asio::write(socket, boost::asio::buffer(answers_(data, n++)),
                             ec);
          data.clear();
        }
      }
    }
  }

  const Answers answers_;
  boost::asio::io_context io_;
  net::Tcp::acceptor acceptor_;
  std::atomic<int> connections_ = 0;
  // The connection that is being served, if it is still open.
  std::atomic<int> open_ = -1;
  std::thread thread_;
};

std::string IdLineOf(const std::string& request) {
  const size_t n = request.find("Request-Id: ");
  return n == std::string::npos
             ? ""
             : request.substr(n, request.find("\r\n", n) + 2 - n);
}

std::string Answer(const std::string& id_line, const std::string& handover) {
  return "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n" + id_line +
         "Handover: " + handover + "\r\n\r\n";
}

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

// Seen in review/2: a target sent its answer to a release once more when the
// next release was on the connection. The leader took the copy for the answer
// and gave the key to another target while the first still worked on it.
TEST_CASE("a repeated answer must not count as the answer to a later command") {
  boost::asio::io_context io;
  std::uint64_t strays = 0;
  GrantClient client(io,
                     [&](const std::string&, std::uint64_t n) { strays = n; });
  std::vector<CommandResponse> answers;
  std::uint64_t commands = 0;
  const auto run = [&] {
    io.run();
    io.restart();
    REQUIRE(answers.size() == commands);
    return answers.back();
  };
  const auto save = [&](const CommandResponse& answer) {
    answers.push_back(answer);
  };
  const auto release = [&](const std::string& address) {
    ++commands;
    client.Release(address,
                   {.id = commands,
                    .target = {.id = "t", .start_time_ms = 1},
                    .fence = commands,
                    .timeout = std::chrono::milliseconds(300)},
                   save);
    return run();
  };
  const auto grant = [&](const std::string& address) {
    ++commands;
    client.Grant(address,
                 {.id = commands,
                  .target = {.id = "t", .start_time_ms = 1},
                  .fence = commands,
                  .lease = std::chrono::seconds(4),
                  .timeout = std::chrono::milliseconds(300)},
                 save);
    return run();
  };

  SUBCASE("the target sends ids") {
    std::string last;
    RepeatingTarget target([&](const std::string& request, int n) {
      std::string own = Answer(IdLineOf(request), std::to_string(n));
      own = std::exchange(last, own) + own;
      return own;
    });
    SUBCASE("with releases") {
      CHECK(release(target.address()).handover == "0");
      CHECK(release(target.address()).handover == "1");
    }
    SUBCASE("with grants") {
      CHECK(grant(target.address()).handover == "0");
      CHECK(grant(target.address()).handover == "1");
    }
    CHECK(target.connections() == 1);
    CHECK(strays == 1);
  }

  SUBCASE("the answer itself is missing: the outcome is unknown") {
    std::string first;
    RepeatingTarget target([&](const std::string& request, int n) {
      if (n == 0) {
        first = Answer(IdLineOf(request), "0");
      }
      return first;
    });
    CHECK(release(target.address()).result == CommandResult::kDone);
    CHECK(release(target.address()).result == CommandResult::kUnknown);
    CHECK(grant(target.address()).result == CommandResult::kDone);
    CHECK(grant(target.address()).result == CommandResult::kUnknown);
    CHECK(strays == 2);
  }

  SUBCASE("a target that sends ids sends a copy without one") {
    RepeatingTarget target([&](const std::string& request, int n) {
      const std::string own = Answer(IdLineOf(request), std::to_string(n));
      return n == 0 ? own : Answer("", "0") + own;
    });
    CHECK(grant(target.address()).handover == "0");
    CHECK(grant(target.address()).handover == "1");
    CHECK(strays == 1);
  }

  SUBCASE("the target sends no ids: each release has its own connection") {
    std::string last;
    RepeatingTarget target([&](const std::string&, int n) {
      std::string own = Answer("", std::to_string(n));
      own = n == 0 ? own : last + own;
      last = own;
      return own;
    });
    CHECK(release(target.address()).handover == "0");
    CHECK(release(target.address()).handover == "0");
    CHECK(target.connections() == 2);
  }
}

// Guards against keys that count as granted or refused by an answer whose
// status HTTP does not have.
TEST_CASE("a grant must stay unresolved after an answer of an unknown kind") {
  for (const char* status : {"000", "099", "999"}) {
    CAPTURE(std::string(status));
    RepeatingTarget target([&](const std::string& request, int) {
      return "HTTP/1.1 " + std::string(status) + " X\r\nContent-Length: 0\r\n" +
             IdLineOf(request) + "\r\n";
    });
    boost::asio::io_context io;
    GrantClient client(io);
    std::optional<CommandResult> result;
    client.Grant(target.address(),
                 GrantCommand{.id = 1,
                              .target = {.id = "t", .start_time_ms = 1},
                              .fence = 7,
                              .lease = kTimeout,
                              .timeout = kTimeout},
                 [&](const CommandResponse& it) { result = it.result; });
    while (!result && io.run_one_for(kTimeout) > 0) {
    }
    CHECK(result == CommandResult::kUnknown);
  }
}

}  // namespace toucandock::platform
