#include "http/server.h"

#include <arpa/inet.h>
#include <microhttpd.h>
#include <sys/socket.h>
#include <ulfius.h>
#include <unistd.h>

#include <atomic>
#include <cerrno>
#include <condition_variable>
#include <cstring>
#include <mutex>
#include <utility>

#include "absl/strings/ascii.h"
#include "absl/strings/match.h"
#include "absl/strings/numbers.h"
#include "absl/strings/str_cat.h"

namespace toucandock::http {
namespace {

constexpr int kListenBacklog = 512;

// Whether this connection's thread has a request that has not ended.
thread_local bool is_serving = false;

absl::StatusOr<sockaddr_in> ParseAddress(const std::string& address) {
  const size_t colon = address.rfind(':');
  sockaddr_in result = {};
  result.sin_family = AF_INET;
  std::uint32_t port = 0;
  if (colon == std::string::npos ||
      inet_pton(AF_INET, address.substr(0, colon).c_str(), &result.sin_addr) !=
          1 ||
      !absl::SimpleAtoi(address.substr(colon + 1), &port) || port > 65'535) {
    return absl::InvalidArgumentError(
        absl::StrCat("'", address, "' is not IP:PORT"));
  }
  result.sin_port = htons(static_cast<std::uint16_t>(port));
  return result;
}

absl::Status SocketError(absl::string_view what, const std::string& address) {
  return absl::UnavailableError(
      absl::StrCat("cannot ", what, " ", address, ": ", std::strerror(errno)));
}

// Connection that the current thread serves.
thread_local int connection_socket = -1;

// The library shows the connection to this callback only; it runs on the
// connection's thread before the request is handled.
void* OnUri(void* options, const char* uri, MHD_Connection* connection) {
  const MHD_ConnectionInfo* info =
      MHD_get_connection_info(connection, MHD_CONNECTION_INFO_CONNECTION_FD);
  connection_socket = info == nullptr ? -1 : info->connect_fd;
  return ulfius_uri_logger(options, uri);
}

Request Convert(const _u_request& from, size_t max_body) {
  Request request;
  request.method = from.http_verb;
  request.socket = connection_socket;
  const std::string url = from.http_url == nullptr ? "/" : from.http_url;
  const size_t n = url.find('?');
  request.path = url.substr(0, n);
  if (n != std::string::npos) {
    request.query = url.substr(n + 1);
  }
  const char** keys = u_map_enum_keys(from.map_header);
  for (size_t k = 0; keys != nullptr && keys[k] != nullptr; ++k) {
    const char* value = u_map_get(from.map_header, keys[k]);
    request.headers.emplace_back(keys[k], value == nullptr ? "" : value);
  }
  request.body_too_large = from.binary_body_length > max_body;
  request.body.assign(static_cast<const char*>(from.binary_body),
                      std::min(from.binary_body_length, max_body));
  return request;
}

// Returns the n-th way to write a name in lower and upper case.
std::string Spelling(std::string name, unsigned n) {
  for (char& it : name) {
    if (absl::ascii_isalpha(it)) {
      it = n % 2 == 0 ? it : absl::ascii_toupper(it);
      n /= 2;
    }
  }
  return name;
}

// Fills a map that keeps one value for each spelling of a name. Values of one
// name are joined (RFC 9110, section 5.2), except cookies, which cannot be:
// each gets a spelling of its own.
void PutHeaders(const Headers& headers, _u_map& map) {
  unsigned cookies = 0;
  for (const auto& [key, value] : headers) {
    if (absl::EqualsIgnoreCase(key, "Set-Cookie")) {
      u_map_put(&map, Spelling("set-cookie", cookies++).c_str(), value.c_str());
      continue;
    }
    const char* earlier = u_map_get_case(&map, key.c_str());
    if (earlier == nullptr) {
      u_map_put(&map, key.c_str(), value.c_str());
    } else {
      const std::string joined = absl::StrCat(earlier, ", ", value);
      u_map_remove_from_key_case(&map, key.c_str());
      u_map_put(&map, key.c_str(), joined.c_str());
    }
  }
}

class UlfiusServer : public Server {
 public:
  UlfiusServer(ServerOptions options, Handler handler)
      : options_(std::move(options)), handler_(std::move(handler)) {}

  UlfiusServer(const UlfiusServer&) = delete;
  UlfiusServer& operator=(const UlfiusServer&) = delete;

  ~UlfiusServer() override {
    if (started_) {
      ulfius_stop_framework(&instance_);
    }
    if (initialized_) {
      ulfius_clean_instance(&instance_);
    }
  }

  absl::Status Init() {
    absl::StatusOr<sockaddr_in> parsed = ParseAddress(options_.address);
    if (!parsed.ok()) {
      return parsed.status();
    }
    const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int on = 1;
    setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
    socklen_t length = sizeof(sockaddr_in);
    auto* address = reinterpret_cast<sockaddr*>(&*parsed);
    if (fd < 0 || bind(fd, address, length) != 0 ||
        listen(fd, kListenBacklog) != 0 ||
        getsockname(fd, address, &length) != 0) {
      absl::Status status = SocketError("listen on", options_.address);
      if (fd >= 0) {
        close(fd);
      }
      return status;
    }
    port_ = ntohs(parsed->sin_port);
    address_ = absl::StrCat(
        options_.address.substr(0, options_.address.rfind(':')), ":", port_);
    return StartOn(fd);
  }

