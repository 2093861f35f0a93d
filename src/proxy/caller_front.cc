#include "proxy/caller_front.h"

#include <algorithm>
#include <array>
#include <optional>
#include <utility>

#include "absl/strings/match.h"
#include "absl/strings/numbers.h"
#include "absl/strings/str_cat.h"
#include "codec/target_json.h"
#include "core/request/fingerprint.h"
#include "core/routing/home_host.h"
#include "core/routing/target_choice.h"
#include "proxy/problem.h"

namespace toucandock::proxy {
namespace {

using core::ErrorKind;
using core::Outcome;
using core::detection::SignalKind;
using core::request::AttemptResult;
using core::request::AttemptStage;
using core::request::Decision;
using core::request::FinishResult;
using core::request::NextStep;
using core::request::PoisonVerdict;
using core::request::RouteResult;

constexpr absl::string_view kControlPrefix = "toucandock-";
constexpr absl::string_view kNotRun = "not-run";
constexpr core::Duration kLongestDeadline = std::chrono::hours(1);
// Half the time for which attempts are remembered, so that no attempt is
// forgotten while its request may still be sent or run.
constexpr core::Duration kLongestAttempt = std::chrono::minutes(5);
// Time after the deadline in which a home host's own report of a timeout
// arrives.
constexpr std::chrono::milliseconds kHopAllowance{20};
constexpr int kServiceUnavailable = 503;

// Headers that belong to one connection (RFC 9110, section 7.6.1) or that the
// libraries write themselves.
constexpr std::array<absl::string_view, 11> kConnectionHeaders = {
    "connection",
    "keep-alive",
    "proxy-connection",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
    "host",
    "expect",
    "content-length",
    "proxy-authorization"};

bool IsPassedOn(absl::string_view name) {
  if (absl::StartsWithIgnoreCase(name, kControlPrefix)) {
    return false;
  }
  return std::none_of(
      kConnectionHeaders.begin(), kConnectionHeaders.end(),
      [&](absl::string_view it) { return absl::EqualsIgnoreCase(it, name); });
}

bool IsVisibleAscii(absl::string_view text) {
  return std::all_of(text.begin(), text.end(),
                     [](char c) { return c > ' ' && c < '\x7f'; });
}

// Whether the request can be sent to a target as it was received. The client
// library would take a '#' for the end of the path.
bool IsForwardable(const http::Request& request) {
  return request.method != "CONNECT" && !request.path.empty() &&
         request.path.front() == '/' && IsVisibleAscii(request.path) &&
         IsVisibleAscii(request.query) &&
         request.path.find('#') == std::string::npos &&
         request.query.find('#') == std::string::npos;
}

http::Headers PassedOnHeaders(const http::Headers& headers) {
  http::Headers result;
  for (const auto& it : headers) {
    if (IsPassedOn(it.first)) {
      result.push_back(it);
    }
  }
  return result;
}

std::string HeaderOr(const http::Headers& headers,
                     absl::string_view name,
                     const std::string& otherwise) {
  const std::string* value = http::FindHeader(headers, name);
  return value == nullptr ? otherwise : *value;
}

std::uint64_t Random() {
  thread_local std::mt19937_64 generator{std::random_device{}()};
  return generator();
}

}  // namespace

// One request on its way through the front.
struct CallerFront::Job {
  const http::Request& request;
  core::TimePoint received;
  std::string service_name;
  // Path that the target sees.
  std::string path;
  std::string key;
  std::string request_id;
  std::string tenant;
  // A copy, since the snapshot that it comes from may be replaced.
  core::config::ClassConfig request_class;
  core::TimePoint deadline;

  PublishedView::Snapshot snapshot;
  const core::routing::ServiceRoute* service = nullptr;
  const core::routing::TargetRoute* target = nullptr;
  core::Unit unit;
  core::Fence fence = 0;
  std::vector<core::TargetId> tried;
  // Another entry host chose the target.
  bool is_forwarded = false;
  http::Response answer;

