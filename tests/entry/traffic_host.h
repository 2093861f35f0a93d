#ifndef TOUCANDOCK_TESTS_ENTRY_TRAFFIC_HOST_H_
#define TOUCANDOCK_TESTS_ENTRY_TRAFFIC_HOST_H_

#include "entry/traffic.h"

#include <doctest/doctest.h>

#include <boost/asio/post.hpp>
#include <chrono>
#include <cstdint>
#include <functional>
#include <future>
#include <memory>
#include <string>
#include <thread>
#include <utility>

#include "http/raw_target.h"

namespace toucandock::entry {

inline constexpr std::chrono::milliseconds kHeaderTimeout{600};
inline constexpr std::chrono::milliseconds kIdleTimeout{700};

inline core::routing::Route RouteTo(const std::string& service,
                                    const std::string& prefix) {
  return {.host = "x",
          .path_prefix = prefix,
          .services = {{.service = service}},
          .kind = core::routing::RouteKind::kSafe,
          .timeout = std::chrono::milliseconds(9'000),
          .latency_goal = std::chrono::milliseconds(9'000)};
}

// The traffic thread of a host whose configuration has two routes: to a service
// without targets, whose requests wait for a third of their time, and to a
// service with one target, which by default closes each connection.
class TrafficHost {
 public:
  explicit TrafficHost(
      http::RawTarget::Serve serve = [](http::RawConnection&) {},
      std::uint32_t body_limit = core::routing::CallerLimits{}.body_bytes)
      : target_(std::move(serve)),
        traffic_(io_,
                 settings_,
                 {.request_id = "Id", .answer_digest = "Digest"},
                 {.report_load = [](const core::keyspace::LoadReport&) {},
                  .report_poison = [](const PoisonUpdate&) {}}) {
    REQUIRE(traffic_.Listen().ok());
    auto view = std::make_shared<RoutingView>();
    view->routes =
        std::make_shared<core::routing::RouteTable>(core::routing::RouteConfig{
            .version = 1,
            .routes = {RouteTo("none", "/wait/"), RouteTo("one", "/run/")},
            .limits = {.body_bytes = body_limit,
                       .header_timeout = kHeaderTimeout,
                       .idle_timeout = kIdleTimeout}});
    view->targets["one"] = {
        {.entry = {.instance = {.id = "t1", .start_time_ms = 1},
                   .service = "one",
                   .address = target_.address(),
                   .slots = 4}}};
    view->complete = true;
    traffic_.SetView(std::move(view));
    address_ = traffic_.caller_address();
    readiness_address_ = traffic_.readiness_address();
    thread_ = std::thread([this] { io_.run(); });
  }

  ~TrafficHost() {
    io_.stop();
    thread_.join();
  }

  TrafficHost(const TrafficHost&) = delete;
  TrafficHost& operator=(const TrafficHost&) = delete;

  const std::string& address() const { return address_; }
  const std::string& readiness_address() const { return readiness_address_; }
  const http::RawTarget& target() const { return target_; }

  // Applies changed settings, as a reload does.
  void ChangeSettings(const std::function<void(EntrySettings&)>& change) {
    std::promise<void> applied;
    boost::asio::post(io_, [&] {
      change(settings_);
      traffic_.SetSettings(settings_);
      applied.set_value();
    });
    applied.get_future().wait();
  }

  void Stop() {
    std::promise<void> stopped;
    boost::asio::post(io_,
                      [&] { traffic_.Stop([&] { stopped.set_value(); }); });
    stopped.get_future().wait();
  }

 private:
  EntrySettings settings_{.host_name = "h",
                          .ip = "127.0.0.1",
                          .caller_address = "127.0.0.1:0",
                          .readiness_address = "127.0.0.1:0"};
  http::RawTarget target_;
  boost::asio::io_context io_;
  Traffic traffic_;
  std::string address_;
  std::string readiness_address_;
  std::thread thread_;
};

}  // namespace toucandock::entry

#endif  // TOUCANDOCK_TESTS_ENTRY_TRAFFIC_HOST_H_
