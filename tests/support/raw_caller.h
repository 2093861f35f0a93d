#ifndef TOUCANDOCK_TESTS_SUPPORT_RAW_CALLER_H_
#define TOUCANDOCK_TESTS_SUPPORT_RAW_CALLER_H_

#include "net/socket.h"

#include <doctest/doctest.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <atomic>
#include <chrono>
#include <string>
#include <thread>
#include <vector>

#include "absl/strings/ascii.h"
#include "absl/strings/numbers.h"
#include "absl/strings/string_view.h"

namespace toucandock::support {

// How fast a caller reads: so many bytes in each interval, and with one pause.
struct ReadPace {
  size_t bytes = 65'536;
  std::chrono::milliseconds interval{0};
  // Number of bytes after which it pauses.
  size_t pause_at = 0;
  std::chrono::milliseconds pause{0};
};

// A connection on which the test writes the bytes of requests itself.
class RawCaller {
 public:
  // `receive_buffer`: bytes that the kernel holds for the caller, set before
  // the connection exists; 0 leaves them to the kernel.
  explicit RawCaller(const std::string& address, int receive_buffer = 0)
      : fd_(socket(AF_INET, SOCK_STREAM, 0)) {
    if (receive_buffer > 0) {
      setsockopt(fd_, SOL_SOCKET, SO_RCVBUF, &receive_buffer,
                 sizeof(receive_buffer));
    }
    const auto endpoint = net::ParseEndpoint(address);
    REQUIRE(endpoint.ok());
    REQUIRE(connect(fd_, endpoint->data(),
                    static_cast<socklen_t>(endpoint->size())) == 0);
  }
  ~RawCaller() { close(fd_); }
  RawCaller(const RawCaller&) = delete;
  RawCaller& operator=(const RawCaller&) = delete;

  void Write(const std::string& text) const {
    REQUIRE(send(fd_, text.data(), text.size(), MSG_NOSIGNAL) ==
            static_cast<ssize_t>(text.size()));
  }

  // Returns false when the other side has closed the connection.
  bool TryWrite(const std::string& text) const {
    return send(fd_, text.data(), text.size(), MSG_NOSIGNAL) ==
           static_cast<ssize_t>(text.size());
  }
  // Reads until the connection ends.
  std::string ReadAll() const {
    std::string all;
    char buf[4'096];
    for (ssize_t n = recv(fd_, buf, sizeof(buf), 0); n > 0;
         n = recv(fd_, buf, sizeof(buf), 0)) {
      all.append(buf, static_cast<size_t>(n));
    }
    return all;
  }
  // Returns whether the message that was read has its announced length.
  static bool IsComplete(const std::string& message) {
    const size_t head_end = message.find("\r\n\r\n");
    return head_end != std::string::npos &&
           message.size() ==
               head_end + 4 + LengthIn(message.substr(0, head_end));
  }
  // Reads one message that has a length, or what arrives of it before the
  // connection ends.
  std::string ReadMessage(ReadPace pace) const {
    std::string all;
    size_t size = std::string::npos;
    std::string buf(pace.bytes, 0);
    while (all.size() < size) {
      if (pace.pause_at > 0 && all.size() >= pace.pause_at) {
        std::this_thread::sleep_for(pace.pause);
        pace.pause_at = 0;
      }
      std::this_thread::sleep_for(pace.interval);
      const ssize_t n =
          recv(fd_, buf.data(), std::min(buf.size(), size - all.size()), 0);
      if (n <= 0) {
        break;
      }
      all.append(buf, 0, static_cast<size_t>(n));
      const size_t head_end = all.find("\r\n\r\n");
      if (size == std::string::npos && head_end != std::string::npos) {
        size = head_end + 4 + LengthIn(all.substr(0, head_end));
      }
    }
    return all;
  }

 private:
  static size_t LengthIn(const std::string& head) {
    const std::string lower = absl::AsciiStrToLower(head);
    const size_t begin = lower.find("\r\ncontent-length: ");
    size_t length = 0;
    if (begin != std::string::npos) {
      (void)absl::SimpleAtoi(
          lower.substr(begin + 18, lower.find('\r', begin + 2) - begin - 18),
          &length);
    }
    return length;
  }

  const int fd_;
};

// Callers that repeatedly connect, send one request and read its response,
// until a connection is refused.
class ConnectingCallers {
 public:
  ConnectingCallers() = default;
  ~ConnectingCallers() { Join(); }
  ConnectingCallers(const ConnectingCallers&) = delete;
  ConnectingCallers& operator=(const ConnectingCallers&) = delete;

  void Start(const std::string& address, int callers) {
    const auto endpoint = net::ParseEndpoint(address);
    REQUIRE(endpoint.ok());
    for (int n = 0; n < callers; ++n) {
      threads_.emplace_back([this, at = *endpoint] {
        while (CallOnce(at)) {
        }
      });
    }
  }

  // Waits until `more` further responses have arrived.
  void WaitForAnswers(int more) const {
    const int wanted = answered_ + more;
    while (answered_ < wanted) {
      std::this_thread::sleep_for(std::chrono::milliseconds(1));
    }
  }

  // Returns the number of connections that were established and then ended
  // without a response. Waits until all callers have been refused.
  int CountCut() {
    Join();
    return cut_;
  }

 private:
  // Returns whether the connection was established.
  bool CallOnce(const net::Tcp::endpoint& at) {
    constexpr absl::string_view kRequest =
        "GET / HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n";
    const int fd = socket(AF_INET, SOCK_STREAM, 0);
    const bool connected =
        connect(fd, at.data(), static_cast<socklen_t>(at.size())) == 0;
    if (connected) {
      char buf[256];
      const bool whole =
          send(fd, kRequest.data(), kRequest.size(), MSG_NOSIGNAL) > 0 &&
          recv(fd, buf, sizeof(buf), 0) > 0;
      ++(whole ? answered_ : cut_);
    }
    close(fd);
    return connected;
  }

  void Join() {
    for (std::thread& it : threads_) {
      it.join();
    }
    threads_.clear();
  }

  std::atomic<int> answered_ = 0;
  std::atomic<int> cut_ = 0;
  std::vector<std::thread> threads_;
};

}  // namespace toucandock::support

#endif  // TOUCANDOCK_TESTS_SUPPORT_RAW_CALLER_H_
