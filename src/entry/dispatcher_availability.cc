// The part of the dispatcher that acts on what targets declared about
// themselves: that they leave, or want no requests for some time.
#include <algorithm>
#include <random>
#include <utility>

#include "entry/dispatcher.h"
#include "entry/event_log.h"
#include "entry/exchange.h"

namespace toucandock::entry {
namespace {

using core::Duration;
using core::ErrorKind;
using core::TimePoint;
using core::balance::Availability;
using core::balance::AvailabilityState;
using core::discovery::TargetInstance;

}  // namespace

std::shared_ptr<TargetConnection> Dispatcher::Connect(
    const HandlePtr& handle,
    std::optional<TimePoint> send_by) {
  metrics_.CountConnection(handle->target.entry.service);
  // The handle owns idle connections, so they do not own the handle.
  const std::weak_ptr<TargetHandle> weak = handle;
  return std::make_shared<TargetConnection>(
      io_, handle->endpoint, names_, answer_memory_,
      TargetConnectionHooks{
          .may_send =
              [this, instance = handle->target.entry.instance, send_by] {
                const HandlePtr listed = targets_.Find(instance);
                const TimePoint now = std::chrono::steady_clock::now();
                return listed != nullptr &&
                       !notices_.IsUnavailable(instance, now) &&
                       targets_.StateOf(listed->target.entry, now)
                               .availability != Availability::kLeaving &&
                       MaySendNow(*listed, send_by, now);
              },
          .on_notice =
              [this, weak](const TargetNotice& notice) {
                if (const HandlePtr it = weak.lock()) {
                  OnNotice(it, notice);
                }
              }});
}

// A response with another target's id was sent by a process that has taken over
// the address. It says something about a target only if that one is listed at
// the same address.
void Dispatcher::OnNotice(const HandlePtr& handle, const TargetNotice& notice) {
  const TimePoint now = std::chrono::steady_clock::now();
  const core::discovery::TargetEntry& expected = handle->target.entry;
  HandlePtr sender = handle;
  if (!notice.target_id.empty() && notice.target_id != expected.instance.id) {
    sender = targets_.FindAt(notice.target_id, expected.address);
    if (sender == nullptr) {
      notices_.ReportUnusual(expected, notice, "other-target",
                             notice.target_id);
      return;
    }
  }
  const TargetInstance& instance = sender->target.entry.instance;
  notices_.Apply(sender->target.entry, notice, now);
  if (notices_.IsLeaving(instance)) {
    sender->idle.clear();
  }
}

void Dispatcher::OnTargetsListed(TimePoint now) {
  cold_targets_.OnView(*view_);
  notices_.OnListChanged(
      [this](const TargetInstance& it) { return targets_.ListingOf(it); }, now);
}

// Returns a value if it is known that no target will take the request while it
// may wait.
std::optional<Dispatcher::Unavailability> Dispatcher::FindUnavailability(
    const Exchange& exchange,
    TimePoint now) {
  if (auto coldness = FindColdness(exchange, now)) {
    return coldness;
  }
  const AvailabilityState state = targets_.AvailabilityFor(exchange, now);
  if (state.availability == Availability::kLeaving) {
    // The key may move to another owner in time.
    if (exchange.key && now < state.since + options_.max_move_time) {
      return std::nullopt;
    }
    return Unavailability{.state = state,
                          .retry_after = options_.retry_after_leaving};
  }
  if (state.availability != Availability::kPaused ||
      state.until <= exchange.wait_deadline) {
    return std::nullopt;
  }
  const Duration left = state.until - now;
  return Unavailability{.state = state,
                        .retry_after = left + ReturnSpread(left)};
}

// Returns how much later than after `left` a caller is asked to return.
Duration Dispatcher::ReturnSpread(Duration left) {
  const Duration spread = std::min(options_.max_return_spread,
                                   std::chrono::duration_cast<Duration>(
                                       left * options_.return_spread_ratio));
  return std::chrono::duration_cast<Duration>(
      spread * std::uniform_real_distribution<double>(0, 1)(random_));
}

void Dispatcher::RefuseAsUnavailable(const ExchangePtr& exchange,
                                     const Unavailability& reason) {
  const bool is_leaving = reason.state.availability == Availability::kLeaving;
  const bool is_cold = reason.state.availability == Availability::kCold;
  const HandlePtr owner =
      exchange->key ? targets_.ListedOwnerOf(*exchange) : nullptr;
  NoteRedirected(*exchange, owner ? owner->target.entry.instance.id : "",
                 reason.state, "refused");
  if (exchange->may_have_run) {
    Fail(exchange, ErrorKind::kOutcomeUnknown, "no target for a retry");
    return;
  }
  if (exchange->key) {
    Refuse(exchange, ErrorKind::kOwnerUnavailable,
           reason.state.evacuated ? "owner is evacuated"
           : is_leaving           ? "owner leaves"
           : is_cold              ? "owner is cold"
                                  : "owner pauses",
           reason.retry_after);
    return;
  }
  Refuse(exchange, ErrorKind::kOverloaded,
         reason.state.evacuated ? "all targets are evacuated or leave"
         : is_leaving           ? "all targets leave"
         : is_cold              ? "all targets are cold"
                                : "all targets pause or leave",
         reason.retry_after);
}

// Logs once for each request, and counts, that a target received no request
// because of what it declared.
void Dispatcher::NoteRedirected(Exchange& exchange,
                                const std::string& target,
                                const AvailabilityState& cause,
                                const char* action) {
  metrics_.CountUnavailableTarget(exchange.service,
                                  core::balance::ToString(cause), action);
  if (std::exchange(exchange.is_redirect_logged, true)) {
    return;
  }
  LogEvent("target_unavailable", {{"request", exchange.request_id},
                                  {"service", exchange.service},
                                  {"target", target},
                                  {"cause", core::balance::ToString(cause)},
                                  {"action", action},
                                  {"attempts", exchange.attempts}});
}

}  // namespace toucandock::entry
