#include "http/client.h"

#include "net/socket.h"

#include <poll.h>
#include <sys/eventfd.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>
#include <cerrno>
#include <cstdint>
#include <optional>
#include <utility>

#include "absl/strings/match.h"
#include "absl/strings/numbers.h"
#include "absl/strings/str_cat.h"
#include "net/message_framing.h"
#include "util/http_status.h"

namespace toucandock::http {
namespace {

namespace beast_http = boost::beast::http;
using boost::system::error_code;
using std::chrono::milliseconds;
using Clock = std::chrono::steady_clock;
using Parser = beast_http::response_parser<beast_http::string_body>;

// Maximum number of idle connections to an address without a limit of its own.
// Further connections are closed after use.
constexpr size_t kMaxIdle = 64;
// Maximum time that an exchange sleeps before it checks its state again.
constexpr milliseconds kMaxPollTime{1'000};
// Beast accepts header values up to 64 KiB when a response is forwarded.
constexpr std::uint32_t kMaxHeaderBytes = 60 << 10;
constexpr size_t kReadBytes = 16 << 10;

constexpr int kFirstFinalStatus = 200;
constexpr int kSwitchingProtocols = 101;
// Position of the status in "HTTP/1.1 200".
constexpr size_t kStatusOffset = 9;
constexpr size_t kStatusDigits = 3;

enum class SocketState { kIdle, kReadable, kClosed };

// Returns the state of a connection without reading bytes from it.
SocketState StateOf(int fd) {
  char byte = 0;
  const ssize_t n = recv(fd, &byte, sizeof(byte), MSG_PEEK | MSG_DONTWAIT);
  if (n > 0) {
    return SocketState::kReadable;
  }
  const bool would_block =
      n < 0 && (errno == EAGAIN || errno == EWOULDBLOCK || errno == EINTR);
  return would_block ? SocketState::kIdle : SocketState::kClosed;
}

// Returns whether the buffer begins with the status of a final response. The
// parser reports the status only after it has read all headers.
bool BeginsWithFinalStatus(const boost::beast::flat_buffer& buffer) {
  const auto data = buffer.cdata();
  const absl::string_view text(static_cast<const char*>(data.data()),
                               data.size());
  int status = 0;
  return absl::StartsWith(text, "HTTP/1.") &&
         text.size() >= kStatusOffset + kStatusDigits &&
         absl::SimpleAtoi(text.substr(kStatusOffset, kStatusDigits), &status) &&
         status >= kFirstFinalStatus &&
         util::IsStatusCode(static_cast<unsigned>(status));
}

// Returns whether the end of the response is marked by a length or by chunks.
// Otherwise the end of the connection would mark it, and a truncated response
// could not be distinguished from a complete one. The parser decodes no
// transfer coding other than chunked.
bool IsBodyDelimited(const Request& request, const Response& response) {
  if (request.method == "HEAD" || response.status == 204 ||
      response.status == 304) {
    return true;
  }
  bool has_length = false;
  bool is_chunked = false;
  for (const auto& [key, value] : response.headers) {
    if (absl::EqualsIgnoreCase(key, "Transfer-Encoding")) {
      if (is_chunked || !absl::EqualsIgnoreCase(value, "chunked")) {
        return false;
      }
      is_chunked = true;
    } else if (absl::EqualsIgnoreCase(key, "Content-Length")) {
      has_length = true;
    }
  }
  return is_chunked || has_length;
}

std::string Serialize(const std::string& address, const Request& request) {
  std::string text = absl::StrCat(request.method, " ", request.path,
                                  request.query.empty() ? "" : "?",
                                  request.query, " HTTP/1.1\r\n");
  for (const auto& [key, value] : request.headers) {
    absl::StrAppend(&text, key, ": ", value, "\r\n");
  }
  if (FindHeader(request.headers, "Host") == nullptr) {
    absl::StrAppend(&text, "Host: ", address, "\r\n");
  }
  if (!request.body.empty() || request.method == "POST" ||
      request.method == "PUT") {
    absl::StrAppend(&text, "Content-Length: ", request.body.size(), "\r\n");
  }
  absl::StrAppend(&text, "\r\n", request.body);
  return text;
}

}  // namespace

// A connection and the state of the exchange that uses it. Only Wake() may be
// called from other threads.
class Client::Connection {
 public:
  Connection() : wake_fd_(eventfd(0, EFD_CLOEXEC | EFD_NONBLOCK)) {}

