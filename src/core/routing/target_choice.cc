#include "core/routing/target_choice.h"

#include <algorithm>

namespace toucandock::core::routing {
namespace {

bool Contains(const std::vector<TargetId>& ids, const TargetId& id) {
  return std::find(ids.begin(), ids.end(), id) != ids.end();
}

}  // namespace

// Chooses a target for a request that any target may serve: the one with fewer
// own requests in flight of two random candidates (power of two choices).
// Targets that failed, were tried, or are cold come only after the others.
// Returns nullptr when all are lost or draining.
const TargetRoute* ChooseTarget(const ServiceRoute& service,
                                const std::vector<TargetId>& tried,
                                const ChoiceHooks& hooks) {
  std::vector<const TargetRoute*> preferred;
  std::vector<const TargetRoute*> others;
  for (const TargetRoute& it : service.targets) {
    if (it.lost || it.draining) {
      continue;
    }
    const bool second_choice =
        it.cold || hooks.is_failing(it.id) || Contains(tried, it.id);
    (second_choice ? others : preferred).push_back(&it);
  }
  const std::vector<const TargetRoute*>& from =
      preferred.empty() ? others : preferred;
  if (from.empty()) {
    return nullptr;
  }
  const TargetRoute* a = from[hooks.random() % from.size()];
  const TargetRoute* b = from[hooks.random() % from.size()];
  return hooks.in_flight(b->id) < hooks.in_flight(a->id) ? b : a;
}

}  // namespace toucandock::core::routing
