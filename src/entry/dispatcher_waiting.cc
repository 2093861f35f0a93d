// The part of the dispatcher that lets requests wait for a target.
#include <utility>

#include "entry/dispatcher.h"
#include "entry/exchange.h"

namespace toucandock::entry {

using core::ErrorKind;
using core::TimePoint;
using core::admission::LaneOutlook;
using core::admission::RefusedWait;
using core::admission::WaitRefusal;
using core::balance::Availability;

// Sends waiting requests after a target has completed one.
void Dispatcher::OnCapacity(const TargetHandle& handle, TimePoint now) {
  const std::string service = handle.target.entry.service;
  waiting_.DispatchLane(service, TargetSet::LaneOf(handle), now);
  waiting_.DispatchLane(service, "", now);
}

LaneOutlook Dispatcher::OutlookOf(const Exchange& exchange,
                                  TimePoint now) const {
  const auto times = response_times_.find(exchange.service);
  if (times == response_times_.end()) {
    return targets_.OutlookOf(exchange, {}, now);
  }
  LaneOutlook outlook = targets_.OutlookOf(
      exchange, times->second.WorkTime(*exchange.route), now);
  outlook.answer_time = times->second.AnswerTime(*exchange.route);
  return outlook;
}

// Returns whether it is known that no target can take the request in time; it
// is then refused.
bool Dispatcher::EndIfUnavailable(const ExchangePtr& exchange, TimePoint now) {
  if (const auto reason = FindUnavailability(*exchange, now)) {
    RefuseAsUnavailable(exchange, *reason);
    return true;
  }
  return false;
}

// Sends the request, or lets it wait until a target has room or its key has a
// serving owner.
void Dispatcher::SendOrWait(const ExchangePtr& exchange, TimePoint now) {
  waiting_.SendOrAdd(exchange, now);
  if (exchange->ticket == 0) {
    return;
  }
  const core::balance::AvailabilityState state =
      targets_.AvailabilityFor(*exchange, now);
  if (state.availability == Availability::kLeaving ||
      state.availability == Availability::kPaused) {
    const HandlePtr owner =
        exchange->key ? targets_.ListedOwnerOf(*exchange) : nullptr;
    NoteRedirected(*exchange, owner ? owner->target.entry.instance.id : "",
                   state, "wait");
  }
}

void Dispatcher::RefuseWaiting(const ExchangePtr& exchange,
                               const RefusedWait& refused) {
  if (exchange->may_have_run) {
    Fail(exchange, ErrorKind::kOutcomeUnknown, "no target for a retry");
    return;
  }
  told_returns_.Add(exchange->caller_fingerprint, refused.comeback,
                    exchange->goal_by, std::chrono::steady_clock::now());
  const bool is_keyed = exchange->key.has_value();
  const char* cause = nullptr;
  switch (refused.reason) {
    case WaitRefusal::kWaitedTooLong:
      cause =
          is_keyed ? "no owner with room for the key" : "no target with room";
      break;
    case WaitRefusal::kTooLate:
      cause = "answer would be late";
      break;
    case WaitRefusal::kListFull:
      cause = "waiting list is full";
      break;
    case WaitRefusal::kDisplaced:
      cause = "displaced by another request";
      break;
  }
  Refuse(exchange,
         is_keyed ? ErrorKind::kOwnerUnavailable : ErrorKind::kOverloaded,
         cause, refused.comeback.retry_after);
}

}  // namespace toucandock::entry
