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
using core::balance::AttemptHealth;
using core::request::AttemptDecision;
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
// then is full and does not know the request: it is left alone for a moment. A
// request that must not run twice keeps its connection for the same time once
// more, since an answer that still came would be lost with it.
void Dispatcher::OnSilence(const ExchangePtr& exchange, TimePoint now) {
  const TimePoint end = exchange->answer_by + options_.timeout_margin;
  core::admission::SilentOverflow& overflow =
      capacity_.OverflowOf(exchange->service);
  if (!overflow.IsSeen(now) || !WasTargetBusy(*exchange, now)) {
    ArmTimer(exchange, end);
    return;
  }
  const HandlePtr handle = exchange->current_target;
  const Duration silence = now - exchange->sent_at;
  const bool is_idempotent = exchange->route->IsIdempotent();
  if (!exchange->is_target_silent) {
    exchange->is_target_silent = true;
    overflow.OnUnanswered(true, now);
    handle->load.OnFull(now);
    metrics_.CountFullTarget(exchange->service);
    LogEvent("target_full",
             {{"request", exchange->request_id},
              {"service", exchange->service},
              {"target", handle->target.entry.instance.id},
              {"silent_ms", ToMilliseconds(silence).count()},
              {"idempotent", is_idempotent},
              {"left_ms", ToMilliseconds(exchange->answer_by - now).count()}});
    if (!is_idempotent) {
      ArmTimer(exchange,
               now + silence < exchange->answer_by ? now + silence : end);
      return;
    }
  }
  exchange->connection->Abandon();
  exchange->connection = nullptr;
  exchange->current_target = nullptr;
  exchange->may_have_run = true;
  handle->load.OnEnd(AttemptHealth::kShed, silence, now);
  const AttemptDecision next = core::request::DecideAfterAttempt(
      {.end = AttemptEnd::kBroken,
       .idempotent = is_idempotent,
       .may_have_run = true,
       .attempts = exchange->attempts,
       .max_attempts = exchange->route->max_attempts,
       .time_left = exchange->answer_by - now},
      [&] {
        return RetriesOf(exchange->service).TryRetry(view_->live_hosts, now);
      });
  if (next != AttemptDecision::kRetry) {
    Fail(exchange, ErrorKind::kAnswerTimeout, "target is full");
  } else {
    // The target is left alone for a moment, so the request has to wait again.
    exchange->wait_deadline =
        now + std::chrono::duration_cast<Duration>((exchange->answer_by - now) *
                                                   options_.late_wait_fraction);
    SendOrWait(exchange, now);
  }
  OnCapacity(*handle, now);
}

}  // namespace toucandock::entry
