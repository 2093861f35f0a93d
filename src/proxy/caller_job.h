#ifndef TOUCANDOCK_PROXY_CALLER_JOB_H_
#define TOUCANDOCK_PROXY_CALLER_JOB_H_

#include <optional>
#include <string>
#include <vector>

#include "proxy/caller_handler.h"

namespace toucandock::proxy {

// One request on its way through the front.
struct CallerHandler::Job {
  const http::Request& request;
  core::TimePoint received;
  std::string service_name;
  // Path that the target sees.
  std::string path;
  std::string key;
  std::string request_id;
  std::string tenant;
  // A copy, since the snapshot that it comes from may be replaced.
  core::config::ClassConfig request_class;
  core::TimePoint deadline;

  PublishedView::Snapshot snapshot;
  const core::routing::ServiceRoute* service = nullptr;
  const core::routing::TargetRoute* target = nullptr;
  core::Unit unit;
  core::Fence fence = 0;
  std::vector<core::TargetId> tried;
  // Another entry host chose the target.
  bool is_forwarded = false;
  http::Response answer;

  core::request::AttemptKey attempt;
  bool recorded = false;
  core::request::PoisonKey poison_key;

  // Only this host's own requests count when it chooses a target.
  std::optional<core::TargetId> counted_target() const {
    return is_forwarded ? std::nullopt : std::optional(target->id);
  }
};

}  // namespace toucandock::proxy

#endif  // TOUCANDOCK_PROXY_CALLER_JOB_H_
