#ifndef TOUCANDOCK_NET_RESPONDER_H_
#define TOUCANDOCK_NET_RESPONDER_H_

#include "net/http_client.h"

#include <boost/asio/io_context.hpp>
#include <functional>
#include <string>

#include "absl/status/status.h"

namespace toucandock::net {

using Respond = std::function<HttpResponse(const HttpRequest&)>;
// Reports an exception that was caught: the part of the program and its text.
using OnException = std::function<void(const char* where, const char* what)>;

// HTTP server for small requests, such as health checks and metrics. The
// requests of a connection are served one after another. An exception of
// `respond` is reported and answered 500.
class Responder {
 public:
  Responder(boost::asio::io_context& io,
            Respond respond,
            OnException on_exception = nullptr);

  absl::Status Listen(const std::string& address);
  // Address and port on which the server listens.
  Tcp::endpoint endpoint() const;

 private:
  void Accept();

  boost::asio::io_context& io_;
  Tcp::acceptor acceptor_;
  const Respond respond_;
  const OnException on_exception_;
};

absl::Status OpenAcceptor(Tcp::acceptor& acceptor, const std::string& address);

}  // namespace toucandock::net

#endif  // TOUCANDOCK_NET_RESPONDER_H_
