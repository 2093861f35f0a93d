#include "entry/traffic.h"

#include <algorithm>
#include <utility>

#include "absl/strings/str_cat.h"
#include "entry/contained_exception.h"
#include "entry/event_log.h"
#include "entry/thread_lag.h"

namespace toucandock::entry {
namespace {

namespace http = boost::beast::http;
using boost::system::error_code;
using std::chrono::milliseconds;

// The load balancer checks readiness once a second and removes a host after two
// failed checks.
constexpr milliseconds kBalancerNoticeTime{2'600};
constexpr milliseconds kStopCheckInterval{50};
// Connections that were established before new ones are dropped have sent their
// requests after this time.
constexpr milliseconds kLastRequestTime{300};
// The time limits of callers are several seconds, so they are checked this
// often.
constexpr milliseconds kLimitCheckInterval{500};
// Part of the stop limit that is reserved for the errors that end the last
// requests.
constexpr milliseconds kShutdownMargin{500};
// Part of the stop limit that is reserved for the end of the process; until
// then, callers may take their answers.
constexpr milliseconds kExitTime{150};
// From this number of connections on, entries of closed ones are removed before
// a new connection is added.
constexpr size_t kRemovalStep = 256;

std::string ToString(const net::Tcp::endpoint& endpoint) {
  return absl::StrCat(endpoint.address().to_string(), ":", endpoint.port());
}

DispatchOptions DispatchOptionsFor(const EntrySettings& settings) {
  DispatchOptions options;
  options.evacuation.limit = settings.evacuation_limit;
  options.evacuation.notice_delay = settings.change_limit;
  return options;
}

}  // namespace

Traffic::Traffic(boost::asio::io_context& io,
                 const EntrySettings& settings,
                 const net::HeaderNames& names,
                 DispatchHooks hooks)
    : io_(io),
      settings_(settings),
      names_(names),
      dispatcher_(io,
                  names,
                  settings.failure_domain,
                  settings.retries,
                  DispatchOptionsFor(settings),
                  std::move(hooks)),
      delivery_{.read_limit = settings.caller_read_limit,
                .held = std::make_shared<core::request::HeldAnswers>(
                    core::request::HeldAnswerLimits{})},
      acceptor_(io),
      readiness_(
          io,
          [this](const net::HttpRequest&) {
            net::HttpResponse response;
            response.result(ready_ && !stopping_
                                ? http::status::ok
                                : http::status::service_unavailable);
            return response;
          },
          ReportException),
      metrics_(
          io,
          [this](const net::HttpRequest&) {
            EntryMetrics& metrics = dispatcher_.metrics();
            metrics.SetPoison(*dispatcher_.view().poison);
            dispatcher_.UpdateCapacityMetrics();
            metrics.SetRunning(dispatcher_.running());
            metrics.SetEvacuations(dispatcher_.view().evacuated.size(),
                                   dispatcher_.view().evacuated_owners);
            metrics.SetStoreEra(dispatcher_.view().store_era,
                                dispatcher_.view().odd_store_eras);
            const auto& routes = dispatcher_.view().routes;
            metrics.SetConfig(routes ? routes->config()
                                     : core::routing::RouteConfig{});
            net::HttpResponse response;
            response.result(http::status::ok);
            response.set(http::field::content_type, "text/plain");
            response.body() = metrics.Text();
            return response;
          },
          ReportException),
      stop_timer_(io),
      limit_timer_(io) {}

absl::Status Traffic::Listen() {
  absl::Status status = net::OpenAcceptor(acceptor_, settings_.caller_address);
  if (status.ok()) {
    status = readiness_.Listen(settings_.readiness_address);
  }
  if (status.ok() && settings_.metrics_port != 0) {
    status = metrics_.Listen(
        absl::StrCat(settings_.ip, ":", settings_.metrics_port));
  }
  if (status.ok()) {
    Accept();
    CheckLimits();
  }
  return status;
}

std::string Traffic::caller_address() const {
  error_code ec;
  return ToString(acceptor_.local_endpoint(ec));
}

std::string Traffic::readiness_address() const {
  return ToString(readiness_.endpoint());
}

std::string Traffic::metrics_address() const {
  return ToString(metrics_.endpoint());
}

void Traffic::SetSettings(const EntrySettings& settings) {
  settings_ = settings;
  delivery_.read_limit = settings.caller_read_limit;
  dispatcher_.SetRetryOptions(settings.retries);
}

void Traffic::SetView(std::shared_ptr<const RoutingView> view) {
  const bool ready = view->complete;
  const auto delay = std::chrono::steady_clock::now() - view->created_at;
  dispatcher_.metrics().ObserveViewDelay(delay);
  if (delay >= kReportedLag) {
    LogEvent(
        "view_late",
        {{"delay_ms", std::chrono::duration_cast<milliseconds>(delay).count()},
         {"config", view->routes ? view->routes->config().version : 0}});
  }
  dispatcher_.SetView(std::move(view));
  if (ready && !ready_) {
    LogEvent("ready", {});
  }
  ready_ = ready_ || ready;
}

void Traffic::Accept() {
  auto connection =
      std::make_shared<CallerConnection>(io_, dispatcher_, names_, delivery_);
  acceptor_.async_accept(connection->socket, [this, connection](error_code ec) {
    if (ec == boost::asio::error::operation_aborted) {
      return;
    }
    if (!ec) {
      if (connections_.size() >= kRemovalStep) {
        RemoveClosed();
      }
      connections_.push_back(connection);
      if (stopping_) {
        connection->BeginStop();
      }
      connection->Start();
    }
    Accept();
  });
}

void Traffic::RemoveClosed() {
  std::erase_if(connections_, [](const std::weak_ptr<CallerConnection>& it) {
    return it.expired();
  });
}

// Reports "not ready" at once, continues to serve new requests until the load
// balancer has removed this host, then closes idle connections and waits for
// the requests in flight.
void Traffic::Stop(std::function<void()> stopped) {
  if (stopping_) {
    return;
  }
  LogEvent("stopping", {{"running", dispatcher_.running()}});
  stopping_ = true;
  stopped_ = std::move(stopped);
  stop_started_at_ = std::chrono::steady_clock::now();
  for (const auto& it : connections_) {
    if (const auto connection = it.lock()) {
      connection->BeginStop();
    }
  }
  CheckStopped();
}

void Traffic::CheckStopped() {
  const auto now = std::chrono::steady_clock::now();
  const auto elapsed = now - stop_started_at_;
  bool has_work = dispatcher_.running() > 0;
  if (elapsed >= kBalancerNoticeTime) {
    dispatcher_.BeginRefusing();
    for (const auto& it : connections_) {
      if (const auto connection = it.lock()) {
        connection->CloseIfIdle(kLastRequestTime);
        has_work = has_work || connection->HasWork();
      }
    }
  }
  if (elapsed >= kBalancerNoticeTime + kLastRequestTime && !drops_new_since_) {
    net::DropNewConnections(acceptor_);
    drops_new_since_ = now;
  }
  if (elapsed >= settings_.stop_limit - kShutdownMargin) {
    dispatcher_.FailAll();
  }
  has_work = has_work && elapsed < settings_.stop_limit - kExitTime;
  const bool is_last = drops_new_since_ && !has_work &&
                       now - *drops_new_since_ >= kLastRequestTime;
  // Waits for another interval before the end, so that the last responses are
  // still written.
  stop_timer_.expires_after(kStopCheckInterval);
  stop_timer_.async_wait([this, is_last](error_code ec) {
    if (ec) {
      return;
    }
    if (is_last) {
      stopped_();
    } else {
      CheckStopped();
    }
  });
}

void Traffic::CheckLimits() {
  const auto now = std::chrono::steady_clock::now();
  for (const auto& it : connections_) {
    if (const auto connection = it.lock()) {
      connection->CheckLimits(now);
    }
  }
  limit_timer_.expires_after(kLimitCheckInterval);
  limit_timer_.async_wait([this](error_code ec) {
    if (!ec) {
      dispatcher_.metrics().ObserveThreadLag(
          ReportLateTimer("traffic", limit_timer_.expiry()));
      CheckLimits();
    }
  });
}

}  // namespace toucandock::entry
