#ifndef TOUCANDOCK_HTTP_CLIENT_H_
#define TOUCANDOCK_HTTP_CLIENT_H_

#include <chrono>
#include <cstddef>
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
  // Uses a connection of its own. The library repeats a request by itself when
  // a kept connection turns out to be closed, which may run it twice.
  bool fresh_connection = false;
  // Asked whenever the exchange wakes up; true ends it.
  std::function<bool()> is_cancelled;
  // Called once when the whole request was written.
  std::function<void()> on_sent;
};

// HTTP/1.1 client that keeps connections. All methods may be called from any
// thread; Exchange() blocks its own.
class Client {
 public:
  Client();
  ~Client();

  Client(const Client&) = delete;
  Client& operator=(const Client&) = delete;

  ExchangeResult Exchange(const std::string& address,
                          const Request& request,
                          const ExchangeOptions& options);
  // Makes all exchanges under way ask is_cancelled.
  void WakeAll();

 private:
  class Connection;

  std::unique_ptr<Connection> Acquire(const std::string& address);
  void Release(const std::string& address, std::unique_ptr<Connection> it);

  std::mutex mutex_;
  std::map<std::string, std::vector<std::unique_ptr<Connection>>> idle_;
  std::vector<Connection*> active_;
};

}  // namespace toucandock::http

#endif  // TOUCANDOCK_HTTP_CLIENT_H_
