#ifndef TOUCANDOCK_TESTS_SUPPORT_FAKE_SERVER_H_
#define TOUCANDOCK_TESTS_SUPPORT_FAKE_SERVER_H_

#include <doctest/doctest.h>

#include <memory>
#include <mutex>
#include <string>
#include <utility>
#include <vector>

#include "http/server.h"

namespace toucandock::support {

// Sends the same response to every request and records the requests.
class FakeServer {
 public:
  FakeServer() {
    auto server = http::Server::Start({}, [this](const http::Request& request) {
      const std::lock_guard<std::mutex> lock(mutex_);
      requests_.push_back(request);
      return answer_;
    });
    REQUIRE(server.ok());
    server_ = *std::move(server);
  }

  const std::string& address() const { return server_->address(); }

  // Sets the response.
  void Answer(int status, std::string body) {
    const std::lock_guard<std::mutex> lock(mutex_);
    answer_ = http::JsonResponse(status, std::move(body));
  }

  std::vector<http::Request> requests() const {
    const std::lock_guard<std::mutex> lock(mutex_);
    return requests_;
  }

 private:
  mutable std::mutex mutex_;
  http::Response answer_;
  std::vector<http::Request> requests_;
  std::unique_ptr<http::Server> server_;
};

}  // namespace toucandock::support

#endif  // TOUCANDOCK_TESTS_SUPPORT_FAKE_SERVER_H_
