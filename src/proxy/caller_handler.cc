#include "proxy/caller_handler.h"

#include <algorithm>
#include <optional>
#include <utility>

#include "absl/strings/match.h"
#include "absl/strings/numbers.h"
#include "absl/strings/str_cat.h"
#include "codec/target_json.h"
#include "core/request/fingerprint.h"
#include "core/routing/queue_host.h"
#include "core/routing/target_choice.h"
#include "proxy/caller_job.h"
#include "proxy/header_rules.h"
#include "proxy/problem.h"

namespace toucandock::proxy {
namespace {

using core::ErrorKind;
using core::Outcome;
using core::request::AttemptResult;
using core::request::Decision;
using core::request::FinishResult;
using core::request::NextStep;
using core::request::PoisonMatch;
using core::request::RouteResult;

constexpr core::Duration kMaxDeadline = std::chrono::hours(1);
// Half the time for which attempts are kept, so that no attempt is dropped
// while its request may still be sent or run.
constexpr core::Duration kMaxAttemptTime = std::chrono::minutes(5);

std::uint64_t Random() {
  thread_local std::mt19937_64 generator{std::random_device{}()};
  return generator();
}

}  // namespace

CallerHandler::CallerHandler(const settings::Limits& limits,
                             PublishedView& view,
                             InFlightTable& in_flight,
                             http::Client& client,
                             observe::Metrics& metrics,
                             CallerHandlerHooks hooks)
    : limits_(limits),
      view_(view),
      in_flight_(in_flight),
      client_(client),
      metrics_(metrics),
      hooks_(std::move(hooks)) {}

http::Response CallerHandler::Serve(const http::Request& request) {
  Job job = {.request = request, .received = hooks_.now()};
  http::Response refusal;
  if (!Prepare(job, refusal)) {
    return refusal;
  }
  return ServeChecked(job);
}

std::string CallerHandler::FingerprintOf(const Job& job) {
  return core::request::Fingerprint({.method = job.request.method,
                                     .path = job.path,
                                     .query = job.request.query,
                                     .key = job.key,
                                     .body = job.request.body});
}

// Finds the service and checks the request. Fills `refusal` and returns false
// when the request cannot be served.
bool CallerHandler::Prepare(Job& job, http::Response& refusal) const {
  const http::Request& request = job.request;
  job.request_id = HeaderOr(request.headers, "Idempotency-Key", "");
  const auto refuse = [&](ErrorKind kind, const std::string& detail) {
    refusal = ProblemResponse(kind, Outcome::kNotRun, detail, job.request_id);
    return false;
  };
  if (hooks_.is_stopping()) {
    return refuse(ErrorKind::kStopping, "");
  }
  if (request.body_too_large) {
    return refuse(
        ErrorKind::kRequestTooLarge,
        absl::StrCat("the body may have ", limits_.body_bytes, " bytes"));
  }
  if (job.request_id.size() > limits_.request_id_bytes ||
      !IsVisibleAscii(job.request_id)) {
    job.request_id.clear();
    return refuse(
        ErrorKind::kMalformedRequest,
        absl::StrCat("Idempotency-Key may have ", limits_.request_id_bytes,
                     " visible ASCII characters"));
  }
  if (!IsForwardable(request)) {
    return refuse(ErrorKind::kMalformedRequest,
                  "the method or the path cannot be passed on");
  }
  job.snapshot = view_.snapshot();
  if (job.snapshot->config_version == 0) {
    return refuse(ErrorKind::kNotConfigured, "");
  }
  // The service is named by the first segment of the path or by the first label
  // of the Host header.
  const size_t n = request.path.find('/', 1);
  job.service_name = request.path.substr(1, n == std::string::npos ? n : n - 1);
  job.path = n == std::string::npos ? "/" : request.path.substr(n);
  job.service = core::routing::FindService(*job.snapshot, job.service_name);
  if (job.service == nullptr) {
    const std::string host = HeaderOr(request.headers, "Host", "");
    const std::string label = host.substr(0, host.find_first_of(".:"));
    job.service = core::routing::FindService(*job.snapshot, label);
    if (job.service == nullptr) {
      return refuse(ErrorKind::kUnknownService,
                    absl::StrCat("'", job.service_name.substr(0, 64), "'"));
    }
    job.service_name = label;
    job.path = request.path;
  }
  job.key = HeaderOr(request.headers, "Toucandock-Key", "");
  if (job.key.size() > limits_.key_bytes) {
    return refuse(ErrorKind::kMalformedRequest, "Toucandock-Key is too long");
  }
  if (job.service->config.keyed && job.key.empty()) {
    return refuse(ErrorKind::kMissingKey, "set the header Toucandock-Key");
  }
  job.tenant = HeaderOr(request.headers, "Toucandock-Tenant", "");
  job.request_class =
      core::config::FindClass(job.service->config, request.method, job.path);
  core::Duration remaining = job.request_class.deadline;
  if (const std::string* text =
          http::FindHeader(request.headers, "Toucandock-Deadline")) {
    std::int64_t milliseconds = 0;
    if (!absl::SimpleAtoi(*text, &milliseconds) || milliseconds <= 0 ||
        std::chrono::milliseconds(milliseconds) > kMaxDeadline) {
      return refuse(ErrorKind::kMalformedRequest,
                    "Toucandock-Deadline is not 1 to 3600000 milliseconds");
    }
    remaining = std::chrono::milliseconds(milliseconds);
  }
  if (!job.request_class.idempotent) {
    remaining = std::min(remaining, kMaxAttemptTime);
  }
  job.deadline = job.received + remaining;
  const std::string fingerprint = FingerprintOf(job);
  job.poison_key = {job.service_name, job.request_id, fingerprint};
  if (job.request_id.empty()) {
    job.request_id = hooks_.new_request_id();
  }
  job.attempt = {job.service_name, job.request_id, fingerprint,
                 hooks_.new_request_id()};
  return true;
}

// Repeats the checks that must hold at the time of sending. The request is
// never forwarded again, so that hosts with different views cannot forward it
// in a loop.
http::Response CallerHandler::ServeForward(const http::Request& request) {
  ForwardResult result;
  if (request.method == "GET") {
    result.unavailable = hooks_.is_stopping();
    return EncodeForwardResult(result);
  }
  const absl::StatusOr<Forward> forward = ParseForward(request);
  if (!forward.ok() || hooks_.is_stopping()) {
    result.unavailable = true;
    return EncodeForwardResult(result);
  }
  http::Request inner = forward->request;
  // The other host closes its connection when its caller has gone.
  inner.socket = request.socket;
  Job job = {.request = inner, .received = hooks_.now()};
  if (PrepareForward(forward->metadata, job)) {
    result.attempt = SendWhenAdmitted(job);
    result.remote_queue_count = hooks_.queue_count(job.target->id);
    result.answer = std::move(job.answer);
    result.answer.headers = EndToEndHeaders(result.answer.headers);
  }
  return EncodeForwardResult(result);
}

std::vector<core::control::HostInfo> CallerHandler::QueueHostsToProbe() {
  return queue_hosts_.HostsToProbe(hooks_.now());
}

// Asks a queue host whether it accepts requests. When it fails to respond
// repeatedly, the requests in flight to it are abandoned.
void CallerHandler::ProbeQueueHost(const core::control::HostInfo& host,
                                   std::chrono::milliseconds timeout) {
  http::ExchangeResult exchange =
      client_.Exchange(host.peer_address, {.path = kForwardPath},
                       {.connect_timeout = timeout, .timeout = timeout});
  const bool answered = exchange.progress == http::Progress::kComplete &&
                        !ParseForwardResult(std::move(exchange)).unavailable;
  queue_hosts_.OnProbe(host.id, answered, hooks_.now());
  if (!answered) {
    client_.WakeAll();
  }
}

// Fills the job of a forwarded request. Returns false when this host must not
// send the request by its own view.
bool CallerHandler::PrepareForward(const ForwardMetadata& metadata,
                                   Job& job) const {
  job.is_forwarded = true;
  job.service_name = metadata.service;
  job.path = job.request.path;
  job.key = metadata.key;
  job.request_id = metadata.request_id;
  job.tenant = metadata.tenant;
  job.deadline = job.received + metadata.remaining;
  job.snapshot = view_.snapshot();
  job.service = core::routing::FindService(*job.snapshot, metadata.service);
  if (job.service == nullptr) {
    return false;
  }
  job.request_class = core::config::FindClass(job.service->config,
                                              job.request.method, job.path);
  job.poison_key = {job.service_name, job.request_id, FingerprintOf(job)};
  if (job.service->config.keyed) {
    const core::routing::KeyRoute route =
        core::routing::RouteKey(*job.service, job.key);
    job.target = route.target;
    job.unit = route.unit;
    job.fence = route.fence;
    return view_.HasLease(job.received) && job.target != nullptr &&
           job.target->id == metadata.target && job.fence == metadata.fence;
  }
  const auto& targets = job.service->targets;
  const auto it = std::find_if(
      targets.begin(), targets.end(),
      [&](const auto& target) { return target.id == metadata.target; });
  job.target = it == targets.end() ? nullptr : &*it;
  return job.target != nullptr;
}

http::Response CallerHandler::ServeChecked(Job& job) {
  if (job.service->config.keyed && hooks_.count_key) {
    hooks_.count_key(*job.service, job.key);
  }
  {
    const std::lock_guard<std::mutex> lock(budgets_mutex_);
    budgets_
        .try_emplace(job.service_name, core::admission::RetryBudgetOptions{})
        .first->second.OnRequest();
  }
  core::request::RequestLifecycle lifecycle(
      {.idempotent = job.request_class.idempotent, .deadline = job.deadline},
      core::request::RetryOptions{}, Random());
  Decision decision = lifecycle.Start(hooks_.now());
  while (true) {
    switch (decision.step) {
      case NextStep::kRoute: {
        const PoisonMatch match = hooks_.find_poison_match(job.poison_key);
        decision = match == PoisonMatch::kNone
                       ? lifecycle.OnRoute(Route(job), hooks_.now())
                       : lifecycle.OnPoison(match == PoisonMatch::kSameRequest);
        break;
      }
      case NextStep::kRecord:
        job.recorded = true;
        decision = lifecycle.OnRecord(hooks_.record_attempt(job.attempt),
                                      hooks_.now());
        break;
      case NextStep::kSend: {
        if (lifecycle.attempts() > 0) {
          metrics_.CountRetry(job.service_name);
        }
        const AttemptResult result = Attempt(job);
        decision =
            lifecycle.OnAttempt(result, MayRetry(job, result), hooks_.now());
        break;
      }
      case NextStep::kWait:
        view_.WaitForChange(job.snapshot, view_.HasLease(hooks_.now()),
                            decision.until);
        decision = {.step = NextStep::kRoute};
        break;
      case NextStep::kReturnResponse:
      case NextStep::kRefuse:
        FinishAttemptRecord(job, decision);
        metrics_.CountRequest(
            {job.service_name, job.request_class.name, job.tenant},
            decision.error, decision.outcome, hooks_.now() - job.received);
        return Finish(job, decision);
    }
  }
}

RouteResult CallerHandler::Route(Job& job) const {
  job.snapshot = view_.snapshot();
  job.service = core::routing::FindService(*job.snapshot, job.service_name);
  job.target = nullptr;
  if (job.service == nullptr) {
    return RouteResult::kNotConfigured;
  }
  if (!job.service->config.keyed) {
    job.target = core::routing::ChooseTarget(
        *job.service, job.tried,
        {.in_flight =
             [this](const core::TargetId& id) {
               return in_flight_.CountFor(id);
             },
         .remote_queue_count =
             [this, now = hooks_.now()](const core::TargetId& id) {
               return queue_host_counts_.Get(id, now);
             },
         .is_failing =
             [this, now = hooks_.now()](const core::TargetId& id) {
               return failing_targets_.Contains(id, now);
             },
         .random = Random});
    return job.target == nullptr ? RouteResult::kNoOwner : RouteResult::kReady;
  }
  if (!view_.HasLease(hooks_.now())) {
    return RouteResult::kNoAuthority;
  }
  core::routing::KeyRoute route =
      core::routing::RouteKey(*job.service, job.key);
  if (route.target == nullptr) {
    return RouteResult::kNoOwner;
  }
  job.target = route.target;
  job.unit = std::move(route.unit);
  job.fence = route.fence;
  return RouteResult::kReady;
}

// Reports the outcome of a recorded attempt. An attempt with an unknown outcome
// stays recorded as started.
void CallerHandler::FinishAttemptRecord(const Job& job,
                                        const Decision& decision) const {
  if (!job.recorded || decision.outcome == Outcome::kUnknown) {
    return;
  }
  hooks_.finish_attempt(job.attempt, decision.outcome == Outcome::kRan
                                         ? FinishResult::kRan
                                         : FinishResult::kWithdrawn);
}

http::Response CallerHandler::Finish(const Job& job,
                                     const Decision& decision) const {
  if (decision.step == NextStep::kRefuse) {
    return ProblemResponse(decision.error, decision.outcome, "",
                           job.request_id);
  }
  return {.status = job.answer.status,
          .headers = EndToEndHeaders(job.answer.headers),
          .body = job.answer.body};
}

}  // namespace toucandock::proxy
