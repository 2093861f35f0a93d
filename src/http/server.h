#ifndef TOUCANDOCK_HTTP_SERVER_H_
#define TOUCANDOCK_HTTP_SERVER_H_

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include "absl/status/statusor.h"
#include "http/message.h"

namespace toucandock::http {

struct ServerOptions {
  // "IP:PORT"; port 0 lets the kernel choose.
  std::string address = "127.0.0.1:0";
  size_t max_body = 1 << 20;
  size_t max_headers = 16 << 10;
  // Each connection occupies one thread.
  unsigned max_connections = 1'024;
  std::chrono::seconds idle_timeout{60};
};

// Called on the connection's thread; may block.
using Handler = std::function<Response(const Request&)>;

// HTTP/1.1 server with one thread for each connection.
class Server {
 public:
  static absl::StatusOr<std::unique_ptr<Server>> Start(
      const ServerOptions& options,
      Handler handler);

  virtual ~Server() = default;

  // "IP:PORT" with the port that the server is bound to.
  virtual const std::string& address() const = 0;
  virtual std::uint16_t port() const = 0;
  // Accepts no more connections, makes callers close theirs, and waits until no
  // request is in service. Returns false when the limit was exceeded.
  virtual bool Drain(std::chrono::milliseconds limit) = 0;
};

}  // namespace toucandock::http

#endif  // TOUCANDOCK_HTTP_SERVER_H_
