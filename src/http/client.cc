#include "http/client.h"

#include <curl/curl.h>
#include <sys/socket.h>

#include <algorithm>
#include <cerrno>
#include <cstdint>
#include <utility>

#include "absl/strings/ascii.h"
#include "absl/strings/match.h"
#include "absl/strings/numbers.h"
#include "absl/strings/str_cat.h"

namespace toucandock::http {
namespace {

// Kept for each address without a limit of its own; more are closed after use.
constexpr size_t kMaxIdle = 64;
// Longest sleep of an exchange between two looks at its state.
constexpr int kMaxPollMs = 1'000;

constexpr int kFirstFinalStatus = 200;
constexpr size_t kStatusDigits = 3;

struct Transfer {
  const ExchangeOptions* options = nullptr;
  // The status line of the final answer arrived.
  bool status_seen = false;
  bool body_seen = false;
  // What was known before the library gave up, which may reset its counts.
  Progress furthest = Progress::kNotConnected;
  bool too_large = false;
  Response response;
};

// The library repeats a request by itself when a kept connection breaks before
// an answer, which hides that the request was sent and may run it twice. The
// repetition needs another socket.
curl_socket_t OnOpenSocket(void* user, curlsocktype, curl_sockaddr* address) {
  long sent_bytes = 0;
  curl_easy_getinfo(static_cast<CURL*>(user), CURLINFO_REQUEST_SIZE,
                    &sent_bytes);
  if (sent_bytes > 0) {
    return CURL_SOCKET_BAD;
  }
  return socket(address->family, address->socktype | SOCK_CLOEXEC,
                address->protocol);
}

size_t OnHeader(char* data, size_t size, size_t n, void* user) {
  auto* transfer = static_cast<Transfer*>(user);
  const absl::string_view line =
      absl::StripAsciiWhitespace(absl::string_view(data, size * n));
  if (transfer->body_seen) {
    // Trailers are not passed on (RFC 9110, section 6.5.1).
    return size * n;
  }
  if (absl::StartsWith(line, "HTTP/")) {
    transfer->response.headers.clear();
    // An interim answer (1xx) may come before the final one. It does not say
    // that the target runs the request.
    int status = 0;
    const size_t space = line.find(' ');
    transfer->status_seen =
        space != absl::string_view::npos &&
        absl::SimpleAtoi(line.substr(space + 1, kStatusDigits), &status) &&
        status >= kFirstFinalStatus;
    return size * n;
  }
  const size_t colon = line.find(':');
  if (colon != absl::string_view::npos) {
    transfer->response.headers.emplace_back(
        line.substr(0, colon),
        absl::StripAsciiWhitespace(line.substr(colon + 1)));
  }
  return size * n;
}

size_t OnBody(char* data, size_t size, size_t n, void* user) {
  auto* transfer = static_cast<Transfer*>(user);
  transfer->body_seen = true;
  if (transfer->response.body.size() + size * n > transfer->options->max_body) {
    transfer->too_large = true;
    return 0;
  }
  transfer->response.body.append(data, size * n);
  return size * n;
}

// Without a length or chunks, the end of the connection would be taken for the
// end of the answer, so a cut answer could not be told from a whole one. The
// library has checked that the last chunk arrived. It removes no other
// transfer coding than chunks, and it accepts lengths that contradict each
// other.
bool IsWhole(const Request& request, const Response& response) {
  if (response.status < kFirstFinalStatus) {
    return false;
  }
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
      std::uint64_t length = 0;
      if (!absl::SimpleAtoi(value, &length) ||
          (length != response.body.size() && !is_chunked)) {
        return false;
      }
      has_length = true;
    }
  }
  return is_chunked || has_length;
}

enum class SocketState { kQuiet, kReadable, kClosed };

// Looks at a connection without taking bytes from it.
SocketState StateOf(int fd) {
  char byte = 0;
  const ssize_t n = recv(fd, &byte, sizeof(byte), MSG_PEEK | MSG_DONTWAIT);
  if (n > 0) {
    return SocketState::kReadable;
  }
  const bool no_news =
      n < 0 && (errno == EAGAIN || errno == EWOULDBLOCK || errno == EINTR);
  return no_news ? SocketState::kQuiet : SocketState::kClosed;
}

Failure FailureOf(CURLcode code, Progress progress, const Transfer& transfer) {
  if (transfer.too_large) {
    return Failure::kTooLarge;
  }
  switch (code) {
    case CURLE_OK:
      return Failure::kNone;
    case CURLE_COULDNT_CONNECT:
      return progress < Progress::kSending ? Failure::kRefused
                                           : Failure::kBroken;
    case CURLE_OPERATION_TIMEDOUT:
      return Failure::kTimeout;
    default:
      return Failure::kBroken;
  }
}

}  // namespace

