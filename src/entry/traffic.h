#ifndef TOUCANDOCK_ENTRY_TRAFFIC_H_
#define TOUCANDOCK_ENTRY_TRAFFIC_H_

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "absl/status/status.h"
#include "entry/caller_connection.h"
#include "entry/dispatcher.h"
#include "entry/settings.h"
#include "net/responder.h"

namespace toucandock::entry {

// The part of a host that runs on the traffic thread: connections of callers,
// the readiness check, the metrics and the requests in flight. All functions
// must be called on the thread of the I/O context.
class Traffic {
 public:
  Traffic(boost::asio::io_context& io,
          const EntrySettings& settings,
          const net::HeaderNames& names,
          DispatchHooks hooks);

  absl::Status Listen();
  // Addresses of the listening ports as "IP:PORT".
  std::string caller_address() const;
  std::string readiness_address() const;
  std::string metrics_address() const;
  void SetSettings(const EntrySettings& settings);
  void SetView(std::shared_ptr<const RoutingView> view);
  // Takes the leader's answers to questions about permits.
  void OnPermits(const std::vector<core::warmup::PermitAnswer>& answers) {
    dispatcher_.OnPermits(answers);
  }
  void SetAdmitted(const AdmittedView& admitted) {
    dispatcher_.SetAdmitted(admitted);
  }
  // Lets the requests in flight finish and then calls `stopped`, before the
  // stop limit of the settings.
  void Stop(std::function<void()> stopped);

 private:
  void Accept();
  void CheckStopped();
  void CheckLimits();
  void RemoveClosed();

  boost::asio::io_context& io_;
  EntrySettings settings_;
  const net::HeaderNames names_;
  Dispatcher dispatcher_;
  AnswerDelivery delivery_;
  net::Tcp::acceptor acceptor_;
  net::Responder readiness_;
  net::Responder metrics_;
  boost::asio::steady_timer stop_timer_;
  boost::asio::steady_timer limit_timer_;
  std::vector<std::weak_ptr<CallerConnection>> connections_;
  bool ready_ = false;
  bool stopping_ = false;
  std::chrono::steady_clock::time_point stop_started_at_{};
  // Time from which new connections are dropped.
  std::optional<std::chrono::steady_clock::time_point> drops_new_since_;
  std::function<void()> stopped_;
};

}  // namespace toucandock::entry

#endif  // TOUCANDOCK_ENTRY_TRAFFIC_H_