  const std::string& address() const override { return address_; }
  std::uint16_t port() const override { return port_; }

  // Accepts no more connections, tells callers to close theirs, and waits
  // until no request is in service. Returns false when the limit passed.
  bool Drain(std::chrono::milliseconds limit) override {
    draining_ = true;
    const int fd = MHD_quiesce_daemon(instance_.mhd_daemon);
    if (fd >= 0) {
      close(fd);
    }
    std::unique_lock<std::mutex> lock(mutex_);
    return idle_.wait_for(lock, limit, [this] { return active_ == 0; });
  }

 private:
  absl::Status StartOn(int fd) {
    if (ulfius_init_instance(&instance_, port_, nullptr, nullptr) != U_OK) {
      close(fd);
      return absl::InternalError("cannot set up the HTTP server");
    }
    initialized_ = true;
    // One byte more than allowed, so that a longer body is noticed.
    instance_.max_post_body_size = options_.max_body + 1;
    instance_.check_utf8 = 0;
    // Bodies are passed on as they are. The library closes the connection
    // without an answer when it cannot parse a form.
    instance_.allowed_post_processor = U_POST_PROCESS_NONE;
    ulfius_set_default_endpoint(&instance_, &UlfiusServer::OnRequest, this);
    MHD_OptionItem mhd_options[] = {
        {MHD_OPTION_NOTIFY_COMPLETED,
         reinterpret_cast<intptr_t>(&UlfiusServer::OnCompleted), this},
        {MHD_OPTION_URI_LOG_CALLBACK, reinterpret_cast<intptr_t>(OnUri),
         nullptr},
        {MHD_OPTION_LISTEN_SOCKET, fd, nullptr},
        {MHD_OPTION_CONNECTION_LIMIT,
         static_cast<intptr_t>(options_.max_connections), nullptr},
        {MHD_OPTION_CONNECTION_MEMORY_LIMIT,
         static_cast<intptr_t>(options_.max_headers + kMemoryOverhead),
         nullptr},
        {MHD_OPTION_CONNECTION_TIMEOUT,
         static_cast<intptr_t>(options_.idle_timeout.count()), nullptr},
        {MHD_OPTION_END, 0, nullptr},
    };
    if (ulfius_start_framework_with_mhd_options(
            &instance_,
            MHD_USE_THREAD_PER_CONNECTION | MHD_USE_INTERNAL_POLLING_THREAD |
                MHD_USE_POLL | MHD_USE_ITC,
            mhd_options) != U_OK) {
      close(fd);
      return SocketError("serve on", address_);
    }
    started_ = true;
    return absl::OkStatus();
  }

  static int OnRequest(const _u_request* request,
                       _u_response* response,
                       void* self) {
    static_cast<UlfiusServer*>(self)->Serve(*request, *response);
    return U_CALLBACK_COMPLETE;
  }

  // Called on the connection's thread when the answer was written or the
  // connection broke. Only here has a request ended: after its handler has
  // returned, the answer is still to be written.
  static void OnCompleted(void* self,
                          MHD_Connection* connection,
                          void** state,
                          MHD_RequestTerminationCode code) {
    mhd_request_completed(nullptr, connection, state, code);
    if (is_serving) {
      is_serving = false;
      static_cast<UlfiusServer*>(self)->End();
    }
  }

  void End() {
    const std::lock_guard<std::mutex> lock(mutex_);
    if (--active_ == 0) {
      idle_.notify_all();
    }
  }

  void Serve(const _u_request& request, _u_response& response) {
    {
      const std::lock_guard<std::mutex> lock(mutex_);
      ++active_;
    }
    is_serving = true;
    const Response answer = handler_(Convert(request, options_.max_body));
    PutHeaders(answer.headers, *response.map_header);
    if (draining_) {
      u_map_put(response.map_header, "Connection", "close");
    }
    ulfius_set_binary_body_response(&response, answer.status,
                                    answer.body.data(), answer.body.size());
  }

  // Memory that the library takes for a connection besides its headers.
  static constexpr size_t kMemoryOverhead = 16 << 10;

  const ServerOptions options_;
  const Handler handler_;
  _u_instance instance_ = {};
  bool initialized_ = false;
  bool started_ = false;
  std::string address_;
  std::uint16_t port_ = 0;
  std::atomic<bool> draining_ = false;
  std::mutex mutex_;
  std::condition_variable idle_;
  int active_ = 0;
};

}  // namespace

absl::StatusOr<std::unique_ptr<Server>> Server::Start(
    const ServerOptions& options,
    Handler handler) {
  auto server = std::make_unique<UlfiusServer>(options, std::move(handler));
  if (absl::Status status = server->Init(); !status.ok()) {
    return status;
  }
  return server;
}

}  // namespace toucandock::http
