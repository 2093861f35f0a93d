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

// Path on the peer port that takes requests for targets.
inline constexpr char kForwardPath[] = "/forward";

// What an entry host tells a target's home host besides the request.
struct ForwardMetadata {
  std::string service;
  core::TargetId target;
  // Empty for services that are not keyed.
  std::string key;
  core::Fence fence = 0;
  std::string request_id;
  std::string tenant;
  core::Duration remaining{};
};

struct Forward {
  ForwardMetadata metadata;
  // The request as it goes to the target.
  http::Request request;
};

// What became of a forwarded request.
struct ForwardResult {
  core::request::AttemptResult attempt;
  http::Response answer;
  // The home host takes no requests; another path must be used.
  bool unavailable = false;
  // Requests that wait or run in the home host's queue for the target.
  std::uint32_t remote_queue_count = 0;
};

http::Request EncodeForward(const Forward& forward);
absl::StatusOr<Forward> ParseForward(const http::Request& request);
http::Response EncodeForwardResult(const ForwardResult& result);
ForwardResult ParseForwardResult(http::ExchangeResult exchange);

core::request::AttemptStage StageOf(http::Progress progress);

}  // namespace toucandock::proxy

#endif  // TOUCANDOCK_PROXY_FORWARD_H_
