#ifndef TOUCANDOCK_ENTRY_ROUTING_VIEW_H_
#define TOUCANDOCK_ENTRY_ROUTING_VIEW_H_

#include <map>
#include <memory>
#include <string>
#include <vector>

#include "absl/container/flat_hash_set.h"
#include "core/discovery/target_directory.h"
#include "core/keyspace/ownership.h"
#include "core/routing/route_table.h"

namespace toucandock::entry {

// What this host knows of requests that crash targets, by fingerprint.
struct PoisonView {
  absl::flat_hash_set<std::string> refused;
  // Those that were in flight when targets ended, with the version of the
  // software of the last one. The refused ones are among them.
  std::map<std::string, std::string> suspected;
  // Since the start of the process, to and from other hosts.
  std::uint64_t reports_sent = 0;
  std::uint64_t reports_received = 0;
};

// What requests are routed by. Made by the control thread, never changed once
// published to the traffic thread.
struct RoutingView {
  // Null until a configuration was read.
  std::shared_ptr<const core::routing::RouteTable> routes;
  // Targets by service; those that leave are left out.
  std::map<std::string, std::vector<core::discovery::ListedTarget>> targets;
  // Owners of the keys of keyed services.
  std::map<std::string, core::keyspace::OwnershipTable> ownership;
  int live_hosts = 1;
  std::shared_ptr<const PoisonView> poison = std::make_shared<PoisonView>();
  // Configuration, targets and owners were read from the store at least once.
  bool complete = false;
};

}  // namespace toucandock::entry

#endif  // TOUCANDOCK_ENTRY_ROUTING_VIEW_H_
