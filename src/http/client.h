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

// How far an exchange got.
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
  // Complete only with Progress::kComplete.
  Response response;
};

struct ExchangeOptions {
  std::chrono::milliseconds connect_timeout{250};
  std::chrono::milliseconds timeout{10'000};
  size_t max_body = 8 << 20;
  // Uses a new connection. A kept one may turn out to be closed only after the
  // request has been sent, and then it is unknown whether the request ran.
  bool fresh_connection = false;
  // Called whenever the exchange wakes up. Returning true ends it.
  std::function<bool()> is_cancelled;
  // Socket of the caller for whom the exchange is made, or negative. The
  // exchange ends when the caller closes the connection or only its sending
  // half.
  int caller_socket = -1;
  // Called once when the whole request has been written.
  std::function<void()> on_sent;
};

// Called after each exchange, on its thread, with the numbers of bytes sent and
// received, headers included.
using ByteCounter =
    std::function<void(std::uint64_t sent, std::uint64_t received)>;

// HTTP/1.1 client that reuses connections. All methods may be called from any
// thread; Exchange() blocks the calling thread.
class Client {
 public:
  explicit Client(ByteCounter count_bytes = nullptr);
  ~Client();

  Client(const Client&) = delete;
  Client& operator=(const Client&) = delete;

  ExchangeResult Exchange(const std::string& address,
                          const Request& request,
                          const ExchangeOptions& options);
  // Makes all exchanges in progress call is_cancelled.
  void WakeAll();
  // Limits the number of unused connections that are kept open to each address,
  // and closes those above the new limits.
  void SetIdleLimits(std::map<std::string, size_t> limits);
  // Returns the number of unused connections that are kept open to the address.
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