  Connection(const Connection&) = delete;
  Connection& operator=(const Connection&) = delete;

  ~Connection() {
    Close();
    close(wake_fd_);
  }

  void Wake() const {
    const std::uint64_t one = 1;
    // This fails only when a wake-up is pending already.
    (void)!write(wake_fd_, &one, sizeof(one));
  }

  bool is_open() const { return fd_ >= 0; }

  // Returns whether the kept connection is open and no bytes arrived on it
  // after the last response. Such bytes would be read as the next response.
  bool IsIdle() const { return StateOf(fd_) == SocketState::kIdle; }

  ExchangeResult Run(const std::string& address,
                     const Request& request,
                     const ExchangeOptions& options,
                     const ByteCounter& count_bytes) {
    request_ = &request;
    options_ = &options;
    result_ = {};
    sent_bytes_ = 0;
    received_bytes_ = 0;
    watches_caller_ = options.caller_socket >= 0;
    const Clock::time_point began = Clock::now();
    deadline_ = began + std::max(milliseconds(1), options.timeout);
    const bool is_response_complete =
        (is_open() || Connect(address, began + options.connect_timeout)) &&
        Exchange(Serialize(address, request));
    if (count_bytes) {
      count_bytes(sent_bytes_, received_bytes_);
    }
    if (is_response_complete) {
      result_.progress = Progress::kComplete;
    }
    // The rest of an unfinished response would be read as the next one.
    if (!is_response_complete || !keep_alive_ || buffer_.size() > 0) {
      Close();
    }
    return std::move(result_);
  }

 private:
  enum class ReadState { kOpen, kResponseComplete, kFailed };

  void Close() {
    if (fd_ >= 0) {
      close(fd_);
    }
    fd_ = -1;
    buffer_.clear();
  }

  bool Fail(Failure failure) {
    result_.failure = failure;
    return false;
  }

  void RaiseProgress(Progress progress) {
    result_.progress = std::max(result_.progress, progress);
  }

  bool Connect(const std::string& address, Clock::time_point until) {
    const auto endpoint = net::ParseEndpoint(address);
    if (!endpoint.ok()) {
      return Fail(Failure::kRefused);
    }
    fd_ = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
    if (fd_ < 0) {
      return Fail(Failure::kRefused);
    }
    net::SetConnectionOptions(fd_);
    if (connect(fd_, endpoint->data(),
                static_cast<socklen_t>(endpoint->size())) == 0) {
      return true;
    }
    if (errno != EINPROGRESS) {
      return Fail(Failure::kRefused);
    }
    if (!WaitFor(POLLOUT, std::min(until, deadline_))) {
      return false;
    }
    int error = 0;
    socklen_t length = sizeof(error);
    getsockopt(fd_, SOL_SOCKET, SO_ERROR, &error, &length);
    return error == 0 || Fail(Failure::kRefused);
  }

  // Sends and receives at the same time, because a target may respond before it
  // has read the whole request.
  bool Exchange(const std::string& text) {
    RaiseProgress(Progress::kConnected);
    NewParser();
    bool may_send = true;
    while (true) {
      const bool wants_to_send = may_send && sent_bytes_ < text.size();
      if (!WaitFor(
              static_cast<short>(wants_to_send ? POLLIN | POLLOUT : POLLIN),
              deadline_)) {
        return false;
      }
      if (wants_to_send) {
        may_send = SendSome(text);
      }
      const ReadState state = ReadSome();
      if (state == ReadState::kResponseComplete) {
        keep_alive_ = keep_alive_ && sent_bytes_ == text.size();
        return true;
      }
      if (state == ReadState::kFailed) {
        return false;
      }
    }
  }

