#ifndef TOUCANDOCK_CORE_ROUTING_ROUTING_SNAPSHOT_H_
#define TOUCANDOCK_CORE_ROUTING_ROUTING_SNAPSHOT_H_

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

#include "absl/container/flat_hash_map.h"
#include "absl/strings/string_view.h"
#include "core/config/config.h"
#include "core/control/records.h"
#include "core/control/replica.h"
#include "core/error_kind.h"
#include "core/unit.h"

namespace toucandock::core::routing {

struct TargetRoute {
  TargetId id;
  std::string address;
  bool checks_fences = false;
  bool lost = false;
  bool draining = false;
  bool cold = false;
};

struct UnitRoute {
  // Index into ServiceRoute::targets; negative if the unit has no owner now.
  int target = -1;
  Fence fence = 0;
};

struct ServiceRoute {
  config::ServiceConfig config;
  std::vector<TargetRoute> targets;
  std::vector<UnitRoute> shards;
  absl::flat_hash_map<std::uint64_t, UnitRoute> hot_keys;
};

// The data by which requests are routed; immutable once published.
struct RoutingSnapshot {
  std::uint64_t sequence = 0;
  std::uint64_t config_version = 0;
  absl::flat_hash_map<std::string, ServiceRoute> services;
  // Members of the fleet that are not marked as unavailable.
  std::vector<control::HostInfo> hosts;
};

// Owner of a key at the time of the snapshot.
struct KeyRoute {
  const TargetRoute* target = nullptr;
  Unit unit;
  Fence fence = 0;
};

std::shared_ptr<const RoutingSnapshot> BuildSnapshot(
    const control::Replica& replica);

const ServiceRoute* FindService(const RoutingSnapshot& snapshot,
                                absl::string_view name);

KeyRoute RouteKey(const ServiceRoute& service, absl::string_view key);

}  // namespace toucandock::core::routing

#endif  // TOUCANDOCK_CORE_ROUTING_ROUTING_SNAPSHOT_H_
