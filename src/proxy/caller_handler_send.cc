// The part of CallerHandler that sends a routed request to its target, directly
// or through the target's queue host.
#include <algorithm>
#include <optional>
#include <utility>

#include "absl/strings/match.h"
#include "absl/strings/str_cat.h"
#include "codec/target_json.h"
#include "core/routing/queue_host.h"
#include "proxy/caller_handler.h"
#include "proxy/caller_job.h"
#include "proxy/header_rules.h"

namespace toucandock::proxy {
namespace {

using core::detection::ObservationKind;
using core::request::AttemptResult;
using core::request::AttemptStage;

constexpr absl::string_view kNotRun = "not-run";
// How long after the deadline the entry host still waits for the queue host to
// report a timeout.
constexpr std::chrono::milliseconds kHopAllowance{20};
constexpr int kServiceUnavailable = 503;

}  // namespace

// Returns whether the latest view has the same owner and fence for the key.
bool CallerHandler::IsStillOwner(const Job& job) const {
  const PublishedView::Snapshot latest = view_.snapshot();
  if (latest == job.snapshot) {
    return true;
  }
  const core::routing::ServiceRoute* service =
      core::routing::FindService(*latest, job.service_name);
  if (service == nullptr || !service->config.keyed) {
    return false;
  }
  const core::routing::KeyRoute route =
      core::routing::RouteKey(*service, job.key);
  return route.target != nullptr && route.target->id == job.target->id &&
         route.fence == job.fence;
}

// Returns whether the target must not receive a request that has not been sent
// yet.
bool CallerHandler::IsTargetGone(const Job& job) const {
  if (job.service->config.keyed) {
    return !IsStillOwner(job);
  }
  const PublishedView::Snapshot latest = view_.snapshot();
  const core::routing::ServiceRoute* service =
      core::routing::FindService(*latest, job.service_name);
  return service == nullptr ||
         std::none_of(service->targets.begin(), service->targets.end(),
                      [&](const core::routing::TargetRoute& it) {
                        return it.id == job.target->id && !it.lost &&
                               !it.draining;
                      });
}

// Returns whether the request may be sent again. An attempt that did not reach
// a target cost the target nothing and is not limited by the retry budget;
// otherwise, requests would be refused while a lost owner is replaced.
bool CallerHandler::MayRetry(const Job& job, const AttemptResult& result) {
  if (result.stage == AttemptStage::kNotConnected) {
    return true;
  }
  if (result.stage == AttemptStage::kComplete && !result.refused_by_target) {
    return false;
  }
  const std::lock_guard<std::mutex> lock(budgets_mutex_);
  return budgets_.at(job.service_name).TryRetry();
}

AttemptResult CallerHandler::Attempt(Job& job) {
  job.tried.push_back(job.target->id);
  const core::control::HostInfo* queue_host = core::routing::QueueHost(
      *job.snapshot, job.target->id,
      [this](const core::HostId& id) { return queue_hosts_.IsFailing(id); });
  return queue_host == nullptr || hooks_.is_self(queue_host->id)
             ? SendWhenAdmitted(job)
             : SendThroughQueueHost(*queue_host, job);
}

// Forwards the request to the queue host of its target.
AttemptResult CallerHandler::SendThroughQueueHost(
    const core::control::HostInfo& queue_host,
    Job& job) {
  // This ticket is only for counting, which the choice of targets uses. The
  // queue host holds the ticket that moves of ownership wait for.
  InFlightTable::Ticket ticket(in_flight_, job.snapshot->sequence,
                               job.target->id, std::nullopt);
  ticket.MarkSent();
  const core::TimePoint start = hooks_.now();
  const QueueHostHealth::Ticket health_ticket(queue_hosts_, queue_host, start);
  const core::Duration remaining = job.deadline - start;
  const http::Request request =
      EncodeForward({.metadata = {.service = job.service_name,
                                  .target = job.target->id,
                                  .key = job.key,
                                  .fence = job.fence,
                                  .request_id = job.request_id,
                                  .tenant = job.tenant,
                                  .remaining = remaining},
                     .request = TargetRequest(job)});
  const http::ExchangeOptions options = {
      .timeout = std::chrono::ceil<std::chrono::milliseconds>(
          std::max(remaining, core::Duration::zero()) + kHopAllowance),
      .max_body = limits_.answer_bytes,
      .fresh_connection = !job.request_class.idempotent,
      .is_cancelled = [&] { return health_ticket.IsLost(); },
      .caller_socket = job.request.socket};
  http::ExchangeResult exchange =
      client_.Exchange(queue_host.peer_address, request, options);
  const bool answered = exchange.progress == http::Progress::kComplete;
  ForwardResult result = ParseForwardResult(std::move(exchange));
  queue_host_counts_.Set(job.target->id, result.remote_queue_count,
                         hooks_.now());
  if (result.unavailable) {
    queue_hosts_.OnUnavailable(queue_host.id, hooks_.now());
  } else if (answered) {
    queue_hosts_.OnAnswer(queue_host.id, hooks_.now());
  }
  if (!result.unavailable &&
      result.attempt.stage == AttemptStage::kNotConnected &&
      !result.attempt.overloaded) {
    failing_targets_.Add(job.target->id, hooks_.now());
  }
  job.answer = std::move(result.answer);
  return result.attempt;
}

// Waits for a slot of the target and then sends the request to it.
AttemptResult CallerHandler::SendWhenAdmitted(Job& job) {
  const core::TimePoint start = hooks_.now();
  const observe::RequestLabels labels = {job.service_name,
                                         job.request_class.name, job.tenant};
  std::unique_ptr<SlotGate::Slot> slot;
  {
    // This ticket is only for counting, which the choice of targets uses:
    // nothing is sent yet.
    InFlightTable::Ticket waiting(in_flight_, job.snapshot->sequence,
                                  job.counted_target(), std::nullopt);
    waiting.MarkSent();
    slot = hooks_.wait_for_slot(
        {.target = job.target->id,
         .slots = job.service->config.slots,
         .queue = job.service->config.queue,
         .cold = job.target->cold,
         .work = {.request_class = job.request_class.name,
                  .caller = job.tenant,
                  .length = job.request_class.length,
                  .deadline = job.deadline},
         .is_cancelled = [&] { return IsTargetGone(job); }});
  }
  const core::TimePoint now = hooks_.now();
  metrics_.CountQueueTime(labels, now - start);
  if (slot->result() != SlotResult::kAdmitted) {
    const bool shed = slot->result() == SlotResult::kShed;
    if (shed) {
      metrics_.CountShed(labels);
    }
    return {.overloaded = shed};
  }
  if (now >= job.deadline) {
    return {};
  }
  const AttemptResult result = Send(job);
  queue_host_counts_.Set(job.target->id, hooks_.queue_count(job.target->id),
                         hooks_.now());
  using core::admission::WorkResult;
  if (result.overloaded) {
    slot->SetWorkResult(WorkResult::kRefused);
  } else if (result.stage == AttemptStage::kComplete &&
             !result.refused_by_target) {
    slot->SetWorkResult(WorkResult::kRan);
  }
  return result;
}

AttemptResult CallerHandler::Send(Job& job) {
  const bool keyed = job.service->config.keyed;
  InFlightTable::Ticket ticket(
      in_flight_, job.snapshot->sequence, job.counted_target(),
      keyed ? std::optional<core::Unit>(job.unit) : std::nullopt);
  // From here on, the control thread sees the ticket. A view that was published
  // earlier is visible to the check below; a later one is not acknowledged
  // before the request has been sent.
  const core::TimePoint now = hooks_.now();
  if (keyed && (!IsStillOwner(job) || !view_.HasLease(now))) {
    return {};
  }
  using std::chrono::milliseconds;
  const http::ExchangeOptions options = {
      .timeout = std::chrono::ceil<milliseconds>(job.deadline - now),
      .max_body = limits_.answer_bytes,
      .fresh_connection = !job.request_class.idempotent,
      .is_cancelled =
          [&] { return keyed && !ticket.sent() && !IsStillOwner(job); },
      .caller_socket = job.request.socket,
      .on_sent = [&] { ticket.MarkSent(); }};
  http::ExchangeResult result =
      client_.Exchange(job.target->address, TargetRequest(job), options);
  ReportObservation(job, result);
  ReportForCrashDetection(job, result);
  if (result.failure == http::Failure::kRefused) {
    failing_targets_.Add(job.target->id, hooks_.now());
  }
  job.answer = std::move(result.response);
  const std::string* outcome =
      http::FindHeader(job.answer.headers, "Toucandock-Outcome");
  const bool refused =
      job.answer.status >= 400 && outcome != nullptr && *outcome == kNotRun;
  return {.stage = StageOf(result.progress),
          .refused_by_target = refused,
          .too_large = result.failure == http::Failure::kTooLarge,
          .caller_gone = result.failure == http::Failure::kCallerGone,
          .overloaded = refused && job.answer.status == kServiceUnavailable &&
                        result.progress == http::Progress::kComplete};
}

http::Request CallerHandler::TargetRequest(const Job& job) const {
  http::Request request = {.method = job.request.method,
                           .path = job.path,
                           .query = job.request.query,
                           .body = job.request.body};
  for (const auto& [name, value] : job.request.headers) {
    if (IsEndToEndHeader(name) &&
        !absl::EqualsIgnoreCase(name, "Idempotency-Key")) {
      request.headers.emplace_back(name, value);
    }
  }
  using std::chrono::duration_cast;
  using std::chrono::milliseconds;
  request.headers.emplace_back("Idempotency-Key", job.request_id);
  request.headers.emplace_back(
      "Toucandock-Deadline",
      absl::StrCat(
          duration_cast<milliseconds>(job.deadline - hooks_.now()).count()));
  if (job.service->config.keyed) {
    request.headers.emplace_back("Toucandock-Key", job.key);
    request.headers.emplace_back("Toucandock-Unit", codec::UnitName(job.unit));
    request.headers.emplace_back("Toucandock-Fence", absl::StrCat(job.fence));
  }
  return request;
}

void CallerHandler::ReportObservation(
    const Job& job,
    const http::ExchangeResult& result) const {
  if (result.failure == http::Failure::kRefused ||
      result.failure == http::Failure::kBroken) {
    hooks_.report_observation(job.target->id, ObservationKind::kRefused);
  } else if (result.failure == http::Failure::kTimeout) {
    hooks_.report_observation(job.target->id, ObservationKind::kTimeout);
  }
}

// Reports the result to the detection of requests that crash their targets.
void CallerHandler::ReportForCrashDetection(
    const Job& job,
    const http::ExchangeResult& result) const {
  if (result.progress == http::Progress::kComplete) {
    hooks_.on_answer(job.poison_key);
  } else if (result.failure == http::Failure::kBroken &&
             result.progress >= http::Progress::kSending) {
    hooks_.on_broken({.key = job.poison_key,
                      .target = job.target->id,
                      .crash_limit = job.service->config.crash_limit},
                     job.target->address);
  }
}

}  // namespace toucandock::proxy
