#include "core/routing/routing_snapshot.h"

#include <map>
#include <utility>

namespace toucandock::core::routing {
namespace {

using control::Assignment;
using control::MovePhase;
using control::Replica;
using control::UnitMove;

class ServiceBuilder {
 public:
  ServiceBuilder(const Replica& replica, const config::ServiceConfig& config)
      : replica_(replica) {
    route_.config = config;
    for (const config::TargetConfig& it : config.targets) {
      AddTarget(it);
    }
  }

  ServiceRoute Build() {
    if (!route_.config.keyed) {
      return std::move(route_);
    }
    const std::string& name = route_.config.name;
    for (std::uint64_t n = 0; n < route_.config.shards; ++n) {
      route_.shards.push_back(RouteOf({name, n}));
    }
    const Unit first_hot{name, kHotKeyBit};
    const auto& assignments = replica_.state().assignments;
    for (auto it = assignments.lower_bound(first_hot);
         it != assignments.end() && it->first.service == name; ++it) {
      route_.hot_keys[it->first.number] = RouteOf(it->first);
    }
    for (const UnitMove& move : replica_.leader_state().moves) {
      if (move.unit.service != name || !IsHotKey(move.unit)) {
        continue;
      }
      if (move.to.owner.empty() && move.phase == MovePhase::kActive) {
        // The key has been returned to its shard.
        route_.hot_keys.erase(move.unit.number);
      } else {
        route_.hot_keys[move.unit.number] = RouteOf(move.unit);
      }
    }
    return std::move(route_);
  }

 private:
  void AddTarget(const config::TargetConfig& target) {
    const control::LeaderState& leader_state = replica_.leader_state();
    const TargetId id = config::MakeTargetId(route_.config, target);
    index_[id] = static_cast<int>(route_.targets.size());
    route_.targets.push_back({.id = id,
                              .address = target.address,
                              .checks_fences = target.checks_fences,
                              .lost = leader_state.lost.contains(id),
                              .draining = leader_state.draining.contains(id),
                              .cold = leader_state.cold.contains(id)});
  }

  UnitRoute RouteOf(const Unit& unit) const {
    const Assignment assignment = replica_.AssignmentOf(unit);
    const UnitMove* move = replica_.MoveOf(unit);
    if (move != nullptr && move->phase != MovePhase::kActive) {
      return {};
    }
    const auto it = index_.find(assignment.owner);
    if (it == index_.end()) {
      return {};
    }
    return {it->second, assignment.fence};
  }

  const Replica& replica_;
  ServiceRoute route_;
  std::map<TargetId, int> index_;
};

}  // namespace

std::shared_ptr<const RoutingSnapshot> BuildSnapshot(const Replica& replica) {
  auto snapshot = std::make_shared<RoutingSnapshot>();
  snapshot->sequence = replica.leader_state().sequence;
  snapshot->config_version = replica.config_version();
  for (const auto& [id, member] : replica.state().members) {
    if (!replica.leader_state().unavailable_hosts.contains(id)) {
      snapshot->hosts.push_back(member.host);
    }
  }
  if (replica.config() == nullptr) {
    return snapshot;
  }
  for (const config::ServiceConfig& service : replica.config()->services) {
    snapshot->services[service.name] = ServiceBuilder(replica, service).Build();
  }
  return snapshot;
}

// Returns nullptr when no service has this name.
const ServiceRoute* FindService(const RoutingSnapshot& snapshot,
                                absl::string_view name) {
  const auto it = snapshot.services.find(name);
  return it == snapshot.services.end() ? nullptr : &it->second;
}

// Returns the owner of the key; `target` is nullptr while the key's unit has no
// owner. The cost does not depend on the number of keys, targets or hot keys.
KeyRoute RouteKey(const ServiceRoute& service, absl::string_view key) {
  const std::uint64_t hash = HashKey(key);
  KeyRoute route;
  route.unit.service = service.config.name;
  const UnitRoute* unit = nullptr;
  const auto hot = service.hot_keys.find(HotKeyNumber(hash));
  if (hot != service.hot_keys.end()) {
    route.unit.number = hot->first;
    unit = &hot->second;
  } else {
    route.unit.number = ShardOf(hash, service.config.shards);
    unit = &service.shards[route.unit.number];
  }
  if (unit->target >= 0) {
    route.target = &service.targets[unit->target];
    route.fence = unit->fence;
  }
  return route;
}

}  // namespace toucandock::core::routing
