#ifndef TOUCANDOCK_PROXY_FORWARD_H_
#define TOUCANDOCK_PROXY_FORWARD_H_

#include <cstdint>
#include <string>

#include "absl/status/statusor.h"
#include "core/request/request_lifecycle.h"
#include "core/time.h"
#include "core/unit.h"
#include "http/client.h"
#include "http/message.h"

namespace toucandock::proxy {

// Path on the peer port that accepts forwarded requests. GET asks whether the
// host accepts them.
inline constexpr char kForwardPath[] = "/forward";

// Fields that an entry host sends to a target's queue host besides the request
// itself.
struct ForwardMetadata {
  std::string service;
  core::TargetId target;
  // Empty for a service that is not keyed.
  std::string key;
  core::Fence fence = 0;
  std::string request_id;
  std::string tenant;
  // Time until the deadline of the request.
  core::Duration remaining{};
};

struct Forward {
  ForwardMetadata metadata;
  // The request as it is sent to the target.
  http::Request request;
};

// Result of a forwarded request.
struct ForwardResult {
  core::request::AttemptResult attempt;
  http::Response answer;
  // The queue host does not accept requests; another path must be used.
  bool unavailable = false;
  // Number of requests that wait or run in the queue host's queue for the
  // target.
  std::uint32_t remote_queue_count = 0;
};

http::Request EncodeForward(const Forward& forward);
absl::StatusOr<Forward> ParseForward(const http::Request& request);
http::Response EncodeForwardResult(const ForwardResult& result);
ForwardResult ParseForwardResult(http::ExchangeResult exchange);

core::request::AttemptStage StageOf(http::Progress progress);

}  // namespace toucandock::proxy

#endif  // TOUCANDOCK_PROXY_FORWARD_H_