  core::request::AttemptKey attempt;
  bool recorded = false;
  core::request::PoisonKey poison_key;

  // Only this host's own requests count when it chooses a target.
  std::optional<core::TargetId> counted_target() const {
    return is_forwarded ? std::nullopt : std::optional(target->id);
  }
};

CallerFront::CallerFront(const settings::Limits& limits,
                         PublishedView& view,
                         InFlightTable& in_flight,
                         http::Client& client,
                         observe::Metrics& metrics,
                         FrontHooks hooks)
    : limits_(limits),
      view_(view),
      in_flight_(in_flight),
      client_(client),
      metrics_(metrics),
      hooks_(std::move(hooks)) {}

http::Response CallerFront::Serve(const http::Request& request) {
  Job job = {.request = request, .received = hooks_.now()};
  http::Response refusal;
  if (!Prepare(job, refusal)) {
    return refusal;
  }
  return ServeChecked(job);
}

std::string CallerFront::FingerprintOf(const Job& job) {
  return core::request::Fingerprint({.method = job.request.method,
                                     .path = job.path,
                                     .query = job.request.query,
                                     .key = job.key,
                                     .body = job.request.body});
}

// Finds the service and checks what the caller sent. Fills `refusal` and
// returns false when the request cannot be served as it is.
bool CallerFront::Prepare(Job& job, http::Response& refusal) const {
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
  // "/service/path", or the first label of the Host header.
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
        std::chrono::milliseconds(milliseconds) > kLongestDeadline) {
      return refuse(ErrorKind::kMalformedRequest,
                    "Toucandock-Deadline is not 1 to 3600000 milliseconds");
    }
    remaining = std::chrono::milliseconds(milliseconds);
  }
  if (!job.request_class.idempotent) {
    remaining = std::min(remaining, kLongestAttempt);
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

// The checks that concern the moment of sending are repeated here. The request
// is never forwarded again, so that hosts with different views cannot pass it
// round in a circle.
http::Response CallerFront::ServeForward(const http::Request& request) {
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
  // The other host gives up when its caller has gone.
  inner.socket = request.socket;
  Job job = {.request = inner, .received = hooks_.now()};
  if (TakeForward(forward->facts, job)) {
    result.attempt = SendInTurn(job);
    result.home_count = hooks_.queue_count(job.target->id);
    result.answer = std::move(job.answer);
    result.answer.headers = PassedOnHeaders(result.answer.headers);
  }
  return EncodeForwardResult(result);
}

std::vector<core::control::HostInfo> CallerFront::HomesToProbe() {
  return homes_.HostsToProbe(hooks_.now());
}

// Asks a home host whether it takes requests. When it does not answer again and
// again, the requests that were forwarded to it are given up.
void CallerFront::ProbeHome(const core::control::HostInfo& host,
                            std::chrono::milliseconds timeout) {
  http::ExchangeResult exchange =
      client_.Exchange(host.peer_address, {.path = kForwardPath},
                       {.connect_timeout = timeout, .timeout = timeout});
  const bool answered = exchange.progress == http::Progress::kComplete &&
                        !ParseForwardResult(std::move(exchange)).unavailable;
  homes_.OnProbe(host.id, answered, hooks_.now());
  if (!answered) {
    client_.WakeAll();
  }
}

// Returns false when this host's view does not allow to send the request.
bool CallerFront::TakeForward(const ForwardFacts& facts, Job& job) const {
  job.is_forwarded = true;
  job.service_name = facts.service;
  job.path = job.request.path;
  job.key = facts.key;
  job.request_id = facts.request_id;
  job.tenant = facts.tenant;
  job.deadline = job.received + facts.remaining;
  job.snapshot = view_.snapshot();
  job.service = core::routing::FindService(*job.snapshot, facts.service);
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
           job.target->id == facts.target && job.fence == facts.fence;
  }
  const auto& targets = job.service->targets;
  const auto it = std::find_if(
      targets.begin(), targets.end(),
      [&](const auto& target) { return target.id == facts.target; });
  job.target = it == targets.end() ? nullptr : &*it;
  return job.target != nullptr;
}

