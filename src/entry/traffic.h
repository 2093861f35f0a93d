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

// The traffic thread's part of a host: connections of callers, the readiness
// check, and the requests that run. All calls are made on the context's thread.
class Traffic {
 public:
  Traffic(boost::asio::io_context& io,
          const EntrySettings& settings,
          const net::HeaderNames& names,
          DispatchHooks hooks);

  absl::Status Listen();
  // "IP:PORT" of the ports that were bound.
  std::string caller_address() const;
  std::string readiness_address() const;
  std::string metrics_address() const;
  void SetSettings(const EntrySettings& settings);
  void SetView(std::shared_ptr<const RoutingView> view);
  // Ends what runs and then calls `stopped`, before the stop limit.
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
  net::Tcp::acceptor acceptor_;
  net::Responder readiness_;
  net::Responder metrics_;
  boost::asio::steady_timer stop_timer_;
  boost::asio::steady_timer limit_timer_;
  std::vector<std::weak_ptr<CallerConnection>> connections_;
  bool ready_ = false;
  bool stopping_ = false;
  std::chrono::steady_clock::time_point stop_started_at_{};
  // Since when no more connections come.
  std::optional<std::chrono::steady_clock::time_point> drops_new_since_;
  std::function<void()> stopped_;
};

}  // namespace toucandock::entry

#endif  // TOUCANDOCK_ENTRY_TRAFFIC_H_
