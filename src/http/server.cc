#include "http/server.h"

#include "net/responder.h"
#include "net/socket.h"

#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <atomic>
#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/string_body.hpp>
#include <boost/beast/http/write.hpp>
#include <condition_variable>
#include <mutex>
#include <set>
#include <thread>
#include <utility>

#include "absl/strings/match.h"
#include "absl/strings/str_cat.h"
#include "http/blocking_stream.h"

namespace toucandock::http {
namespace {

namespace beast_http = boost::beast::http;
using boost::system::error_code;
using Parser = beast_http::request_parser<beast_http::string_body>;
using BeastResponse = beast_http::response<beast_http::string_body>;

// How long the other side has to read its last response before the connection
// is reset.
constexpr std::chrono::milliseconds kCloseLinger{500};
// Callers that got a response just before a drain send their next request
// within this time and then get a response with "Connection: close".
constexpr std::chrono::milliseconds kDrainNotice{250};

Request Convert(Parser& parser, int fd, bool body_too_large) {
  auto message = parser.release();
  Request request;
  request.method = std::string(message.method_string());
  request.socket = fd;
  const std::string target(message.target());
  const size_t n = target.find('?');
  request.path = target.substr(0, n);
  if (n != std::string::npos) {
    request.query = target.substr(n + 1);
  }
  for (const auto& it : message) {
    request.headers.emplace_back(std::string(it.name_string()),
                                 std::string(it.value()));
  }
  request.body_too_large = body_too_large;
  request.body = std::move(message.body());
  return request;
}

// Values of headers with the same name are joined (RFC 9110, section 5.2),
// except for cookies, which cannot be joined.
void PutHeaders(const Headers& headers, BeastResponse& response) {
  for (const auto& [key, value] : headers) {
    const auto existing_field = response.find(key);
    if (existing_field == response.end() ||
        absl::EqualsIgnoreCase(key, "Set-Cookie")) {
      response.insert(key, value);
      continue;
    }
    const std::string joined =
        absl::StrCat(absl::string_view(existing_field->value().data(),
                                       existing_field->value().size()),
                     ", ", value);
    response.set(key, joined);
  }
}

bool HasNoBody(int status) {
  return status == 204 || status == 304;
}

// Server with one thread for each connection, built on Beast's synchronous
// functions.
class ThreadedServer : public Server {
 public:
  ThreadedServer(ServerOptions options, Handler handler)
      : options_(std::move(options)), handler_(std::move(handler)) {}

  ThreadedServer(const ThreadedServer&) = delete;
  ThreadedServer& operator=(const ThreadedServer&) = delete;

  ~ThreadedServer() override {
    StopListening();
    std::unique_lock<std::mutex> lock(mutex_);
    for (const int fd : connections_) {
      shutdown(fd, SHUT_RDWR);
    }
    changed_.wait(lock, [this] { return threads_ == 0; });
  }

  absl::Status Init() {
    absl::Status status = net::OpenAcceptor(acceptor_, options_.address);
    if (!status.ok()) {
      return status;
    }
    const net::Tcp::endpoint bound = acceptor_.local_endpoint();
    port_ = bound.port();
    address_ = absl::StrCat(bound.address().to_string(), ":", port_);
    Accept();
    listener_ = std::thread([this] { io_.run(); });
    return absl::OkStatus();
  }

  const std::string& address() const override { return address_; }
  std::uint16_t port() const override { return port_; }

  bool Drain(std::chrono::milliseconds limit) override {
    const auto began = std::chrono::steady_clock::now();
    draining_ = true;
    StopListening();
    std::this_thread::sleep_for(std::min(kDrainNotice, limit));
    std::unique_lock<std::mutex> lock(mutex_);
    return changed_.wait_until(lock, began + limit,
                               [this] { return active_ == 0; });
  }

 private:
  // Accepts the connections that are pending before it closes the acceptor,
  // since the close would reset them.
  void StopListening() {
    if (!listener_.joinable()) {
      return;
    }
    net::DropNewConnections(acceptor_);
    std::this_thread::sleep_for(net::kHandshakeLimit);
    boost::asio::post(io_, [this] {
      error_code ec;
      acceptor_.non_blocking(true, ec);
      for (net::Tcp::socket it = acceptor_.accept(ec); !ec;
           it = acceptor_.accept(ec)) {
        StartConnection(std::move(it));
      }
      acceptor_.close(ec);
    });
    listener_.join();
  }

  void Accept() {
    acceptor_.async_accept([this](error_code ec, net::Tcp::socket socket) {
      // A connection may have been accepted just before the acceptor closed.
      if (!ec) {
        StartConnection(std::move(socket));
      }
      if (!acceptor_.is_open()) {
        return;
      }
      Accept();
    });
  }

