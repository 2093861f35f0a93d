#include "http/client.h"

#include <curl/curl.h>

#include <algorithm>
#include <utility>

#include "absl/strings/ascii.h"
#include "absl/strings/match.h"
#include "absl/strings/str_cat.h"

namespace toucandock::http {
namespace {

// Kept for each address; more are closed after use.
constexpr size_t kMaxIdle = 64;
// Longest sleep of an exchange between two looks at its state.
constexpr int kMaxPollMs = 1'000;

struct Transfer {
  const ExchangeOptions* options = nullptr;
  bool status_seen = false;
  bool too_large = false;
  Response response;
};

size_t OnHeader(char* data, size_t size, size_t n, void* user) {
  auto* transfer = static_cast<Transfer*>(user);
  const absl::string_view line =
      absl::StripAsciiWhitespace(absl::string_view(data, size * n));
  if (absl::StartsWith(line, "HTTP/")) {
    // An interim answer (1xx) may come before the final one.
    transfer->response.headers.clear();
    transfer->status_seen = true;
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
  if (transfer->response.body.size() + size * n > transfer->options->max_body) {
    transfer->too_large = true;
    return 0;
  }
  transfer->response.body.append(data, size * n);
  return size * n;
}

// Without a length or chunks, the end of the connection would be taken for the
// end of the answer, so a cut answer could not be told from a whole one.
bool HasKnownLength(const Request& request, const Response& response) {
  return request.method == "HEAD" || response.status == 204 ||
         response.status == 304 ||
         FindHeader(response.headers, "Content-Length") != nullptr ||
         FindHeader(response.headers, "Transfer-Encoding") != nullptr;
}

Failure FailureOf(CURLcode code, const Transfer& transfer) {
  if (transfer.too_large) {
    return Failure::kTooLarge;
  }
  switch (code) {
    case CURLE_OK:
      return Failure::kNone;
    case CURLE_COULDNT_CONNECT:
      return Failure::kRefused;
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

  ExchangeResult Run(const std::string& address,
                     const Request& request,
                     const ExchangeOptions& options) {
    Transfer transfer;
    transfer.options = &options;
    curl_slist* headers = SetUp(address, request, options, transfer);
    curl_multi_add_handle(multi_, easy_);
    bool cancelled = false;
    const CURLcode code = Drive(request, options, transfer, cancelled);
    ExchangeResult result;
    result.progress = ProgressOf(request, transfer);
    result.failure =
        cancelled ? Failure::kCancelled : FailureOf(code, transfer);
    long status = 0;
    curl_easy_getinfo(easy_, CURLINFO_RESPONSE_CODE, &status);
    transfer.response.status = static_cast<int>(status);
    if (code == CURLE_OK && !cancelled) {
      const bool whole = HasKnownLength(request, transfer.response);
      result.progress =
          whole ? Progress::kComplete : Progress::kHeadersReceived;
      result.failure = whole ? Failure::kNone : Failure::kBroken;
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
    if (options.fresh_connection) {
      curl_easy_setopt(easy_, CURLOPT_FRESH_CONNECT, 1L);
    }
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
      headers =
          curl_slist_append(headers, absl::StrCat(key, ": ", value).c_str());
    }
    curl_easy_setopt(easy_, CURLOPT_HTTPHEADER, headers);
    return headers;
  }

  CURLcode Drive(const Request& request,
                 const ExchangeOptions& options,
                 const Transfer& transfer,
                 bool& cancelled) {
    bool sent = !options.on_sent;
    int running = 1;
    while (running != 0) {
      if (options.is_cancelled && options.is_cancelled()) {
        cancelled = true;
        return CURLE_ABORTED_BY_CALLBACK;
      }
      if (curl_multi_perform(multi_, &running) != CURLM_OK) {
        return CURLE_FAILED_INIT;
      }
      if (!sent && ProgressOf(request, transfer) >= Progress::kSent) {
        sent = true;
        options.on_sent();
      }
      if (running != 0) {
        curl_multi_poll(multi_, nullptr, 0, kMaxPollMs, nullptr);
      }
    }
    int left = 0;
    const CURLMsg* message = curl_multi_info_read(multi_, &left);
    return message == nullptr ? CURLE_FAILED_INIT : message->data.result;
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
};

Client::Client() {
  static const CURLcode kInitialized = curl_global_init(CURL_GLOBAL_DEFAULT);
  (void)kInitialized;
}

Client::~Client() = default;

ExchangeResult Client::Exchange(const std::string& address,
                                const Request& request,
                                const ExchangeOptions& options) {
  std::unique_ptr<Connection> connection = Acquire(address);
  ExchangeResult result = connection->Run(address, request, options);
  Release(address, std::move(connection));
  return result;
}

void Client::WakeAll() {
  const std::lock_guard<std::mutex> lock(mutex_);
  for (Connection* it : active_) {
    it->Wake();
  }
}

std::unique_ptr<Client::Connection> Client::Acquire(
    const std::string& address) {
  const std::lock_guard<std::mutex> lock(mutex_);
  std::vector<std::unique_ptr<Connection>>& idle = idle_[address];
  std::unique_ptr<Connection> connection;
  if (idle.empty()) {
    connection = std::make_unique<Connection>();
  } else {
    connection = std::move(idle.back());
    idle.pop_back();
  }
  active_.push_back(connection.get());
  return connection;
}

void Client::Release(const std::string& address,
                     std::unique_ptr<Connection> it) {
  const std::lock_guard<std::mutex> lock(mutex_);
  std::erase(active_, it.get());
  std::vector<std::unique_ptr<Connection>>& idle = idle_[address];
  if (idle.size() < kMaxIdle) {
    idle.push_back(std::move(it));
  }
}

}  // namespace toucandock::http
