#ifndef TOUCANDOCK_HTTP_CLIENT_H_
#define TOUCANDOCK_HTTP_CLIENT_H_

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

#include "http/message.h"

namespace toucandock::http {

// How far an exchange came.
enum class Progress {
  kNotConnected,
  // Connected; nothing of the request was written.
  kConnected,
  // Part of the request may have been written.
  kSending,
  kSent,
  kHeadersReceived,
  kComplete,
};

enum class Failure {
  kNone,
  kRefused,
  kTimeout,
  kCancelled,
  kCallerGone,
  kBroken,
  kTooLarge
};

struct ExchangeResult {
  Progress progress = Progress::kNotConnected;
  Failure failure = Failure::kNone;
  // Whole only with Progress::kComplete.
  Response response;
};

struct ExchangeOptions {
  std::chrono::milliseconds connect_timeout{250};
  std::chrono::milliseconds timeout{10'000};
  size_t max_body = 8 << 20;
  // Uses a connection of its own: a kept one may turn out to be closed only
  // when the request was sent, so that nobody knows whether it ran.
  bool fresh_connection = false;
  // Asked whenever the exchange wakes up; true ends it.
  std::function<bool()> is_cancelled;
  // Connection of the caller for whom the exchange is made, or negative. The
  // exchange ends when the caller closes it (also its sending half).
  int caller_socket = -1;
  // Called once when the whole request was written.
  std::function<void()> on_sent;
};

// Called after each exchange, on its thread, with the bytes of heads and bodies
// that were sent and received.
using ByteCounter =
    std::function<void(std::uint64_t sent, std::uint64_t received)>;

// HTTP/1.1 client that keeps connections. All methods may be called from any
// thread; Exchange() blocks its own.
class Client {
 public:
  explicit Client(ByteCounter count_bytes = nullptr);
  ~Client();

  Client(const Client&) = delete;
  Client& operator=(const Client&) = delete;

  ExchangeResult Exchange(const std::string& address,
                          const Request& request,
                          const ExchangeOptions& options);
  // Makes all exchanges under way ask is_cancelled.
  void WakeAll();
  // Limits the connections that are kept to each address while unused.
  void SetIdleLimits(std::map<std::string, size_t> limits);
  size_t CountIdle(const std::string& address) const;

 private:
  class Connection;

  std::unique_ptr<Connection> Acquire(const std::string& address, bool fresh);
  void Release(const std::string& address, std::unique_ptr<Connection> it);

  size_t IdleLimit(const std::string& address) const;

  const ByteCounter count_bytes_;
  mutable std::mutex mutex_;
  std::map<std::string, std::vector<std::unique_ptr<Connection>>> idle_;
  std::map<std::string, size_t> idle_limits_;
  std::vector<Connection*> active_;
};

}  // namespace toucandock::http

#endif  // TOUCANDOCK_HTTP_CLIENT_H_