  void StartConnection(net::Tcp::socket socket) {
    net::SetConnectionOptions(socket);
    error_code ec;
    const int fd = socket.release(ec);
    const std::lock_guard<std::mutex> lock(mutex_);
    if (ec || connections_.size() >= options_.max_connections) {
      close(fd);
      return;
    }
    connections_.insert(fd);
    ++threads_;
    std::thread([this, fd] {
      ServeConnection(fd);
      const std::lock_guard<std::mutex> end_lock(mutex_);
      connections_.erase(fd);
      close(fd);
      --threads_;
      changed_.notify_all();
    }).detach();
  }

  void ServeConnection(int fd) {
    BlockingStream stream(fd, options_.idle_timeout);
    boost::beast::flat_buffer buffer(options_.max_headers +
                                     net::kMaxUnparsedBytes);
    while (ServeRequest(fd, stream, buffer)) {
    }
    // With unread bytes, close() would send a reset that may overtake the
    // response.
    shutdown(fd, SHUT_WR);
    BlockingStream closing_stream(fd, kCloseLinger);
    char unread[4'096];
    error_code ec;
    while (!ec) {
      closing_stream.read_some(boost::asio::buffer(unread), ec);
    }
  }

  // Returns whether the connection is kept open for another request.
  bool ServeRequest(int fd,
                    BlockingStream& stream,
                    boost::beast::flat_buffer& buffer) {
    Parser parser;
    parser.header_limit(static_cast<std::uint32_t>(options_.max_headers));
    parser.body_limit(options_.max_body);
    error_code ec;
    beast_http::read_header(stream, buffer, parser, ec);
    if (!ec &&
        absl::EqualsIgnoreCase(HeaderOf(parser, "Expect"), "100-continue")) {
      const BeastResponse interim(beast_http::status::continue_, 11);
      beast_http::write(stream, interim, ec);
    }
    const ActiveRequest active(*this);
    if (!ec) {
      beast_http::read(stream, buffer, parser, ec);
    }
    const bool body_too_large = ec == beast_http::error::body_limit;
    if (ec && !body_too_large) {
      RejectUnreadable(stream, ec);
      return false;
    }
    const bool is_head = parser.get().method() == beast_http::verb::head;
    const bool keep_alive = !body_too_large && parser.keep_alive();
    const Response answer = handler_(Convert(parser, fd, body_too_large));
    return Write(stream, answer, is_head, keep_alive && !draining_);
  }

  static std::string HeaderOf(const Parser& parser, const char* name) {
    return std::string(parser.get()[name]);
  }

  static bool Write(BlockingStream& stream,
                    const Response& answer,
                    bool is_head,
                    bool keep_alive) {
    BeastResponse response;
    response.version(11);
    response.result(static_cast<unsigned>(answer.status));
    PutHeaders(answer.headers, response);
    const bool has_own_length =
        response.find(beast_http::field::content_length) != response.end();
    if (has_own_length) {
      // The handler's length may differ from that of the body, so nothing may
      // follow on this connection.
      keep_alive = false;
    }
    response.keep_alive(keep_alive);
    if (!HasNoBody(answer.status)) {
      if (!has_own_length) {
        response.content_length(answer.body.size());
      }
      if (!is_head) {
        response.body() = answer.body;
      }
    }
    error_code ec;
    beast_http::write(stream, response, ec);
    return keep_alive && !ec;
  }

  static void RejectUnreadable(BlockingStream& stream, const error_code& ec) {
    const bool is_http_error =
        ec.category() ==
        beast_http::make_error_code(beast_http::error::bad_method).category();
    if (!is_http_error || ec == beast_http::error::end_of_stream ||
        ec == beast_http::error::partial_message) {
      return;
    }
    const int status = ec == beast_http::error::header_limit ? 431 : 400;
    Write(stream, {.status = status}, false, false);
  }

  // Counts a request as active until its response has been written.
  class ActiveRequest {
   public:
    explicit ActiveRequest(ThreadedServer& server) : server_(server) {
      const std::lock_guard<std::mutex> lock(server_.mutex_);
      ++server_.active_;
    }
    ~ActiveRequest() {
      const std::lock_guard<std::mutex> lock(server_.mutex_);
      --server_.active_;
      server_.changed_.notify_all();
    }
    ActiveRequest(const ActiveRequest&) = delete;
    ActiveRequest& operator=(const ActiveRequest&) = delete;

   private:
    ThreadedServer& server_;
  };

  const ServerOptions options_;
  const Handler handler_;
  boost::asio::io_context io_{1};
  net::Tcp::acceptor acceptor_{io_};
  std::thread listener_;
  std::string address_;
  std::uint16_t port_ = 0;
  std::atomic<bool> draining_ = false;
  std::mutex mutex_;
  // Notified when a connection thread or a request has ended.
  std::condition_variable changed_;
  std::set<int> connections_;
  size_t threads_ = 0;
  size_t active_ = 0;
};

}  // namespace

absl::StatusOr<std::unique_ptr<Server>> Server::Start(
    const ServerOptions& options,
    Handler handler) {
  auto server = std::make_unique<ThreadedServer>(options, std::move(handler));
  if (absl::Status status = server->Init(); !status.ok()) {
    return status;
  }
  return server;
}

}  // namespace toucandock::http
