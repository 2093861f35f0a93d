#ifndef TOUCANDOCK_TESTS_SUPPORT_CUT_SERVER_H_
#define TOUCANDOCK_TESTS_SUPPORT_CUT_SERVER_H_

#include <arpa/inet.h>
#include <doctest/doctest.h>
#include <sys/socket.h>
#include <unistd.h>

#include <atomic>
#include <string>
#include <thread>
#include <utility>

namespace toucandock::support {

// Sends the same text on each connection and closes it, so that a test can let
// a response end at any byte.
class CutServer {
 public:
  explicit CutServer(std::string text) : text_(std::move(text)) {
    sockaddr_in address = {};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    socklen_t length = sizeof(address);
    auto* raw = reinterpret_cast<sockaddr*>(&address);
    fd_ = socket(AF_INET, SOCK_STREAM, 0);
    REQUIRE(bind(fd_, raw, length) == 0);
    REQUIRE(listen(fd_, 16) == 0);
    REQUIRE(getsockname(fd_, raw, &length) == 0);
    address_ = "127.0.0.1:" + std::to_string(ntohs(address.sin_port));
    thread_ = std::thread([this] { Serve(); });
  }
  CutServer(const CutServer&) = delete;
  CutServer& operator=(const CutServer&) = delete;
  ~CutServer() {
    shutdown(fd_, SHUT_RDWR);
    thread_.join();
    close(fd_);
  }

  const std::string& address() const { return address_; }

 private:
  void Serve() const {
    for (int fd = accept(fd_, nullptr, nullptr); fd >= 0;
         fd = accept(fd_, nullptr, nullptr)) {
      char buf[4096];
      // The request is read first: closing a socket with unread data sends a
      // reset, which may discard the text.
      (void)!read(fd, buf, sizeof(buf));
      (void)!write(fd, text_.data(), text_.size());
      close(fd);
    }
  }

  const std::string text_;
  int fd_ = -1;
  std::string address_;
  std::thread thread_;
};

}  // namespace toucandock::support

#endif  // TOUCANDOCK_TESTS_SUPPORT_CUT_SERVER_H_