  // Returns false when the connection accepts no more bytes. The response may
  // have arrived nevertheless.
  bool SendSome(const std::string& text) {
    const ssize_t n =
        send(fd_, text.data() + sent_bytes_, text.size() - sent_bytes_,
             MSG_NOSIGNAL | MSG_DONTWAIT);
    if (n < 0) {
      return errno == EAGAIN || errno == EWOULDBLOCK || errno == EINTR;
    }
    sent_bytes_ += static_cast<size_t>(n);
    RaiseProgress(sent_bytes_ < text.size() ? Progress::kSending
                                            : Progress::kSent);
    if (sent_bytes_ == text.size() && options_->on_sent) {
      options_->on_sent();
    }
    return true;
  }

  ReadState ReadSome() {
    const auto space = buffer_.prepare(kReadBytes);
    const ssize_t n = recv(fd_, space.data(), space.size(), MSG_DONTWAIT);
    if (n < 0 && (errno == EAGAIN || errno == EWOULDBLOCK || errno == EINTR)) {
      return ReadState::kOpen;
    }
    if (n <= 0) {
      Fail(Failure::kBroken);
      return ReadState::kFailed;
    }
    buffer_.commit(static_cast<size_t>(n));
    received_bytes_ += static_cast<size_t>(n);
    return Parse();
  }

  ReadState Parse() {
    while (buffer_.size() > 0) {
      if (!has_headers_ && BeginsWithFinalStatus(buffer_)) {
        RaiseProgress(Progress::kHeadersReceived);
      }
      if (!parser_->is_header_done() && net::HasFoldedLine(buffer_.data())) {
        Fail(Failure::kBroken);
        return ReadState::kFailed;
      }
      error_code ec;
      buffer_.consume(parser_->put(buffer_.data(), ec));
      if (ec == beast_http::error::need_more) {
        return ReadState::kOpen;
      }
      if (ec) {
        Fail(ec == beast_http::error::body_limit ? Failure::kTooLarge
                                                 : Failure::kBroken);
        return ReadState::kFailed;
      }
      if (parser_->is_header_done() && !has_headers_ && !CopyHeaders()) {
        return ReadState::kFailed;
      }
      if (parser_->is_done() && has_headers_) {
        keep_alive_ = parser_->keep_alive();
        result_.response.body = std::move(parser_->get().body());
        return ReadState::kResponseComplete;
      }
      if (parser_->is_done()) {
        // An interim response does not mean that the target runs the request.
        NewParser();
      }
    }
    return ReadState::kOpen;
  }

  void NewParser() {
    has_headers_ = false;
    keep_alive_ = false;
    parser_.emplace();
    parser_->header_limit(kMaxHeaderBytes);
    parser_->body_limit(options_->max_body);
    parser_->skip(request_->method == "HEAD");
  }

  // Copies the headers before the body is read, because trailers are not
  // forwarded (RFC 9110, section 6.5.1).
  bool CopyHeaders() {
    const auto& head = parser_->get();
    const int status = static_cast<int>(head.result_int());
    if (!util::IsStatusCode(head.result_int())) {
      return Fail(Failure::kBroken);
    }
    if (status < kFirstFinalStatus) {
      return status != kSwitchingProtocols || Fail(Failure::kBroken);
    }
    has_headers_ = true;
    Response& response = result_.response;
    response.status = status;
    for (const auto& it : head) {
      response.headers.emplace_back(std::string(it.name_string()),
                                    std::string(it.value()));
    }
    return IsBodyDelimited(*request_, response) || Fail(Failure::kBroken);
  }

