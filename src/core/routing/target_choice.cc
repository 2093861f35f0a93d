#include "core/routing/target_choice.h"

#include <algorithm>

namespace toucandock::core::routing {
namespace {

// This host's own requests are counted exactly and without delay, so they weigh
// more than the count from the queue host, which is older.
constexpr std::uint32_t kLocalRequestWeight = 4;

bool Contains(const std::vector<TargetId>& ids, const TargetId& id) {
  return std::find(ids.begin(), ids.end(), id) != ids.end();
}

}  // namespace

// Chooses a target for a request that any target may serve: the less loaded of
// two random candidates (power of two choices). The load is this host's own
// requests in flight and the count from the queue host. Loads that targets
// report are not used, since they may be wrong
// (docs/decisions/0004-admission.md). Targets that are failing, were already
// tried for this request or are cold are chosen only if there are no others.
// Returns nullptr if all targets are lost or draining.
const TargetRoute* ChooseTarget(const ServiceRoute& service,
                                const std::vector<TargetId>& tried,
                                const ChoiceHooks& hooks) {
  std::vector<const TargetRoute*> preferred;
  std::vector<const TargetRoute*> fallbacks;
  for (const TargetRoute& it : service.targets) {
    if (it.lost || it.draining) {
      continue;
    }
    const bool is_fallback =
        it.cold || hooks.is_failing(it.id) || Contains(tried, it.id);
    (is_fallback ? fallbacks : preferred).push_back(&it);
  }
  const std::vector<const TargetRoute*>& candidates =
      preferred.empty() ? fallbacks : preferred;
  if (candidates.empty()) {
    return nullptr;
  }
  const TargetRoute* a = candidates[hooks.random() % candidates.size()];
  const TargetRoute* b = candidates[hooks.random() % candidates.size()];
  const auto load = [&](const TargetRoute* it) {
    return kLocalRequestWeight * hooks.in_flight(it->id) +
           hooks.remote_queue_count(it->id);
  };
  return load(b) < load(a) ? b : a;
}

}  // namespace toucandock::core::routing
