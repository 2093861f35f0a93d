#ifndef TOUCANDOCK_PROXY_CALLER_JOB_H_
#define TOUCANDOCK_PROXY_CALLER_JOB_H_

#include <optional>
#include <string>
#include <vector>

#include "proxy/caller_handler.h"

namespace toucandock::proxy {

// State of one request while it is served.
struct CallerHandler::Job {
  const http::Request& request;
  core::TimePoint received;
  std::string service_name;
  // Path of the request to the target, without the service name.
  std::string path;
  std::string key;
  std::string request_id;
  std::string tenant;
  // Copied, because the configuration in the snapshot may be replaced while the
  // request is served.
  core::config::ClassConfig request_class;
  core::TimePoint deadline;

  // Keeps the objects alive that `service` and `target` point to.
  PublishedView::Snapshot snapshot;
  const core::routing::ServiceRoute* service = nullptr;
  const core::routing::TargetRoute* target = nullptr;
  core::Unit unit;
  core::Fence fence = 0;
  // Targets of earlier attempts, which are avoided by later ones.
  std::vector<core::TargetId> tried;
  // True when another entry host received the request and chose the target.
  bool is_forwarded = false;
  http::Response answer;

  core::request::AttemptKey attempt;
  // True when the attempt may be recorded on the registry hosts.
  bool recorded = false;
  core::request::PoisonKey poison_key;

  // Returns the target whose in-flight count includes this request. Forwarded
  // requests are not counted, because only the requests that this host received
  // itself matter when it chooses a target.
  std::optional<core::TargetId> counted_target() const {
    return is_forwarded ? std::nullopt : std::optional(target->id);
  }
};

}  // namespace toucandock::proxy

#endif  // TOUCANDOCK_PROXY_CALLER_JOB_H_
