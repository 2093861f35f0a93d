#include "entry/target_set.h"

#include <algorithm>
#include <utility>

#include "absl/strings/str_cat.h"
#include "core/keyspace/ownership.h"
#include "entry/exchange.h"

namespace toucandock::entry {
namespace {

using core::TimePoint;
using core::balance::Availability;
using core::balance::AvailabilityState;
using core::balance::Listing;
using core::discovery::TargetInstance;

}  // namespace

TargetSet::TargetSet(std::string failure_domain,
                     TargetNotices& notices,
                     const TargetSetOptions& options,
                     TargetSetHooks hooks)
    : failure_domain_(std::move(failure_domain)),
      notices_(notices),
      options_(options),
      hooks_(std::move(hooks)),
      view_(std::make_shared<RoutingView>()),
      random_(std::random_device{}()) {}

// Lists the targets of the view. Instances that were listed before at the same
// address keep what is known of them.
void TargetSet::SetView(std::shared_ptr<const RoutingView> view,
                        TimePoint now) {
  view_ = std::move(view);
  std::map<core::discovery::TargetInstance, std::shared_ptr<TargetHandle>>
      handles;
  handles_by_service_.clear();
  for (const auto& [service, targets] : view_->targets) {
    for (const core::discovery::ListedTarget& it : targets) {
      const auto known = handles_.find(it.entry.instance);
      std::shared_ptr<TargetHandle> handle;
      if (known != handles_.end() &&
          known->second->target.entry.address == it.entry.address) {
        handle = known->second;
        handle->target = it;
      } else if (const auto at = net::ParseEndpoint(it.entry.address);
                 at.ok()) {
        handle = std::make_shared<TargetHandle>(it, *at, load_options_);
      } else {
        continue;
      }
      handles[it.entry.instance] = handle;
      handles_by_service_[service].push_back(std::move(handle));
    }
  }
  handles_ = std::move(handles);
  for (const auto& [service, table] : view_->ownership) {
    move_times_[service].Update(
        table.assignments,
        [this](const core::keyspace::Assignment& it) {
          return it.serving && handles_.contains(it.owner);
        },
        now);
  }
}

// Returns the listed instance, or null.
std::shared_ptr<TargetHandle> TargetSet::Find(
    const TargetInstance& instance) const {
  const auto it = handles_.find(instance);
  return it == handles_.end() ? nullptr : it->second;
}

// Returns the target with this id that is listed at the address, or null.
std::shared_ptr<TargetHandle> TargetSet::FindAt(
    const std::string& target_id,
    const std::string& address) const {
  const auto it =
      std::find_if(handles_.begin(), handles_.end(), [&](const auto& listed) {
        return listed.first.id == target_id &&
               listed.second->target.entry.address == address;
      });
  return it == handles_.end() ? nullptr : it->second;
}

const std::vector<std::shared_ptr<TargetHandle>>& TargetSet::OfService(
    const std::string& service) const {
  static const std::vector<std::shared_ptr<TargetHandle>> kNone;
  const auto it = handles_by_service_.find(service);
  return it == handles_by_service_.end() ? kNone : it->second;
}

Listing TargetSet::ListingOf(const TargetInstance& instance) const {
  const auto it = handles_.lower_bound(instance);
  if (it != handles_.end() && it->first == instance) {
    return Listing::kListed;
  }
  return it != handles_.end() && it->first.id == instance.id
             ? Listing::kReplaced
             : Listing::kUnlisted;
}

// Returns the number of connections to each target that this host may use.
int TargetSet::ConnectionShare(const std::string& service) const {
  const core::routing::RoutedService* it =
      view_->routes ? view_->routes->FindService(service) : nullptr;
  const double cap = it == nullptr ? 100 : it->max_connections;
  return std::max(1, static_cast<int>(cap * options_.connection_fraction /
                                      std::max(1, view_->live_hosts)));
}

bool TargetSet::HasConnectionRoom(const TargetHandle& handle) const {
  return handle.load.in_flight() < ConnectionShare(handle.target.entry.service);
}

// Returns the owner of the request's key if it is listed and serves the key.
std::shared_ptr<TargetHandle> TargetSet::ListedOwnerOf(
    const Exchange& exchange) const {
  const auto table = view_->ownership.find(exchange.service);
  if (table == view_->ownership.end() ||
      exchange.misdirected_at == table->second.offset) {
    return nullptr;
  }
  const core::keyspace::Assignment* assignment =
      core::keyspace::FindAssignment(table->second, *exchange.key);
  if (assignment == nullptr || !assignment->serving) {
    return nullptr;
  }
  const auto handle = handles_.find(assignment->owner);
  return handle == handles_.end() ? nullptr : handle->second;
}

core::balance::PickCandidate TargetSet::CandidateOf(const TargetHandle& handle,
                                                    TimePoint now) const {
  const core::discovery::TargetEntry& entry = handle.target.entry;
  return {.load = &handle.load,
          .slots = entry.slots,
          .same_domain = entry.failure_domain == failure_domain_,
          .cold = now < handle.target.warm_at,
          .max_requests = hooks_.max_requests(handle, now)};
}

std::shared_ptr<TargetHandle> TargetSet::OwnerOf(const Exchange& exchange,
                                                 TimePoint now) const {
  std::shared_ptr<TargetHandle> handle = ListedOwnerOf(exchange);
  if (handle == nullptr || !IsOpen(handle->target.entry, now) ||
      handle->load.IsPaused(now) ||
      !core::balance::HasCapacity(CandidateOf(*handle, now), pick_options_,
                                  now) ||
      !HasConnectionRoom(*handle)) {
    return nullptr;
  }
  return handle;
}

std::vector<std::shared_ptr<TargetHandle>> TargetSet::UsableTargets(
    const std::string& service,
    TimePoint now) const {
  std::vector<std::shared_ptr<TargetHandle>> usable;
  for (const std::shared_ptr<TargetHandle>& it : OfService(service)) {
    if (IsOpen(it->target.entry, now) && HasConnectionRoom(*it)) {
      usable.push_back(it);
    }
  }
  return usable;
}

std::shared_ptr<TargetHandle> TargetSet::Pick(
    const Exchange& exchange,
    const std::vector<std::shared_ptr<TargetHandle>>& targets,
    core::FloatSeconds typical_time,
    TimePoint now) {
  std::vector<core::balance::PickCandidate> candidates;
  candidates.reserve(targets.size());
  for (const std::shared_ptr<TargetHandle>& it : targets) {
    candidates.push_back(CandidateOf(*it, now));
    candidates.back().tried =
        std::find(exchange.tried.begin(), exchange.tried.end(),
                  it->target.entry.instance) != exchange.tried.end();
  }
  const int pick =
      core::balance::PickTarget(candidates,
                                {.idempotent = exchange.route->IsIdempotent(),
                                 .latency_goal = exchange.route->latency_goal,
                                 .typical_time = typical_time},
                                pick_options_, random_(), now);
  return pick < 0 ? nullptr : targets[pick];
}

// Returns the target's state by its own word and by the operator's: a target in
// an evacuated failure domain is used as if it were leaving, for as long as the
// evacuation lasts.
AvailabilityState TargetSet::StateOf(const core::discovery::TargetEntry& target,
                                     TimePoint now) const {
  const AvailabilityState own = notices_.StateOf(target.instance, now);
  const auto evacuated = view_->evacuated.find(target.failure_domain);
  if (evacuated == view_->evacuated.end() ||
      own.availability == Availability::kLeaving) {
    return own;
  }
  const core::routing::RoutedService* service =
      view_->routes ? view_->routes->FindService(target.service) : nullptr;
  const TimePoint closed_from = core::discovery::ClosedFrom(
      evacuated->second, service != nullptr && service->keyed,
      options_.evacuation);
  return now < closed_from
             ? own
             : AvailabilityState{.availability = Availability::kLeaving,
                                 .since = closed_from,
                                 .evacuated = true};
}

bool TargetSet::IsOpen(const core::discovery::TargetEntry& target,
                       TimePoint now) const {
  return StateOf(target, now).availability == Availability::kOpen;
}

// Returns the state of the target that may receive the request first. A request
// without listed targets is not held up by any declaration.
AvailabilityState TargetSet::AvailabilityFor(const Exchange& exchange,
                                             TimePoint now) const {
  if (exchange.key) {
    const std::shared_ptr<TargetHandle> owner = ListedOwnerOf(exchange);
    return owner ? StateOf(owner->target.entry, now) : AvailabilityState{};
  }
  const auto handles = handles_by_service_.find(exchange.service);
  if (handles == handles_by_service_.end() || handles->second.empty()) {
    return {};
  }
  AvailabilityState first{.availability = Availability::kLeaving};
  for (const std::shared_ptr<TargetHandle>& it : handles->second) {
    const AvailabilityState state = StateOf(it->target.entry, now);
    first.evacuated = first.evacuated || state.evacuated;
    if (state.availability != Availability::kLeaving &&
        state.availability != Availability::kPaused) {
      return state;
    }
    if (state.availability == Availability::kPaused &&
        (first.availability == Availability::kLeaving ||
         state.until < first.until)) {
      first = state;
    }
  }
  return first;
}

std::string TargetSet::LaneOf(const Exchange& exchange) const {
  if (!exchange.key) {
    return "";
  }
  const std::shared_ptr<TargetHandle> owner = ListedOwnerOf(exchange);
  return owner ? LaneOf(*owner) : absl::StrCat("key:", *exchange.key);
}

std::string TargetSet::LaneOf(const TargetHandle& owner) {
  const TargetInstance& instance = owner.target.entry.instance;
  return absl::StrCat("owner:", instance.id, "/", instance.start_time_ms);
}

core::admission::LaneOutlook TargetSet::OutlookOf(const Exchange& exchange,
                                                  core::Duration work_time,
                                                  TimePoint now) const {
  const int share = ConnectionShare(exchange.service);
  // Without better knowledge, all slots are assumed to be free for this host,
  // so that no request is refused that could be served.
  const auto slots_of = [share](const TargetHandle& it) {
    return std::clamp(static_cast<int>(it.target.entry.slots), 1, share);
  };
  if (exchange.key) {
    const std::shared_ptr<TargetHandle> owner = ListedOwnerOf(exchange);
    if (owner) {
      return {.first_free = TimeUntilFree(*owner, now),
              .interval = work_time / slots_of(*owner)};
    }
    const auto moves = move_times_.find(exchange.service);
    return {.first_free = moves == move_times_.end()
                              ? core::Duration{}
                              : moves->second.RemainingFor(*exchange.key, now)};
  }
  core::admission::LaneOutlook outlook;
  int slots = 0;
  for (const auto& it : OfService(exchange.service)) {
    if (StateOf(it->target.entry, now).availability == Availability::kLeaving) {
      continue;
    }
    const core::Duration free = TimeUntilFree(*it, now);
    outlook.first_free = slots == 0 ? free : std::min(outlook.first_free, free);
    slots += slots_of(*it);
  }
  outlook.interval = work_time / std::max(1, slots);
  return outlook;
}

core::Duration TargetSet::TimeUntilFree(const TargetHandle& handle,
                                        TimePoint now) const {
  const AvailabilityState state = StateOf(handle.target.entry, now);
  const core::Duration pause = state.availability == Availability::kPaused
                                   ? state.until - now
                                   : core::Duration{};
  const double usual =
      core::balance::MaxRequests(handle.target.entry.slots, pick_options_);
  const double max_requests =
      std::min(usual, hooks_.max_requests(handle, now).value_or(usual));
  return std::max(pause, handle.load.TimeUntilBelow(max_requests, now));
}

}  // namespace toucandock::entry
