#ifndef TOUCANDOCK_ENTRY_EXCHANGE_H_
#define TOUCANDOCK_ENTRY_EXCHANGE_H_

#include <boost/asio/steady_timer.hpp>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "core/admission/return_times.h"
#include "core/admission/ticket.h"
#include "core/routing/route_table.h"
#include "core/time.h"
#include "core/unit.h"
#include "entry/dispatcher.h"

namespace toucandock::entry {

// One request of a caller, from its arrival to the response.
class Exchange {
 public:
  explicit Exchange(boost::asio::io_context& io) : timer(io) {}

  net::HttpRequest request;
  std::string request_id;
  // Address that the request came from.
  std::string caller;
  // Equal for all requests with the same content.
  std::string content_fingerprint;
  // Equal for all requests with the same content from the same caller address.
  std::string caller_fingerprint;
  CallerAnswerHandler handler;
  // Owns the object that `route` points to.
  std::shared_ptr<const core::routing::RouteTable> routes;
  const core::routing::Route* route = nullptr;
  std::string service;
  std::optional<std::uint32_t> key;
  core::TimePoint arrived{};
  // The earlier of the caller's deadline and the route's timeout.
  core::TimePoint answer_by{};
  // A response by then meets the latency goal of the route.
  core::TimePoint goal_by{};
  // A target that is unavailable for longer is not waited for.
  core::TimePoint wait_deadline{};
  boost::asio::steady_timer timer;
  int attempts = 0;
  bool may_have_run = false;
  // What is known of an earlier attempt of the caller.
  core::admission::ReturnedRequest returned;
  // Place in the waiting list of the service; zero if the request does not
  // wait.
  core::admission::Ticket ticket = 0;
  // The handler was called, or the exchange was cancelled.
  bool done = false;
  // It was logged that a target received no request because it leaves or
  // pauses.
  bool is_redirect_logged = false;
  // Offset of the ownership record by which the request was sent to a target
  // that responded that it does not hold the key.
  std::optional<core::Offset> misdirected_at;
  std::vector<core::discovery::TargetInstance> tried;
  std::shared_ptr<TargetHandle> current_target;
  std::shared_ptr<TargetConnection> connection;
  // Connections of all attempts, which later attempts must not reuse. All
  // attempts have the same id, so a response that a target sends twice there
  // could be taken for the response to a later attempt.
  std::vector<std::weak_ptr<TargetConnection>> used_connections;
  core::TimePoint sent_at{};
  // The cold target for which the request waits for a permit.
  std::optional<core::discovery::TargetInstance> awaits_permit_for;
  // With a permit: the time before which the request must be sent.
  std::optional<core::TimePoint> send_by;
  // The silence of the current attempt was taken to mean that the target is
  // full.
  bool is_target_silent = false;
};

}  // namespace toucandock::entry

#endif  // TOUCANDOCK_ENTRY_EXCHANGE_H_
