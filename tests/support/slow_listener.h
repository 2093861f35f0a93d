#ifndef TOUCANDOCK_TESTS_SUPPORT_SLOW_LISTENER_H_
#define TOUCANDOCK_TESTS_SUPPORT_SLOW_LISTENER_H_

#include "net/socket.h"

#include <arpa/inet.h>
#include <doctest/doctest.h>
#include <fcntl.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <chrono>
#include <string>
#include <vector>

#include "absl/strings/str_cat.h"

namespace toucandock::support {

// A listening port whose queue of new connections is full. Further connections
// are established only some time after Accept(), when the kernel of their
// caller tries again.
class SlowListener {
 public:
  SlowListener() : fd_(socket(AF_INET, SOCK_STREAM, 0)) {
    address_.sin_family = AF_INET;
    address_.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    socklen_t size = sizeof(address_);
    REQUIRE(bind(fd_, reinterpret_cast<sockaddr*>(&address_), size) == 0);
    REQUIRE(listen(fd_, 0) == 0);
    REQUIRE(getsockname(fd_, reinterpret_cast<sockaddr*>(&address_), &size) ==
            0);
    // With a queue length of 0, the kernel still takes one connection.
    fillers_.push_back(socket(AF_INET, SOCK_STREAM, 0));
    REQUIRE(connect(fillers_.back(), reinterpret_cast<sockaddr*>(&address_),
                    sizeof(address_)) == 0);
  }
  ~SlowListener() {
    for (const int it : fillers_) {
      close(it);
    }
    close(fd_);
  }
  SlowListener(const SlowListener&) = delete;
  SlowListener& operator=(const SlowListener&) = delete;

  std::string address() const {
    return absl::StrCat("127.0.0.1:", ntohs(address_.sin_port));
  }

  // Accepts connections for the given time. Returns the number of bytes that
  // arrived on them.
  size_t Accept(std::chrono::milliseconds time) {
    const auto end = std::chrono::steady_clock::now() + time;
    std::vector<pollfd> sockets = {{.fd = fd_, .events = POLLIN}};
    size_t bytes = 0;
    while (std::chrono::steady_clock::now() < end) {
      poll(sockets.data(), sockets.size(), kPollTime.count());
      for (size_t n = 1; n < sockets.size(); ++n) {
        char buffer[4'096];
        const ssize_t count =
            recv(sockets[n].fd, buffer, sizeof(buffer), MSG_DONTWAIT);
        bytes += count > 0 ? count : 0;
      }
      if ((sockets[0].revents & POLLIN) != 0) {
        sockets.push_back(
            {.fd = accept(fd_, nullptr, nullptr), .events = POLLIN});
        fillers_.push_back(sockets.back().fd);
      }
    }
    return bytes;
  }

 private:
  static constexpr std::chrono::milliseconds kPollTime{10};

  const int fd_;
  sockaddr_in address_{};
  // Connections that are closed at the end.
  std::vector<int> fillers_;
};

}  // namespace toucandock::support

#endif  // TOUCANDOCK_TESTS_SUPPORT_SLOW_LISTENER_H_
