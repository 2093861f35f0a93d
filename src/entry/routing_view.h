#ifndef TOUCANDOCK_ENTRY_ROUTING_VIEW_H_
#define TOUCANDOCK_ENTRY_ROUTING_VIEW_H_

#include <chrono>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "absl/container/flat_hash_set.h"
#include "core/discovery/target_directory.h"
#include "core/keyspace/ownership.h"
#include "core/position.h"
#include "core/routing/route_table.h"

namespace toucandock::entry {

// Fingerprints of the requests that are known or suspected to crash targets.
struct PoisonView {
  absl::flat_hash_set<std::string> refused;
  // Requests that were in flight when targets ended, with the software version
  // of the last of these targets. Contains the refused ones as well.
  std::map<std::string, std::string> suspected;
  // Reports exchanged with other hosts since the start of the process.
  std::uint64_t reports_sent = 0;
  std::uint64_t reports_received = 0;
};

// The data by which requests are routed. Created by the control thread and
// immutable once published to the traffic thread.
struct RoutingView {
  // Null until a configuration has been read.
  std::shared_ptr<const core::routing::RouteTable> routes;
  // Targets by service, without those that are draining.
  std::map<std::string, std::vector<core::discovery::ListedTarget>> targets;
  // Failure domains that the operator has evacuated, and when this host learned
  // of it.
  std::map<std::string, core::TimePoint> evacuated;
  // Number of targets in these domains that own keys.
  size_t evacuated_owners = 0;
  // Owners of the keys of keyed services.
  std::map<std::string, core::keyspace::OwnershipTable> ownership;
  int live_hosts = 1;
  // Era of the store, and number of its responses whose era was odd.
  core::Era store_era = 0;
  std::uint64_t odd_store_eras = 0;
  std::shared_ptr<const PoisonView> poison = std::make_shared<PoisonView>();
  // The configuration, the targets and the owners have each been read from the
  // store at least once.
  bool complete = false;
  // Shows how long the traffic thread takes to use the view.
  core::TimePoint created_at = std::chrono::steady_clock::now();
};

}  // namespace toucandock::entry

#endif  // TOUCANDOCK_ENTRY_ROUTING_VIEW_H_
