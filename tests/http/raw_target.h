#ifndef TOUCANDOCK_TESTS_HTTP_RAW_TARGET_H_
#define TOUCANDOCK_TESTS_HTTP_RAW_TARGET_H_

#include <arpa/inet.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <atomic>
#include <chrono>
#include <cstdint>
#include <functional>
#include <mutex>
#include <string>
#include <thread>
#include <utility>
#include <vector>

#include "absl/strings/ascii.h"
#include "absl/strings/numbers.h"
#include "absl/strings/str_cat.h"

namespace toucandock::http {

// One accepted connection of a RawTarget.
class RawConnection {
 public:
  RawConnection(int fd, int number) : fd_(fd), number_(number) {}
  ~RawConnection() { Close(); }

  RawConnection(const RawConnection&) = delete;
  RawConnection& operator=(const RawConnection&) = delete;

  // Position in the order of accepted connections, from 0.
  int number() const { return number_; }

  // Returns the next complete request, or an empty text when the connection has
  // ended.
  std::string ReadRequest() {
    while (true) {
      const size_t end = buf_.find("\r\n\r\n");
      if (end != std::string::npos) {
        const size_t size = end + 4 + BodySize(buf_.substr(0, end));
        if (buf_.size() >= size) {
          std::string request = buf_.substr(0, size);
          buf_.erase(0, size);
          return request;
        }
      }
      if (!Read()) {
        return "";
      }
    }
  }

  // Returns the head of the next request, or an empty text when the connection
  // has ended. What follows the head may be unread.
  std::string ReadHead() {
    while (true) {
      const size_t end = buf_.find("\r\n\r\n");
      if (end != std::string::npos) {
        std::string head = buf_.substr(0, end + 4);
        buf_.erase(0, end + 4);
        return head;
      }
      if (!Read()) {
        return "";
      }
    }
  }

  // Reads this many bytes, or fewer if the connection ends before.
  void Discard(size_t bytes) {
    while (bytes > 0 && (!buf_.empty() || Read())) {
      const size_t n = std::min(bytes, buf_.size());
      buf_.erase(0, n);
      bytes -= n;
    }
  }

  // Blocks until the other side sends something or closes, or the limit has
  // passed. Returns whether it closed.
  bool IsClosedWithin(std::chrono::milliseconds limit) {
    pollfd it = {.fd = fd_, .events = POLLIN};
    return poll(&it, 1, static_cast<int>(limit.count())) == 1 && !Read();
  }

  void Write(const std::string& text) {
    size_t done = 0;
    while (done < text.size()) {
      const ssize_t n =
          send(fd_, text.data() + done, text.size() - done, MSG_NOSIGNAL);
      if (n <= 0) {
        return;
      }
      done += static_cast<size_t>(n);
    }
  }

  void Close() {
    if (fd_ >= 0) {
      close(fd_);
    }
    fd_ = -1;
  }

  // Ends the own direction in order, as a shutdown does; the other one stays
  // open.
  void Finish() const { shutdown(fd_, SHUT_WR); }

  void Reset() {
    const linger immediate = {.l_onoff = 1, .l_linger = 0};
    setsockopt(fd_, SOL_SOCKET, SO_LINGER, &immediate, sizeof(immediate));
    Close();
  }

 private:
  static size_t BodySize(const std::string& head) {
    const std::string lower = absl::AsciiStrToLower(head);
    const size_t n = lower.find("\r\ncontent-length:");
    size_t size = 0;
    if (n != std::string::npos) {
      const size_t begin = n + 17;
      const std::string text =
          lower.substr(begin, lower.find('\r', begin) - begin);
      (void)absl::SimpleAtoi(text, &size);
    }
    return size;
  }

  bool Read() {
    char bytes[4'096];
    const ssize_t n = recv(fd_, bytes, sizeof(bytes), 0);
    if (n <= 0) {
      return false;
    }
    buf_.append(bytes, static_cast<size_t>(n));
    return true;
  }

  int fd_;
  const int number_;
  std::string buf_;
};

// Target that responds with exactly the bytes that the test writes. Each
// connection has its own thread and is closed when `serve` returns.
class RawTarget {
 public:
  using Serve = std::function<void(RawConnection&)>;

  // `port` 0 lets the kernel choose.
  explicit RawTarget(Serve serve, std::uint16_t port = 0)
      : serve_(std::move(serve)) {
    listener_ = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int reuse = 1;
    setsockopt(listener_, SOL_SOCKET, SO_REUSEADDR, &reuse, sizeof(reuse));
    sockaddr_in address = {.sin_family = AF_INET,
                           .sin_port = htons(port),
                           .sin_addr = {.s_addr = htonl(INADDR_LOOPBACK)}};
    socklen_t length = sizeof(address);
    auto* generic_address = reinterpret_cast<sockaddr*>(&address);
    if (bind(listener_, generic_address, length) != 0 ||
        listen(listener_, 64) != 0 ||
        getsockname(listener_, generic_address, &length) != 0) {
      return;
    }
    address_ = absl::StrCat("127.0.0.1:", ntohs(address.sin_port));
    acceptor_ = std::thread([this] { Accept(); });
  }

  ~RawTarget() {
    Stop();
    for (std::thread& it : threads_) {
      it.join();
    }
    close(listener_);
  }

  RawTarget(const RawTarget&) = delete;
  RawTarget& operator=(const RawTarget&) = delete;

  // Empty when no port could be bound.
  const std::string& address() const { return address_; }
  int connections() const { return connections_; }

  // Refuses new connections from now on.
  void Stop() {
    shutdown(listener_, SHUT_RDWR);
    if (acceptor_.joinable()) {
      acceptor_.join();
    }
  }

 private:
  void Accept() {
    while (true) {
      const int fd = accept(listener_, nullptr, nullptr);
      if (fd < 0) {
        return;
      }
      const int number = connections_++;
      threads_.emplace_back([this, fd, number] {
        RawConnection connection(fd, number);
        serve_(connection);
      });
    }
  }

  const Serve serve_;
  int listener_ = -1;
  std::string address_;
  std::atomic<int> connections_ = 0;
  std::vector<std::thread> threads_;
  std::thread acceptor_;
};

}  // namespace toucandock::http

#endif  // TOUCANDOCK_TESTS_HTTP_RAW_TARGET_H_
