// The part of the dispatcher that acts on the capacity which all hosts share:
// the admission of keyed requests, and targets that do not answer what they
// cannot queue.
#include <algorithm>

#include "entry/dispatcher.h"
#include "entry/event_log.h"
#include "entry/exchange.h"

namespace toucandock::entry {
namespace {

using core::Duration;
using core::ErrorKind;
using core::TimePoint;
using core::request::AttemptEnd;
using std::chrono::milliseconds;

milliseconds ToMilliseconds(Duration time) {
  return std::chrono::duration_cast<milliseconds>(time);
}

}  // namespace

void Dispatcher::SetAdmitted(const AdmittedView& admitted) {
  capacity_.SetAdmitted(admitted.lists, admitted.valid_until);
}

void Dispatcher::UpdateCapacityMetrics() {
  metrics_.SetLimitedRanges(
      capacity_.LimitedRanges(std::chrono::steady_clock::now()));
}

// Returns whether the request was refused, because its key is asked for more
// than the owner can serve. Where targets refuse what they cannot queue, they
// decide better themselves: a refusal costs one exchange, while the fraction is
// an estimate.
bool Dispatcher::RefuseUnlessAdmitted(const ExchangePtr& exchange,
                                      TimePoint now) {
  if (!capacity_.OverflowOf(exchange->service).IsSeen(now)) {
    return false;
  }
  const core::admission::AdmissionDecision decision =
      capacity_.Decide(exchange->service,
                       {.key = *exchange->key,
                        .priority = exchange->route->priority,
                        .has_returned = exchange->returned.state ==
                                        core::admission::Return::kAsTold,
                        .time_left = exchange->answer_by - now},
                       now);
  if (decision.is_limited) {
    metrics_.CountLimitedRequest(exchange->service, decision.is_admitted);
  }
  if (!decision.is_admitted) {
    told_returns_.Add(exchange->caller_fingerprint,
                      {.retry_after = decision.retry_after}, exchange->goal_by,
                      now);
    Refuse(exchange, ErrorKind::kOverloaded,
           "key is asked for more than its owner can serve",
           decision.retry_after);
  }
  return !decision.is_admitted;
}

// Notes what the end of an attempt shows of the target's load and of how the
// service's targets behave when they are full. Returns the reported load.
std::optional<core::balance::ReportedLoad> Dispatcher::NoteReport(
    const Exchange& exchange,
    const TargetAnswer& answer,
    TimePoint now) {
  TargetHandle& handle = *exchange.current_target;
  std::optional<core::balance::ReportedLoad> load;
  const auto header = answer.response.find(names_.target_load);
  if (header != answer.response.end()) {
    load = core::balance::ParseReportedLoad(
        absl::string_view(header->value().data(), header->value().size()));
  }
  const std::uint32_t slots = handle.target.entry.slots;
  core::admission::SilentOverflow& overflow =
      capacity_.OverflowOf(exchange.service);
  if (load) {
    handle.load.OnReport(load->Total(), now);
    overflow.OnReport(*load, slots);
    if (!core::balance::HasFreeSlots(*load, slots)) {
      handle.busy_at = now;
    }
  }
  const bool was_seen = overflow.IsSeen(now);
  if (answer.end == AttemptEnd::kNotExecuted && answer.shed) {
    overflow.OnRefusal(load, slots);
  } else if (exchange.is_target_silent && answer.end != AttemptEnd::kBroken) {
    overflow.OnLateAnswer();
  }
  if (was_seen && !overflow.IsSeen(now)) {
    LogEvent("silent_overflow_ended",
             {{"service", exchange.service},
              {"target", handle.target.entry.instance.id}});
  }
  return load;
}

std::optional<double> Dispatcher::MaxRequestsOf(const TargetHandle& handle,
                                                TimePoint now) {
  return capacity_.OverflowOf(handle.target.entry.service)
      .MaxRequests(handle.target.entry.slots, now);
}

// Returns how long the current attempt may be without an answer before its
// target counts as full.
Duration Dispatcher::SilenceLimitOf(const Exchange& exchange, TimePoint now) {
  const core::FloatSeconds typical = typical_times_[exchange.service];
  return capacity_.OverflowOf(exchange.service)
      .SilenceLimit(std::max(
          typical, exchange.current_target->load.AnswerTime(typical, now)));
}

bool Dispatcher::WasTargetBusy(const Exchange& exchange, TimePoint now) {
  return capacity_.OverflowOf(exchange.service)
             .WasBusy(exchange.current_target->busy_at, exchange.sent_at) ||
         (exchange.key &&
          capacity_.IsLimited(exchange.service, *exchange.key, now));
}

// Arms the timer of an attempt: for its end, or for the time at which silence
// means that the target is full.
void Dispatcher::ArmAttemptTimer(const ExchangePtr& exchange, TimePoint now) {
  const TimePoint end = exchange->answer_by + options_.timeout_margin;
  const TimePoint limit = now + SilenceLimitOf(*exchange, now);
  exchange->is_target_silent = false;
  ArmTimer(exchange, capacity_.OverflowOf(exchange->service).IsSeen(now) &&
                             limit < exchange->answer_by
                         ? limit
                         : end);
}

// Called when an attempt has had no answer until its end.
void Dispatcher::NoteUnanswered(const Exchange& exchange, TimePoint now) {
  core::admission::SilentOverflow& overflow =
      capacity_.OverflowOf(exchange.service);
  const bool was_seen = overflow.IsSeen(now);
  overflow.OnUnanswered(WasTargetBusy(exchange, now), now);
  if (!was_seen && overflow.IsSeen(now)) {
    LogEvent("silent_overflow_seen",
             {{"service", exchange.service},
              {"target", exchange.current_target->target.entry.instance.id}});
  }
}

// Called when an attempt has had no answer for the silence limit. A busy target
// is then likely to be full, and is left alone for a moment. The request keeps
// its connection until its deadline: the target may still be at work on it,
// since some work takes several times as long as usual.
void Dispatcher::OnSilence(const ExchangePtr& exchange, TimePoint now) {
  ArmTimer(exchange, exchange->answer_by + options_.timeout_margin);
  if (!capacity_.OverflowOf(exchange->service).IsSeen(now) ||
      !WasTargetBusy(*exchange, now)) {
    return;
  }
  const HandlePtr handle = exchange->current_target;
  exchange->is_target_silent = true;
  handle->load.OnFull(now);
  metrics_.CountFullTarget(exchange->service);
  LogEvent("target_full",
           {{"request", exchange->request_id},
            {"service", exchange->service},
            {"target", handle->target.entry.instance.id},
            {"silent_ms", ToMilliseconds(now - exchange->sent_at).count()},
            {"idempotent", exchange->route->IsIdempotent()},
            {"left_ms", ToMilliseconds(exchange->answer_by - now).count()}});
}

}  // namespace toucandock::entry
