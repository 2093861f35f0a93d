#ifndef TOUCANDOCK_NET_HTTP_CLIENT_H_
#define TOUCANDOCK_NET_HTTP_CLIENT_H_

#include "net/socket.h"

#include <boost/asio/io_context.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/string_body.hpp>
#include <chrono>
#include <functional>
#include <memory>
#include <vector>

namespace toucandock::net {

using HttpRequest =
    boost::beast::http::request<boost::beast::http::string_body>;
using HttpResponse =
    boost::beast::http::response<boost::beast::http::string_body>;

enum class CallResult {
  kAnswered,
  // The server surely did not receive the request.
  kNotSent,
  // The server may have received the request.
  kUnanswered,
};

struct CallAnswer {
  CallResult result = CallResult::kUnanswered;
  HttpResponse response;
};

enum class ConnectionUse { kAny, kExistingOnly };

using CallHandler = std::function<void(CallAnswer)>;

// Calls to one server over kept connections, one call at a time on each. For
// control traffic; requests of callers take TargetConnection. Not thread-safe.
class HttpClient {
 public:
  HttpClient(boost::asio::io_context& io, Tcp::endpoint server);
  ~HttpClient();
  HttpClient(const HttpClient&) = delete;
  HttpClient& operator=(const HttpClient&) = delete;

  void Call(HttpRequest request,
            std::chrono::milliseconds timeout,
            CallHandler handler,
            ConnectionUse use = ConnectionUse::kAny);

 private:
  class Connection;
  // Connections that wait for a call; shared with those that are busy.
  struct Pool {
    std::vector<std::shared_ptr<Connection>> idle;
  };

  boost::asio::io_context& io_;
  const Tcp::endpoint server_;
  std::shared_ptr<Pool> pool_;
};

}  // namespace toucandock::net

#endif  // TOUCANDOCK_NET_HTTP_CLIENT_H_