http::Response CallerFront::ServeChecked(Job& job) {
  if (job.service->config.keyed && hooks_.count_key) {
    hooks_.count_key(*job.service, job.key);
  }
  {
    const std::lock_guard<std::mutex> lock(budgets_mutex_);
    budgets_.try_emplace(job.service_name, core::admission::RetryBudgetTerms{})
        .first->second.OnRequest();
  }
  core::request::RequestLife life(
      {.idempotent = job.request_class.idempotent, .deadline = job.deadline},
      core::request::RetryTerms{}, Random());
  Decision decision = life.Start(hooks_.now());
  while (true) {
    switch (decision.step) {
      case NextStep::kRoute: {
        const PoisonVerdict verdict = hooks_.poison_verdict(job.poison_key);
        decision = verdict == PoisonVerdict::kNone
                       ? life.OnRoute(Route(job), hooks_.now())
                       : life.OnPoison(verdict == PoisonVerdict::kSameRequest);
        break;
      }
      case NextStep::kRecord:
        job.recorded = true;
        decision =
            life.OnRecord(hooks_.record_attempt(job.attempt), hooks_.now());
        break;
      case NextStep::kSend: {
        if (life.attempts() > 0) {
          metrics_.CountRetry(job.service_name);
        }
        const AttemptResult result = Attempt(job);
        decision = life.OnAttempt(result, MayRetry(job, result), hooks_.now());
        break;
      }
      case NextStep::kWait:
        view_.WaitForChange(job.snapshot, view_.HasLease(hooks_.now()),
                            decision.until);
        decision = {.step = NextStep::kRoute};
        break;
      case NextStep::kPassOn:
      case NextStep::kRefuse:
        EndAttempt(job, decision);
        metrics_.CountRequest(
            {job.service_name, job.request_class.name, job.tenant},
            decision.error, decision.outcome, hooks_.now() - job.received);
        return Finish(job, decision);
    }
  }
}

