#include "net/http_client.h"

#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/write.hpp>
#include <optional>

#include "net/message_reader.h"

namespace toucandock::net {
namespace {

namespace http = boost::beast::http;
using boost::system::error_code;

// Servers close idle connections after several seconds. Connections that were
// idle for less than this are safe to reuse.
constexpr std::chrono::milliseconds kIdleLimit{4'000};
// Limit of a response body. The largest responses are pages of newest records:
// 1 MB of values in base64 and their keys.
constexpr std::uint64_t kMaxBodyBytes = 4ULL << 20;
constexpr std::uint32_t kMaxHeadBytes = 16U << 10;
// A response that arrives slowly gets more time as long as bytes of its body
// arrive, since repeating the call would transfer all of them again.
constexpr std::chrono::milliseconds kExtension{500};
constexpr int kMaxExtensions = 6;

}  // namespace

class HttpClient::Connection : public std::enable_shared_from_this<Connection> {
 public:
  Connection(boost::asio::io_context& io,
             std::shared_ptr<const MatchOptions> match,
             std::weak_ptr<Pool> pool)
      : socket_(io),
        timer_(io),
        match_(std::move(match)),
        pool_(std::move(pool)) {}

  bool IsUsable() {
    return socket_.is_open() &&
           std::chrono::steady_clock::now() - idle_since_ < kIdleLimit &&
           !HasUnreadInput(socket_);
  }

  void Start(const Tcp::endpoint& server,
             HttpRequest request,
             std::chrono::milliseconds timeout,
             CallHandler handler) {
    request_ = std::move(request);
    handler_ = std::move(handler);
    sent_ = false;
    parser_.reset();
    extensions_ = 0;
    SetTimeout(timeout);
    if (socket_.is_open()) {
      Write();
      return;
    }
    socket_.async_connect(server, [self = shared_from_this()](error_code ec) {
      if (ec) {
        self->is_refused_ = ec == boost::asio::error::connection_refused;
        self->Finish(false);
        return;
      }
      SetConnectionOptions(self->socket_);
      self->Write();
    });
  }

 private:
  void SetTimeout(std::chrono::milliseconds timeout) {
    timer_.expires_after(timeout);
    timer_.async_wait([self = shared_from_this()](error_code ec) {
      if (ec) {
        return;
      }
      if (self->extensions_ < kMaxExtensions && self->HasProgressed()) {
        ++self->extensions_;
        self->SetTimeout(kExtension);
      } else {
        self->Finish(false);
      }
    });
  }

  // Whether more of the body has arrived since the last time-out. Only known
  // for responses that state their length.
  bool HasProgressed() {
    if (!handler_ || !parser_ || !parser_->is_header_done()) {
      return false;
    }
    const auto left = parser_->content_length_remaining();
    const bool progressed =
        left && (extensions_ == 0 || *left < body_bytes_left_);
    body_bytes_left_ = left.value_or(0);
    return progressed;
  }

  void Write() {
    if (!handler_) {
      return;
    }
    sent_ = true;
    http::async_write(socket_, request_,
                      [self = shared_from_this()](error_code ec, size_t) {
                        if (ec) {
                          self->Finish(false);
                          return;
                        }
                        self->Read();
                      });
  }

  void Read() {
    if (!handler_) {
      return;
    }
    parser_.emplace();
    parser_->header_limit(kMaxHeadBytes);
    parser_->body_limit(kMaxBodyBytes);
    ReadMessage(
        socket_, buffer_, *parser_,
        [self = shared_from_this()](error_code ec) { self->OnResponse(ec); });
  }

  void OnResponse(error_code ec) {
    if (ec || !handler_ || BelongsToCall()) {
      Finish(!ec);
      return;
    }
    if (match_->on_stray_response) {
      match_->on_stray_response();
    }
    Read();
  }

  // A server that has repeated the id of a call does so in every response.
  // Another id, or none, then shows a response to an earlier call.
  bool BelongsToCall() {
    matched_ = false;
    if (match_->id_header.empty()) {
      return true;
    }
    const auto ids = parser_->get().equal_range(match_->id_header);
    if (ids.first == ids.second) {
      return !server_sends_ids_;
    }
    for (auto it = ids.first; it != ids.second; ++it) {
      if (it->value() != request_[match_->id_header]) {
        return false;
      }
    }
    matched_ = true;
    server_sends_ids_ = true;
    return true;
  }

  void Finish(bool answered) {
    if (!handler_) {
      return;
    }
    CallHandler handler = std::move(handler_);
    handler_ = nullptr;
    timer_.cancel();
    CallAnswer answer;
    if (answered) {
      answer.result = CallResult::kAnswered;
      answer.response = parser_->release();
    } else {
      answer.result = sent_ ? CallResult::kUnanswered : CallResult::kNotSent;
      answer.is_refused = !sent_ && is_refused_;
    }
    const bool keep =
        answered && answer.response.keep_alive() && buffer_.size() == 0 &&
        (matched_ || match_->id_header.empty() || match_->keep_unmatched);
    if (keep) {
      idle_since_ = std::chrono::steady_clock::now();
      if (const auto pool = pool_.lock()) {
        pool->idle.push_back(shared_from_this());
      }
    } else {
      Reset(socket_);
    }
    handler(std::move(answer));
  }

  Tcp::socket socket_;
  bool is_refused_ = false;
  boost::asio::steady_timer timer_;
  const std::shared_ptr<const MatchOptions> match_;
  std::weak_ptr<Pool> pool_;
  boost::beast::flat_buffer buffer_{kMaxUnparsedBytes};
  std::optional<http::response_parser<http::string_body>> parser_;
  HttpRequest request_;
  CallHandler handler_;
  bool sent_ = false;
  int extensions_ = 0;
  // At the last time-out.
  std::uint64_t body_bytes_left_ = 0;
  // The last response repeated the id of its call.
  bool matched_ = false;
  bool server_sends_ids_ = false;
  std::chrono::steady_clock::time_point idle_since_{};
};

HttpClient::HttpClient(boost::asio::io_context& io,
                       Tcp::endpoint server,
                       MatchOptions match)
    : io_(io),
      server_(std::move(server)),
      match_(std::make_shared<const MatchOptions>(std::move(match))),
      pool_(std::make_shared<Pool>()) {}

HttpClient::~HttpClient() = default;

// Calls the handler on the thread of the I/O context, never before this
// function returns. The time-out covers connecting, sending and the complete
// response; it is extended by up to 3 s while a response arrives slowly.
void HttpClient::Call(HttpRequest request,
                      std::chrono::milliseconds timeout,
                      CallHandler handler,
                      ConnectionUse use) {
  request.prepare_payload();
  std::shared_ptr<Connection> connection;
  while (!pool_->idle.empty() && !connection) {
    std::shared_ptr<Connection> it = std::move(pool_->idle.back());
    pool_->idle.pop_back();
    if (it->IsUsable()) {
      connection = std::move(it);
    }
  }
  if (!connection && use == ConnectionUse::kExistingOnly) {
    boost::asio::post(io_, [handler = std::move(handler)] {
      handler({.result = CallResult::kNotSent});
    });
    return;
  }
  if (!connection) {
    connection = std::make_shared<Connection>(io_, match_, pool_);
  }
  connection->Start(server_, std::move(request), timeout, std::move(handler));
}

}  // namespace toucandock::net
