#include "net/responder.h"

#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/write.hpp>
#include <memory>
#include <optional>
#include <utility>

#include "net/message_reader.h"

namespace toucandock::net {
namespace {

namespace http = boost::beast::http;
using boost::system::error_code;

constexpr int kBacklog = 1'024;
constexpr std::uint64_t kMaxBodyBytes = 4'096;
// A client that sends nothing for this long is disconnected.
constexpr std::chrono::seconds kIdleLimit{30};

class Session : public std::enable_shared_from_this<Session> {
 public:
  Session(boost::asio::io_context& io,
          const Respond& respond,
          const OnException& on_exception)
      : socket(io),
        timer_(io),
        respond_(respond),
        on_exception_(on_exception) {}

  void Read() {
    parser_.emplace();
    parser_->body_limit(kMaxBodyBytes);
    timer_.expires_after(kIdleLimit);
    timer_.async_wait([self = shared_from_this()](error_code ec) {
      if (!ec) {
        Reset(self->socket);
      }
    });
    ReadMessage(socket, buffer_, *parser_,
                [self = shared_from_this()](error_code ec) {
                  self->timer_.cancel();
                  if (!ec) {
                    self->Answer();
                  }
                });
  }

  Tcp::socket socket;

 private:
  void Answer() {
    const HttpRequest request = parser_->release();
    bool keep_alive = request.keep_alive();
    try {
      response_ = respond_(request);
      response_.prepare_payload();
    } catch (const std::exception& e) {
      // An exception costs this request only.
      if (on_exception_) {
        on_exception_("responder", e.what());
      }
      response_ = {};
      response_.result(http::status::internal_server_error);
      response_.prepare_payload();
      keep_alive = false;
    }
    response_.version(request.version());
    response_.keep_alive(keep_alive);
    http::async_write(socket, response_,
                      [self = shared_from_this()](error_code ec, size_t) {
                        if (!ec && self->response_.keep_alive()) {
                          self->Read();
                        }
                      });
  }

  boost::asio::steady_timer timer_;
  const Respond& respond_;
  const OnException& on_exception_;
  boost::beast::flat_buffer buffer_{kMaxUnparsedBytes};
  std::optional<http::request_parser<http::string_body>> parser_;
  HttpResponse response_;
};

}  // namespace

absl::Status OpenAcceptor(Tcp::acceptor& acceptor, const std::string& address) {
  const auto endpoint = ParseEndpoint(address);
  if (!endpoint.ok()) {
    return endpoint.status();
  }
  error_code ec;
  acceptor.open(endpoint->protocol(), ec);
  if (!ec) {
    acceptor.set_option(boost::asio::socket_base::reuse_address(true), ec);
  }
  if (!ec) {
    acceptor.bind(*endpoint, ec);
  }
  if (!ec) {
    acceptor.listen(kBacklog, ec);
  }
  if (ec) {
    // An acceptor that is still open could not be opened for another address.
    error_code ignored;
    acceptor.close(ignored);
    return absl::UnavailableError("cannot listen at " + address + ": " +
                                  ec.message());
  }
  return absl::OkStatus();
}

Responder::Responder(boost::asio::io_context& io,
                     Respond respond,
                     OnException on_exception)
    : io_(io),
      acceptor_(io),
      respond_(std::move(respond)),
      on_exception_(std::move(on_exception)) {}

absl::Status Responder::Listen(const std::string& address) {
  absl::Status status = OpenAcceptor(acceptor_, address);
  if (status.ok()) {
    Accept();
  }
  return status;
}

Tcp::endpoint Responder::endpoint() const {
  error_code ec;
  return acceptor_.local_endpoint(ec);
}

void Responder::Accept() {
  auto session = std::make_shared<Session>(io_, respond_, on_exception_);
  acceptor_.async_accept(session->socket, [this, session](error_code ec) {
    if (ec == boost::asio::error::operation_aborted) {
      return;
    }
    if (!ec) {
      SetConnectionOptions(session->socket);
      session->Read();
    }
    Accept();
  });
}

}  // namespace toucandock::net
