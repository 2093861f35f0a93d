#ifndef TOUCANDOCK_NET_HTTP_CLIENT_H_
#define TOUCANDOCK_NET_HTTP_CLIENT_H_

#include "net/socket.h"

#include <boost/asio/io_context.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/string_body.hpp>
#include <chrono>
#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace toucandock::net {

using HttpRequest =
    boost::beast::http::request<boost::beast::http::string_body>;
using HttpResponse =
    boost::beast::http::response<boost::beast::http::string_body>;

enum class CallResult {
  kAnswered,
  // The server definitely did not receive the request.
  kNotSent,
  // The server may have received the request, but no complete response arrived.
  kUnanswered,
};

struct CallAnswer {
  CallResult result = CallResult::kUnanswered;
  // With kNotSent: the connection was refused, by the server's machine or by
  // something on the way to it.
  bool is_refused = false;
  HttpResponse response;
};

// Whether a call may open a new connection. With kExistingOnly, a call without
// an idle connection ends at once with kNotSent.
enum class ConnectionUse { kAny, kExistingOnly };

using CallHandler = std::function<void(CallAnswer)>;

// How responses are matched with calls, for servers that may send a response
// twice. The second one may arrive while the connection carries a later call.
struct MatchOptions {
  // Header that carries the id of a call and that the server repeats in its
  // response. If it is empty, the first response after a call is taken for it.
  std::string id_header;
  // Whether a connection is used again after a response without an id. A
  // repeated response could not be told from the next one there.
  bool keep_unmatched = true;
  // Called for each response that belongs to no call. It is not used.
  std::function<void()> on_stray_response;
};

// HTTP client for one server with persistent connections, each of which carries
// one call at a time. Used for control traffic; requests of callers use
// TargetConnection. Not thread-safe.
class HttpClient {
 public:
  HttpClient(boost::asio::io_context& io,
             Tcp::endpoint server,
             MatchOptions match = {});
  ~HttpClient();
  HttpClient(const HttpClient&) = delete;
  HttpClient& operator=(const HttpClient&) = delete;

  void Call(HttpRequest request,
            std::chrono::milliseconds timeout,
            CallHandler handler,
            ConnectionUse use = ConnectionUse::kAny);

 private:
  class Connection;
  // Idle connections. Busy connections hold a weak reference to the pool, to
  // which they return after their call.
  struct Pool {
    std::vector<std::shared_ptr<Connection>> idle;
  };

  boost::asio::io_context& io_;
  const Tcp::endpoint server_;
  const std::shared_ptr<const MatchOptions> match_;
  std::shared_ptr<Pool> pool_;
};

}  // namespace toucandock::net

#endif  // TOUCANDOCK_NET_HTTP_CLIENT_H_