RouteResult CallerFront::Route(Job& job) const {
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
         .home_count =
             [this, now = hooks_.now()](const core::TargetId& id) {
               return home_counts_.Get(id, now);
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

// Returns whether the latest view has the same owner and fence for the key.
bool CallerFront::IsStillOwner(const Job& job) const {
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

// Returns whether the target of a request that has not been sent may get no
// more work.
bool CallerFront::IsTargetGone(const Job& job) const {
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

// Attempts that did not reach a target cost it nothing and are not limited by
// the budget; without them, requests would be refused while a lost owner is
// replaced.
bool CallerFront::MayRetry(const Job& job, const AttemptResult& result) {
  if (result.stage == AttemptStage::kNotConnected) {
    return true;
  }
  if (result.stage == AttemptStage::kComplete && !result.refused_by_target) {
    return false;
  }
  const std::lock_guard<std::mutex> lock(budgets_mutex_);
  return budgets_.at(job.service_name).TryRetry();
}

AttemptResult CallerFront::Attempt(Job& job) {
  job.tried.push_back(job.target->id);
  const core::control::HostInfo* home = core::routing::HomeHost(
      *job.snapshot, job.target->id,
      [this](const core::HostId& id) { return homes_.IsFailing(id); });
  return home == nullptr || hooks_.is_self(home->id) ? SendInTurn(job)
                                                     : SendThrough(*home, job);
}

// Leaves the request to the home host of its target.
AttemptResult CallerFront::SendThrough(const core::control::HostInfo& home,
                                       Job& job) {
  // Only counted, for the choice of targets: the home host has the ticket that
  // moves of ownership wait for.
  InFlightTable::Ticket ticket(in_flight_, job.snapshot->sequence,
                               job.target->id, std::nullopt);
  ticket.MarkSent();
  const core::TimePoint start = hooks_.now();
  const HomeWatch::Ticket watched(homes_, home, start);
  const core::Duration remaining = job.deadline - start;
  const http::Request request =
      EncodeForward({.facts = {.service = job.service_name,
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
      .is_cancelled = [&] { return watched.IsLost(); },
      .caller_socket = job.request.socket};
  http::ExchangeResult exchange =
      client_.Exchange(home.peer_address, request, options);
  const bool answered = exchange.progress == http::Progress::kComplete;
  ForwardResult result = ParseForwardResult(std::move(exchange));
  home_counts_.Set(job.target->id, result.home_count, hooks_.now());
  if (result.unavailable) {
    homes_.OnUnavailable(home.id, hooks_.now());
  } else if (answered) {
    homes_.OnAnswer(home.id, hooks_.now());
  }
  if (!result.unavailable &&
      result.attempt.stage == AttemptStage::kNotConnected &&
      !result.attempt.overloaded) {
    failing_targets_.Add(job.target->id, hooks_.now());
  }
  job.answer = std::move(result.answer);
  return result.attempt;
}

// Sends the request when the target has a slot for it.
AttemptResult CallerFront::SendInTurn(Job& job) {
  const core::TimePoint start = hooks_.now();
  const observe::RequestLabels labels = {job.service_name,
                                         job.request_class.name, job.tenant};
  std::unique_ptr<SlotGate::Slot> slot;
  {
    // Only counted, for the choice of targets: nothing is being sent yet.
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
  home_counts_.Set(job.target->id, hooks_.queue_count(job.target->id),
                   hooks_.now());
  using core::admission::WorkEnd;
  if (result.overloaded) {
    slot->SetEnd(WorkEnd::kRefused);
  } else if (result.stage == AttemptStage::kComplete &&
             !result.refused_by_target) {
    slot->SetEnd(WorkEnd::kRan);
  }
  return result;
}

AttemptResult CallerFront::Send(Job& job) {
  const bool keyed = job.service->config.keyed;
  InFlightTable::Ticket ticket(
      in_flight_, job.snapshot->sequence, job.counted_target(),
      keyed ? std::optional<core::Unit>(job.unit) : std::nullopt);
  // The ticket is visible to the control thread now. A view that was published
  // before is seen here; a later one is not acknowledged before the request
  // was sent.
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
  ReportSignal(job, result);
  NoteRun(job, result);
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

http::Request CallerFront::TargetRequest(const Job& job) const {
  http::Request request = {.method = job.request.method,
                           .path = job.path,
                           .query = job.request.query,
                           .body = job.request.body};
  for (const auto& [name, value] : job.request.headers) {
    if (IsPassedOn(name) && !absl::EqualsIgnoreCase(name, "Idempotency-Key")) {
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

void CallerFront::ReportSignal(const Job& job,
                               const http::ExchangeResult& result) const {
  if (result.failure == http::Failure::kRefused ||
      result.failure == http::Failure::kBroken) {
    hooks_.report_signal(job.target->id, SignalKind::kRefused);
  } else if (result.failure == http::Failure::kTimeout) {
    hooks_.report_signal(job.target->id, SignalKind::kTimeout);
  }
}

// Feeds the search for requests that crash their targets.
void CallerFront::NoteRun(const Job& job,
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

// An attempt with an unknown outcome stays recorded as started.
void CallerFront::EndAttempt(const Job& job, const Decision& decision) const {
  if (!job.recorded || decision.outcome == Outcome::kUnknown) {
    return;
  }
  hooks_.finish_attempt(job.attempt, decision.outcome == Outcome::kRan
                                         ? FinishResult::kRan
                                         : FinishResult::kWithdrawn);
}

http::Response CallerFront::Finish(const Job& job,
                                   const Decision& decision) const {
  if (decision.step == NextStep::kRefuse) {
    return ProblemResponse(decision.error, decision.outcome, "",
                           job.request_id);
  }
  return {.status = job.answer.status,
          .headers = PassedOnHeaders(job.answer.headers),
          .body = job.answer.body};
}

}  // namespace toucandock::proxy
