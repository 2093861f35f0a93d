// The part of the dispatcher that limits requests to cold targets.
#include <algorithm>
#include <utility>

#include "entry/dispatcher.h"
#include "entry/exchange.h"

namespace toucandock::entry {
namespace {

using core::Duration;
using core::TimePoint;
using core::balance::Availability;
using core::discovery::TargetInstance;

// Shortest Retry-After of a refusal because of coldness.
constexpr std::chrono::milliseconds kMinRetryAfter{50};

}  // namespace

ColdTargetHooks Dispatcher::MakeColdTargetHooks() {
  return {.ask = hooks_.ask_permits,
          .on_available = [this](const TargetInstance& instance) {
            if (const HandlePtr it = targets_.Find(instance)) {
              OnCapacity(*it, std::chrono::steady_clock::now());
            }
          }};
}

// Chooses a target for the request, a cold one only if no warm one has room.
Dispatcher::HandlePtr Dispatcher::ChooseTarget(Exchange& exchange,
                                               TimePoint now) {
  if (exchange.key) {
    return Permitted(exchange, targets_.OwnerOf(exchange, now), now);
  }
  exchange.send_by.reset();
  std::vector<HandlePtr> warm;
  std::vector<HandlePtr> cold;
  for (HandlePtr& it : targets_.UsableTargets(exchange.service, now)) {
    (cold_targets_.ColdUntil(it->target, now) ? cold : warm)
        .push_back(std::move(it));
  }
  HandlePtr handle =
      targets_.Pick(exchange, warm, typical_times_[exchange.service], now);
  return handle ? handle : ChooseCold(exchange, cold, now);
}

// Returns the target if the request may be sent to it now, with a permit if one
// is needed. Without one, the request waits for it.
Dispatcher::HandlePtr Dispatcher::Permitted(Exchange& exchange,
                                            HandlePtr handle,
                                            TimePoint now) {
  exchange.send_by.reset();
  if (!handle || !cold_targets_.ColdUntil(handle->target, now)) {
    AwaitPermit(exchange, std::nullopt);
    return handle;
  }
  exchange.send_by = cold_targets_.TakePermit(handle->target, now);
  if (!exchange.send_by) {
    AwaitPermit(exchange, handle->target.entry.instance);
    return nullptr;
  }
  AwaitPermit(exchange, std::nullopt);
  return handle;
}

// Chooses among the cold targets of a service without keys, of which no warm
// target has room: one for which there is a permit, or else one of those that
// are expected to be available first, which the request then waits for.
Dispatcher::HandlePtr Dispatcher::ChooseCold(Exchange& exchange,
                                             const std::vector<HandlePtr>& cold,
                                             TimePoint now) {
  std::vector<HandlePtr> permitted;
  std::vector<HandlePtr> first;
  HandlePtr awaited;
  TimePoint first_at = TimePoint::max();
  for (const HandlePtr& it : cold) {
    const TargetInstance& instance = it->target.entry.instance;
    if (cold_targets_.HasPermit(instance, now)) {
      permitted.push_back(it);
    }
    const TimePoint at = ColdAvailableAt(exchange, *it, now).value_or(now);
    if (at < first_at) {
      first_at = at;
      first.clear();
      awaited = nullptr;
    }
    if (at == first_at) {
      first.push_back(it);
      awaited = exchange.awaits_permit_for == instance ? it : awaited;
    }
  }
  const core::FloatSeconds typical_time = typical_times_[exchange.service];
  HandlePtr choice = targets_.Pick(exchange, permitted, typical_time, now);
  if (!choice) {
    choice =
        awaited ? awaited : targets_.Pick(exchange, first, typical_time, now);
  }
  return Permitted(exchange, std::move(choice), now);
}

void Dispatcher::AwaitPermit(Exchange& exchange,
                             const std::optional<TargetInstance>& target) {
  if (exchange.awaits_permit_for == target) {
    return;
  }
  if (exchange.awaits_permit_for) {
    cold_targets_.StopAwaiting(*exchange.awaits_permit_for);
  }
  exchange.awaits_permit_for = target;
  if (target) {
    cold_targets_.Await(*target);
  }
}

// Called when a new connection to the target has been accepted. The target may
// have become cold, or the permit may have expired, while it was established.
bool Dispatcher::MaySendNow(const TargetHandle& handle,
                            const std::optional<TimePoint>& send_by,
                            TimePoint now) {
  cold_targets_.OnAccepted(handle, now);
  return send_by ? now < *send_by
                 : !cold_targets_.ColdUntil(handle.target, now);
}

void Dispatcher::NoteUnreachable(const TargetHandle& handle,
                                 AttemptCause cause) {
  if (cause == AttemptCause::kConnectRefused ||
      cause == AttemptCause::kConnectFailed) {
    cold_targets_.OnUnreachable(handle.target.entry);
  }
}

// Returns when the request can be sent to a cold target of a service with a
// limit; nothing for other targets.
std::optional<TimePoint> Dispatcher::ColdAvailableAt(const Exchange& exchange,
                                                     const TargetHandle& handle,
                                                     TimePoint now) const {
  const auto cold_until = cold_targets_.ColdUntil(handle.target, now);
  if (!cold_until) {
    return std::nullopt;
  }
  // A request that has been accepted to wait keeps its place.
  const TargetInstance& instance = handle.target.entry.instance;
  const std::uint32_t own = exchange.awaits_permit_for == instance ? 1 : 0;
  const std::uint32_t ahead = own > 0 && exchange.ticket != 0
                                  ? 0
                                  : cold_targets_.CountWaiting(instance) - own;
  return cold_targets_.AvailableAt(handle.target, *cold_until, ahead, now);
}

// Returns when the request can be sent, if all targets that it may go to are
// cold and limited.
std::optional<TimePoint> Dispatcher::ColdAvailableAt(const Exchange& exchange,
                                                     TimePoint now) const {
  const std::vector<HandlePtr> handles =
      exchange.key ? std::vector<HandlePtr>{targets_.ListedOwnerOf(exchange)}
                   : targets_.OfService(exchange.service);
  std::optional<TimePoint> first;
  for (const HandlePtr& it : handles) {
    if (!it || !targets_.IsOpen(it->target.entry, now)) {
      continue;
    }
    const auto at = ColdAvailableAt(exchange, *it, now);
    if (!at) {
      return std::nullopt;
    }
    first = std::min(first.value_or(*at), *at);
  }
  return first;
}

// Returns a value if the request cannot be sent to a cold target while it may
// wait.
std::optional<Dispatcher::Unavailability> Dispatcher::FindColdness(
    const Exchange& exchange,
    TimePoint now) {
  const auto at = ColdAvailableAt(exchange, now);
  if (!at || (*at <= exchange.wait_deadline && now < exchange.wait_deadline)) {
    return std::nullopt;
  }
  const Duration left = std::max<Duration>(*at - now, kMinRetryAfter);
  return Unavailability{.state = {.availability = Availability::kCold},
                        .retry_after = left + ReturnSpread(left)};
}

}  // namespace toucandock::entry