  // Returns true when the connection is ready, and false when the exchange must
  // end.
  bool WaitFor(short events, Clock::time_point until) {
    while (true) {
      if (options_->is_cancelled && options_->is_cancelled()) {
        return Fail(Failure::kCancelled);
      }
      if (watches_caller_) {
        const SocketState state = StateOf(options_->caller_socket);
        if (state == SocketState::kClosed) {
          return Fail(Failure::kCallerGone);
        }
        // A readable socket stays readable, so polling it further would spin.
        watches_caller_ = state == SocketState::kIdle;
      }
      const auto left = std::chrono::ceil<milliseconds>(until - Clock::now());
      if (left <= milliseconds::zero()) {
        return Fail(Failure::kTimeout);
      }
      pollfd polled[] = {{.fd = fd_, .events = events},
                         {.fd = wake_fd_, .events = POLLIN},
                         {.fd = options_->caller_socket, .events = POLLIN}};
      poll(polled, watches_caller_ ? 3 : 2,
           static_cast<int>(std::min(left, kMaxPollTime).count()));
      if (polled[1].revents != 0) {
        std::uint64_t count = 0;
        (void)!read(wake_fd_, &count, sizeof(count));
      }
      if (polled[0].revents != 0) {
        return true;
      }
    }
  }

  const int wake_fd_;
  int fd_ = -1;
  boost::beast::flat_buffer buffer_{kMaxHeaderBytes + net::kMaxUnparsedBytes};
  std::optional<Parser> parser_;
  bool keep_alive_ = false;
  // The headers of the final response have been copied.
  bool has_headers_ = false;
  bool watches_caller_ = false;
  size_t sent_bytes_ = 0;
  size_t received_bytes_ = 0;
  Clock::time_point deadline_{};
  ExchangeResult result_;
  const Request* request_ = nullptr;
  const ExchangeOptions* options_ = nullptr;
};

Client::Client(ByteCounter count_bytes)
    : count_bytes_(std::move(count_bytes)) {}

Client::~Client() = default;

ExchangeResult Client::Exchange(const std::string& address,
                                const Request& request,
                                const ExchangeOptions& options) {
  std::unique_ptr<Connection> connection =
      Acquire(address, options.fresh_connection);
  ExchangeResult result =
      connection->Run(address, request, options, count_bytes_);
  Release(address, std::move(connection));
  return result;
}

void Client::WakeAll() {
  const std::lock_guard<std::mutex> lock(mutex_);
  for (Connection* it : active_) {
    it->Wake();
  }
}

std::unique_ptr<Client::Connection> Client::Acquire(const std::string& address,
                                                    bool fresh) {
  std::unique_ptr<Connection> connection;
  const std::lock_guard<std::mutex> lock(mutex_);
  std::vector<std::unique_ptr<Connection>>& idle = idle_[address];
  while (!fresh && connection == nullptr && !idle.empty()) {
    if (idle.back()->IsIdle()) {
      connection = std::move(idle.back());
    }
    idle.pop_back();
  }
  if (connection == nullptr) {
    connection = std::make_unique<Connection>();
  }
  active_.push_back(connection.get());
  return connection;
}

// A connection whose exchange did not end with a complete response has been
// closed: the rest of that response would be read as the response to the next
// request.
void Client::Release(const std::string& address,
                     std::unique_ptr<Connection> it) {
  const std::lock_guard<std::mutex> lock(mutex_);
  std::erase(active_, it.get());
  std::vector<std::unique_ptr<Connection>>& idle = idle_[address];
  if (it->is_open() && idle.size() < IdleLimit(address)) {
    idle.push_back(std::move(it));
  }
}

void Client::SetIdleLimits(std::map<std::string, size_t> limits) {
  const std::lock_guard<std::mutex> lock(mutex_);
  idle_limits_ = std::move(limits);
  for (auto& [address, idle] : idle_) {
    if (const size_t limit = IdleLimit(address); idle.size() > limit) {
      idle.resize(limit);
    }
  }
}

size_t Client::CountIdle(const std::string& address) const {
  const std::lock_guard<std::mutex> lock(mutex_);
  const auto it = idle_.find(address);
  return it == idle_.end() ? 0 : it->second.size();
}

size_t Client::IdleLimit(const std::string& address) const {
  const auto it = idle_limits_.find(address);
  return it == idle_limits_.end() ? kMaxIdle : it->second;
}

}  // namespace toucandock::http