// One easy handle with the multi handle that drives it; the latter keeps the
// connection and can be woken from other threads.
class Client::Connection {
 public:
  Connection() : easy_(curl_easy_init()), multi_(curl_multi_init()) {}

  Connection(const Connection&) = delete;
  Connection& operator=(const Connection&) = delete;

  ~Connection() {
    curl_easy_cleanup(easy_);
    curl_multi_cleanup(multi_);
  }

  void Wake() { curl_multi_wakeup(multi_); }

  bool is_open() const { return socket_ != CURL_SOCKET_BAD; }

  // Returns whether the kept connection is open and nothing arrived on it after
  // the last answer. The library would take such bytes for the next answer.
  bool IsQuiet() const { return StateOf(socket_) == SocketState::kQuiet; }

  ExchangeResult Run(const std::string& address,
                     const Request& request,
                     const ExchangeOptions& options,
                     const ByteCounter& count_bytes) {
    Transfer transfer;
    transfer.options = &options;
    curl_slist* headers = SetUp(address, request, options, transfer);
    curl_multi_add_handle(multi_, easy_);
    Failure stopped = Failure::kNone;
    const CURLcode code = Drive(request, options, transfer, stopped);
    ExchangeResult result;
    result.progress =
        std::max(transfer.furthest, ProgressOf(request, transfer));
    result.failure = stopped != Failure::kNone
                         ? stopped
                         : FailureOf(code, result.progress, transfer);
    long status = 0;
    curl_easy_getinfo(easy_, CURLINFO_RESPONSE_CODE, &status);
    transfer.response.status = static_cast<int>(status);
    socket_ = CURL_SOCKET_BAD;
    if (code == CURLE_OK && IsWhole(request, transfer.response)) {
      result.progress = Progress::kComplete;
      curl_easy_getinfo(easy_, CURLINFO_ACTIVESOCKET, &socket_);
    } else if (code == CURLE_OK) {
      result.failure = Failure::kBroken;
    }
    if (count_bytes) {
      CountBytes(count_bytes);
    }
    // Also closes the connection when the exchange is unfinished.
    curl_multi_remove_handle(multi_, easy_);
    curl_slist_free_all(headers);
    curl_easy_reset(easy_);
    result.response = std::move(transfer.response);
    return result;
  }

 private:
  curl_slist* SetUp(const std::string& address,
                    const Request& request,
                    const ExchangeOptions& options,
                    Transfer& transfer) {
    std::string url = absl::StrCat("http://", address, request.path);
    if (!request.query.empty()) {
      absl::StrAppend(&url, "?", request.query);
    }
    curl_easy_setopt(easy_, CURLOPT_URL, url.c_str());
    curl_easy_setopt(easy_, CURLOPT_PATH_AS_IS, 1L);
    curl_easy_setopt(easy_, CURLOPT_PROTOCOLS_STR, "http");
    curl_easy_setopt(easy_, CURLOPT_PROXY, "");
    curl_easy_setopt(easy_, CURLOPT_NOSIGNAL, 1L);
    curl_easy_setopt(easy_, CURLOPT_TCP_NODELAY, 1L);
    curl_easy_setopt(easy_, CURLOPT_HTTP_VERSION, CURL_HTTP_VERSION_1_1);
    curl_easy_setopt(easy_, CURLOPT_CONNECTTIMEOUT_MS,
                     static_cast<long>(options.connect_timeout.count()));
    curl_easy_setopt(
        easy_, CURLOPT_TIMEOUT_MS,
        static_cast<long>(std::max<std::int64_t>(1, options.timeout.count())));
    curl_easy_setopt(easy_, CURLOPT_OPENSOCKETFUNCTION, &OnOpenSocket);
    curl_easy_setopt(easy_, CURLOPT_OPENSOCKETDATA, easy_);
    curl_easy_setopt(easy_, CURLOPT_CUSTOMREQUEST, request.method.c_str());
    if (request.method == "HEAD") {
      curl_easy_setopt(easy_, CURLOPT_NOBODY, 1L);
    }
    if (!request.body.empty() || request.method == "POST" ||
        request.method == "PUT") {
      curl_easy_setopt(easy_, CURLOPT_POSTFIELDSIZE_LARGE,
                       static_cast<curl_off_t>(request.body.size()));
      curl_easy_setopt(easy_, CURLOPT_POSTFIELDS, request.body.data());
    }
    curl_easy_setopt(easy_, CURLOPT_HEADERFUNCTION, &OnHeader);
    curl_easy_setopt(easy_, CURLOPT_HEADERDATA, &transfer);
    curl_easy_setopt(easy_, CURLOPT_WRITEFUNCTION, &OnBody);
    curl_easy_setopt(easy_, CURLOPT_WRITEDATA, &transfer);
    // Waiting for an interim answer would add a round trip to each request.
    curl_slist* headers = curl_slist_append(nullptr, "Expect:");
    if (FindHeader(request.headers, "Content-Type") == nullptr) {
      headers = curl_slist_append(headers, "Content-Type:");
    }
    for (const auto& [key, value] : request.headers) {
      // The library takes "key:" as an order to leave the header out.
      const std::string line = value.empty() ? absl::StrCat(key, ";")
                                             : absl::StrCat(key, ": ", value);
      headers = curl_slist_append(headers, line.c_str());
    }
    curl_easy_setopt(easy_, CURLOPT_HTTPHEADER, headers);
    return headers;
  }

