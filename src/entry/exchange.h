#ifndef TOUCANDOCK_ENTRY_EXCHANGE_H_
#define TOUCANDOCK_ENTRY_EXCHANGE_H_

#include <boost/asio/steady_timer.hpp>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "core/routing/route_table.h"
#include "core/time.h"
#include "core/unit.h"
#include "entry/dispatcher.h"

namespace toucandock::entry {

// One request of a caller, from its arrival to its answer.
class Exchange {
 public:
  explicit Exchange(boost::asio::io_context& io) : timer(io) {}

  net::HttpRequest request;
  std::string request_id;
  // Address that the request came from.
  std::string caller;
  // The same for requests with the same content, and for those of this caller.
  std::string content_fingerprint;
  std::string caller_fingerprint;
  CallerAnswerHandler handler;
  // Keeps `route` alive.
  std::shared_ptr<const core::routing::RouteTable> routes;
  const core::routing::Route* route = nullptr;
  std::string service;
  std::optional<std::uint32_t> key;
  core::TimePoint arrived{};
  // The earlier of the caller's deadline and the route's timeout.
  core::TimePoint answer_by{};
  core::TimePoint wait_deadline{};
  boost::asio::steady_timer timer;
  int attempts = 0;
  bool may_have_run = false;
  bool waiting = false;
  bool done = false;
  // Record whose owner of the key said that it does not hold it.
  std::optional<core::Offset> misdirected_at;
  std::vector<core::discovery::TargetInstance> tried;
  std::shared_ptr<TargetHandle> current_target;
  std::shared_ptr<TargetConnection> connection;
  // Connections of earlier attempts. All attempts bear the same id, so that
  // what a target writes once more there could be taken for the answer to a
  // later attempt.
  std::vector<std::weak_ptr<TargetConnection>> used_connections;
  core::TimePoint sent_at{};
};

}  // namespace toucandock::entry

#endif  // TOUCANDOCK_ENTRY_EXCHANGE_H_
