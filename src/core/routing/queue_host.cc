#include "core/routing/queue_host.h"

#include <algorithm>
#include <cstdint>

#include "util/hash.h"

namespace toucandock::core::routing {

// Returns the member that keeps the queue of requests to the target: the first
// by rendezvous hash that is not failing, so that a change of members moves
// only the queues of the members that changed. Returns nullptr if there is no
// such member.
const control::HostInfo* QueueHost(
    const RoutingSnapshot& snapshot,
    const TargetId& target,
    const std::function<bool(const HostId&)>& is_failing) {
  const std::uint64_t seed = util::Hash64(target);
  const control::HostInfo* queue_host = nullptr;
  std::uint64_t highest = 0;
  for (const control::HostInfo& it : snapshot.hosts) {
    const std::uint64_t score = util::Hash64(it.id, seed);
    if ((queue_host == nullptr || score > highest) && !is_failing(it.id)) {
      queue_host = &it;
      highest = score;
    }
  }
  return queue_host;
}

// Returns how many idle connections one host may keep open to each target
// address, so that all members together stay within the target's limit. Twice
// the number of slots is reserved for running requests and control calls.
std::map<std::string, size_t> ConnectionShares(
    const RoutingSnapshot& snapshot) {
  const size_t hosts = std::max<size_t>(1, snapshot.hosts.size());
  std::map<std::string, size_t> shares;
  for (const auto& [name, service] : snapshot.services) {
    const config::ServiceConfig& config = service.config;
    const size_t idle_connections =
        config.connections - std::min(config.connections, 2 * config.slots);
    for (const TargetRoute& it : service.targets) {
      shares[it.address] = std::max<size_t>(1, idle_connections / hosts);
    }
  }
  return shares;
}

}  // namespace toucandock::core::routing
