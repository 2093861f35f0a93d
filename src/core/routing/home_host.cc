#include "core/routing/home_host.h"

#include <cstdint>

#include "util/hash.h"

namespace toucandock::core::routing {

// Returns the member whose queue the requests to a target go through: the
// first by rendezvous hash that is not failing, so that a change of members
// moves only the targets of the members that changed. Returns nullptr when
// there is none.
const control::HostInfo* HomeHost(
    const RoutingSnapshot& snapshot,
    const TargetId& target,
    const std::function<bool(const HostId&)>& is_failing) {
  const std::uint64_t seed = util::Hash64(target);
  const control::HostInfo* home = nullptr;
  std::uint64_t highest = 0;
  for (const control::HostInfo& it : snapshot.hosts) {
    const std::uint64_t score = util::Hash64(it.id, seed);
    if ((home == nullptr || score > highest) && !is_failing(it.id)) {
      home = &it;
      highest = score;
    }
  }
  return home;
}

}  // namespace toucandock::core::routing