  CURLcode Drive(const Request& request,
                 const ExchangeOptions& options,
                 Transfer& transfer,
                 Failure& stopped) {
    bool sent = !options.on_sent;
    bool watches_caller = options.caller_socket >= 0;
    curl_waitfd caller = {.fd = options.caller_socket,
                          .events = CURL_WAIT_POLLIN};
    int running = 1;
    while (running != 0) {
      if (options.is_cancelled && options.is_cancelled()) {
        stopped = Failure::kCancelled;
        return CURLE_ABORTED_BY_CALLBACK;
      }
      if (watches_caller) {
        const SocketState state = StateOf(caller.fd);
        if (state == SocketState::kClosed) {
          stopped = Failure::kCallerGone;
          return CURLE_ABORTED_BY_CALLBACK;
        }
        // The socket stays readable, so waiting for it would spin.
        watches_caller = state == SocketState::kQuiet;
      }
      if (curl_multi_perform(multi_, &running) != CURLM_OK) {
        return CURLE_FAILED_INIT;
      }
      transfer.furthest =
          std::max(transfer.furthest, ProgressOf(request, transfer));
      if (!sent && transfer.furthest >= Progress::kSent) {
        sent = true;
        options.on_sent();
      }
      if (running != 0) {
        curl_multi_poll(multi_, watches_caller ? &caller : nullptr,
                        watches_caller ? 1 : 0, kMaxPollMs, nullptr);
      }
    }
    int left = 0;
    const CURLMsg* message = curl_multi_info_read(multi_, &left);
    return message == nullptr ? CURLE_FAILED_INIT : message->data.result;
  }

  void CountBytes(const ByteCounter& count_bytes) {
    long sent_head = 0;
    long received_head = 0;
    curl_off_t sent_body = 0;
    curl_off_t received_body = 0;
    curl_easy_getinfo(easy_, CURLINFO_REQUEST_SIZE, &sent_head);
    curl_easy_getinfo(easy_, CURLINFO_SIZE_UPLOAD_T, &sent_body);
    curl_easy_getinfo(easy_, CURLINFO_HEADER_SIZE, &received_head);
    curl_easy_getinfo(easy_, CURLINFO_SIZE_DOWNLOAD_T, &received_body);
    count_bytes(static_cast<std::uint64_t>(sent_head + sent_body),
                static_cast<std::uint64_t>(received_head + received_body));
  }

  Progress ProgressOf(const Request& request, const Transfer& transfer) {
    if (transfer.status_seen) {
      return Progress::kHeadersReceived;
    }
    long header_bytes = 0;
    curl_off_t body_bytes = 0;
    curl_off_t connected = 0;
    curl_easy_getinfo(easy_, CURLINFO_REQUEST_SIZE, &header_bytes);
    curl_easy_getinfo(easy_, CURLINFO_SIZE_UPLOAD_T, &body_bytes);
    curl_easy_getinfo(easy_, CURLINFO_PRETRANSFER_TIME_T, &connected);
    if (header_bytes == 0) {
      return connected > 0 ? Progress::kConnected : Progress::kNotConnected;
    }
    return body_bytes < static_cast<curl_off_t>(request.body.size())
               ? Progress::kSending
               : Progress::kSent;
  }

  CURL* easy_;
  CURLM* multi_;
  // Of the connection that was kept after a whole answer.
  curl_socket_t socket_ = CURL_SOCKET_BAD;
};

Client::Client(ByteCounter count_bytes) : count_bytes_(std::move(count_bytes)) {
  static const CURLcode kInitialized = curl_global_init(CURL_GLOBAL_DEFAULT);
  (void)kInitialized;
}

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
    if (idle.back()->IsQuiet()) {
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

// A connection whose exchange did not end with a whole answer is closed: the
// rest of that answer would be taken for the answer to the next request.
void Client::Release(const std::string& address,
                     std::unique_ptr<Connection> it) {
  const std::lock_guard<std::mutex> lock(mutex_);
  std::erase(active_, it.get());
  std::vector<std::unique_ptr<Connection>>& idle = idle_[address];
  if (it->is_open() && idle.size() < IdleLimit(address)) {
    idle.push_back(std::move(it));
  }
}

// Closes what is above the new limits.
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
