#include "entry/dispatcher.h"

#include <algorithm>
#include <utility>

#include "absl/strings/numbers.h"
#include "absl/strings/str_cat.h"
#include "core/balance/reported_load.h"
#include "core/request/attempt_rules.h"
#include "core/request/fingerprint.h"
#include "entry/contained_exception.h"
#include "entry/event_log.h"
#include "entry/exchange.h"

namespace toucandock::entry {
namespace {

namespace http = boost::beast::http;
using core::Duration;
using core::ErrorKind;
using core::TimePoint;
using core::balance::AttemptHealth;
using core::balance::Availability;
using core::request::AttemptDecision;
using core::request::AttemptEnd;
using std::chrono::milliseconds;

// Assumed response time of a service before its first response.
constexpr core::FloatSeconds kInitialTypicalTime{0.2};
constexpr double kTypicalTimeSmoothing = 0.02;
// Retry-After of a request that was refused for lack of a target with room. It
// is short because a change of owners in progress ends soon.
constexpr milliseconds kRetryAfterMove{250};
constexpr milliseconds kMinRetryAfter{50};

TimePoint Now() {
  return std::chrono::steady_clock::now();
}

milliseconds ToMilliseconds(Duration time) {
  return std::chrono::duration_cast<milliseconds>(time);
}

// Returns the same text for requests with the same content, so that a request
// is recognized when it is sent again with another id.
std::string FingerprintOf(const net::HttpRequest& request) {
  const auto view = [](boost::beast::string_view text) {
    return absl::string_view(text.data(), text.size());
  };
  return core::request::Fingerprint({.method = view(request.method_string()),
                                     .path = view(request.target()),
                                     .body = request.body(),
                                     .host = view(request[http::field::host])});
}

// Removes the headers that are meaningful for a single connection only.
void RemoveHopHeaders(net::HttpRequest& request) {
  for (const http::field field :
       {http::field::connection, http::field::keep_alive,
        http::field::proxy_connection, http::field::te,
        http::field::transfer_encoding, http::field::upgrade,
        http::field::expect}) {
    request.erase(field);
  }
}

}  // namespace

Dispatcher::Dispatcher(boost::asio::io_context& io,
                       net::HeaderNames names,
                       std::string failure_domain,
                       const core::balance::RetryWindowOptions& retries,
                       const DispatchOptions& options,
                       DispatchHooks hooks)
    : io_(io),
      names_(std::move(names)),
      retry_options_(retries),
      options_(options),
      hooks_(std::move(hooks)),
      view_(std::make_shared<RoutingView>()),
      notices_(io, metrics_),
      cold_targets_(io,
                    names_,
                    answer_memory_,
                    metrics_,
                    MakeColdTargetHooks()),
      targets_(std::move(failure_domain),
               notices_,
               {.connection_fraction = options.connection_fraction,
                .evacuation = options.evacuation},
               {.max_requests =
                    [this](const TargetHandle& it, TimePoint now) {
                      return MaxRequestsOf(it, now);
                    }}),
      crash_watch_(
          io,
          metrics_,
          notices_,
          {.probe_delay = options.probe_delay,
           .rejected_probe_delay = options.rejected_probe_delay,
           .probe_limit = options.probe_limit,
           .safe_contents = options.safe_contents},
          {.is_listed =
               [this](const core::discovery::TargetInstance& instance) {
                 return targets_.Find(instance) != nullptr;
               },
           .on_probed =
               [this](const TargetHandle& it, bool is_accepted, TimePoint now) {
                 if (is_accepted) {
                   cold_targets_.OnAccepted(it, now);
                 } else {
                   cold_targets_.OnUnreachable(it.target.entry);
                 }
               },
           .report =
               [this](const PoisonUpdate& it) { hooks_.report_poison(it); }}),
      waiting_(
          io,
          metrics_,
          options.dispatch_interval,
          {.max_requests = options.max_waiting,
           .late_wait_fraction = options.late_wait_fraction},
          {.try_send =
               [this](const ExchangePtr& it, TimePoint now) {
                 bool is_settled = true;
                 RunStep(it, [&] { is_settled = TryDispatch(it, now); });
                 return is_settled;
               },
           .end_if_unavailable =
               [this](const ExchangePtr& it, TimePoint now) {
                 return EndIfUnavailable(it, now);
               },
           .lane_of =
               [this](const Exchange& it) { return targets_.LaneOf(it); },
           .outlook_of = [this](const Exchange& it,
                                TimePoint now) { return OutlookOf(it, now); },
           .set_timer = [this](const ExchangePtr& it,
                               TimePoint until) { ArmTimer(it, until); },
           .refuse =
               [this](const ExchangePtr& it,
                      const core::admission::RefusedWait& refused) {
                 RefuseWaiting(it, refused);
               }}),
      report_timer_(io),
      random_(std::random_device{}()) {
  SendReports();
}

Dispatcher::~Dispatcher() = default;

void Dispatcher::SetView(std::shared_ptr<const RoutingView> view) {
  view_ = std::move(view);
  const TimePoint now = Now();
  crash_watch_.SetView(*view_, now);
  targets_.SetView(view_, now);
  OnTargetsListed(now);
  waiting_.OnViewChanged(now);
}

void Dispatcher::SetRetryOptions(
    const core::balance::RetryWindowOptions& options) {
  retry_options_ = options;
  for (auto& [service, window] : retry_windows_) {
    window.SetOptions(options);
  }
}

core::balance::RetryWindow& Dispatcher::RetriesOf(const std::string& service) {
  return retry_windows_.try_emplace(service, retry_options_).first->second;
}

std::shared_ptr<Exchange> Dispatcher::Start(net::HttpRequest request,
                                            const std::string& caller,
                                            TimePoint now,
                                            CallerAnswerHandler handler) {
  auto exchange = std::make_shared<Exchange>(io_);
  exchange->request = std::move(request);
  exchange->handler = std::move(handler);
  exchange->arrived = now;
  RunStep(exchange, [&] { Begin(exchange, caller, now); });
  return exchange;
}

// Runs one step of a request. An exception ends this request only: with 400 if
// nothing of it was sent to a target, since then the request itself is the
// cause, and otherwise with 500 and an unknown outcome.
void Dispatcher::RunStep(const ExchangePtr& exchange,
                         const std::function<void()>& step) {
  if (Contain("request", step) || exchange->done) {
    return;
  }
  const bool was_sent = exchange->attempts > 0 || exchange->may_have_run;
  if (exchange->connection) {
    exchange->connection->Abandon();
    exchange->connection = nullptr;
    exchange->current_target->load.OnCancelled();
    exchange->current_target = nullptr;
  }
  Fail(exchange, was_sent ? ErrorKind::kInternal : ErrorKind::kMalformedRequest,
       "exception");
}

void Dispatcher::Begin(const ExchangePtr& exchange,
                       const std::string& caller,
                       TimePoint now) {
  exchange->request_id = std::string(exchange->request[names_.request_id]);
  exchange->caller = caller;
  exchange->content_fingerprint = FingerprintOf(exchange->request);
  exchange->caller_fingerprint =
      core::request::CallerFingerprint(caller, exchange->content_fingerprint);
  running_.insert(exchange);
  const net::HttpRequest& it = exchange->request;
  if (view_->routes == nullptr) {
    Refuse(exchange, ErrorKind::kNotConfigured, "no configuration read yet",
           milliseconds(500));
    return;
  }
  if (refusing_) {
    Refuse(exchange, ErrorKind::kStopping, "host is stopping", kMinRetryAfter);
    return;
  }
  exchange->routes = view_->routes;
  const std::string host(it[http::field::host]);
  exchange->route = exchange->routes->Find(
      host, absl::string_view(it.target().data(), it.target().size()));
  if (exchange->route == nullptr) {
    Refuse(exchange, ErrorKind::kNotFound, "no route", Duration{});
    return;
  }
  const core::routing::Route& route = *exchange->route;
  exchange->service =
      route.services.size() == 1
          ? route.services.front().service
          : rotations_[host + route.path_prefix].Next(route.services);
  Duration time_limit = route.timeout;
  std::int64_t deadline_ms = 0;
  const auto deadline = it.find(names_.deadline);
  if (deadline != it.end() &&
      absl::SimpleAtoi(
          absl::string_view(deadline->value().data(), deadline->value().size()),
          &deadline_ms)) {
    time_limit = std::min<Duration>(time_limit, milliseconds(deadline_ms));
  }
  exchange->answer_by = now + time_limit;
  exchange->goal_by = now + std::min(route.latency_goal, time_limit);
  exchange->wait_deadline = std::max(
      exchange->goal_by - response_times_[exchange->service].AnswerTime(route),
      now + std::chrono::duration_cast<Duration>(time_limit *
                                                 options_.late_wait_fraction));
  const core::routing::RoutedService* service =
      exchange->routes->FindService(exchange->service);
  if (service != nullptr && service->keyed) {
    std::uint32_t key = 0;
    const auto header = it.find(names_.key);
    if (header == it.end() ||
        !absl::SimpleAtoi(
            absl::string_view(header->value().data(), header->value().size()),
            &key) ||
        key > core::keyspace::kLastKey) {
      Refuse(exchange, ErrorKind::kMissingKey, "no key", Duration{});
      return;
    }
    exchange->key = key;
    core::keyspace::LoadReport& report = reports_[exchange->service];
    if (report.keys.size() < options_.max_reported_keys) {
      report.keys.push_back(key);
    }
  }
  if (IsRefusedAsPoison(*exchange)) {
    FailAsPoison(exchange);
    return;
  }
  RetriesOf(exchange->service).OnRequest(now);
  typical_times_.try_emplace(exchange->service, kInitialTypicalTime);
  exchange->returned = told_returns_.Take(exchange->caller_fingerprint, now);
  metrics_.CountReturn(exchange->service, exchange->returned.state);
  if (exchange->returned.state != core::admission::Return::kNew) {
    exchange->goal_by = exchange->returned.goal_by;
  }
  if (exchange->key && RefuseUnlessAdmitted(exchange, now)) {
    return;
  }
  SendOrWait(exchange, now);
}

// Returns false when the request has to wait for a target.
bool Dispatcher::TryDispatch(const ExchangePtr& exchange, TimePoint now) {
  // The content may have been blocked while the request waited or while an
  // earlier attempt ran.
  if (IsRefusedAsPoison(*exchange)) {
    FailAsPoison(exchange);
    return true;
  }
  const HandlePtr handle = ChooseTarget(*exchange, now);
  if (handle == nullptr) {
    return EndIfUnavailable(exchange, now);
  }
  SendTo(exchange, handle, now);
  return true;
}

// Returns the most recently used connection that is usable and has not carried
// this request before, or null. A request without an id never reuses a
// connection: only its own connection distinguishes its response from those to
// other requests.
std::shared_ptr<TargetConnection> Dispatcher::TakeIdleConnection(
    const Exchange& exchange,
    TargetHandle& handle,
    milliseconds max_idle) {
  if (exchange.request_id.empty()) {
    return nullptr;
  }
  const auto is_used = [&exchange](const auto& connection) {
    return std::any_of(
        exchange.used_connections.begin(), exchange.used_connections.end(),
        [&connection](const auto& it) { return it.lock() == connection; });
  };
  for (size_t n = handle.idle.size(); n > 0; --n) {
    std::shared_ptr<TargetConnection> it = handle.idle[n - 1];
    if (is_used(it)) {
      continue;
    }
    handle.idle.erase(handle.idle.begin() + static_cast<std::ptrdiff_t>(n) - 1);
    if (it->IsUsable(max_idle)) {
      return it;
    }
  }
  return nullptr;
}

void Dispatcher::SendTo(const ExchangePtr& exchange,
                        const HandlePtr& handle,
                        TimePoint now) {
  // Built first, so that an exception leaves the counts of the target alone.
  net::HttpRequest request = RequestFor(*exchange, *handle, now);
  waiting_.OnSent(*exchange, now);
  AwaitPermit(*exchange, std::nullopt);
  exchange->attempts++;
  exchange->tried.push_back(handle->target.entry.instance);
  exchange->current_target = handle;
  exchange->sent_at = now;
  handle->load.OnSent();
  notices_.OnSent(handle->target.entry.instance, now);
  const milliseconds max_idle = exchange->route->IsIdempotent()
                                    ? options_.max_idle_idempotent
                                    : options_.max_idle_non_idempotent;
  exchange->connection = TakeIdleConnection(*exchange, *handle, max_idle);
  if (exchange->attempts > 1) {
    metrics_.CountRetry(exchange->service);
  }
  if (!exchange->connection) {
    exchange->connection = Connect(handle, exchange->send_by);
  }
  exchange->used_connections.push_back(exchange->connection);
  ArmAttemptTimer(exchange, now);
  exchange->connection->Send(
      std::move(request), [this, exchange](TargetAnswer answer) {
        RunStep(exchange, [&] { OnTargetAnswer(exchange, std::move(answer)); });
      });
}

// Returns the request as it is sent to the target.
net::HttpRequest Dispatcher::RequestFor(const Exchange& exchange,
                                        const TargetHandle& handle,
                                        TimePoint now) const {
  net::HttpRequest request = exchange.request;
  RemoveHopHeaders(request);
  const milliseconds left = ToMilliseconds(exchange.answer_by - now);
  request.set(names_.deadline,
              std::to_string(std::max<std::int64_t>(1, left.count())));
  request.set(names_.expected_target, handle.target.entry.instance.id);
  request.version(11);
  request.keep_alive(true);
  request.prepare_payload();
  return request;
}

void Dispatcher::UpdateLoad(Exchange& exchange,
                            const TargetAnswer& answer,
                            TimePoint now) {
  TargetHandle& handle = *exchange.current_target;
  if (answer.cause == AttemptCause::kTargetUnavailable) {
    handle.load.OnCancelled();
    return;
  }
  const Duration taken = now - exchange.sent_at;
  const auto reported = NoteReport(exchange, answer, now);
  const bool has_queue = reported && reported->waiting > 0;
  AttemptHealth health = AttemptHealth::kGood;
  switch (answer.end) {
    case AttemptEnd::kAnswered:
      // With a queue at the target, the response time includes the time in the
      // queue and does not show the target's speed.
      if (!has_queue) {
        handle.answers++;
        handle.answer_time += taken;
      }
      response_times_[exchange.service].Add(*exchange.route, taken, has_queue);
      typical_times_[exchange.service] +=
          (core::FloatSeconds(taken) - typical_times_[exchange.service]) *
          kTypicalTimeSmoothing;
      break;
    case AttemptEnd::kNotExecuted:
      health = core::balance::HealthOfRefusal(answer.shed, reported,
                                              handle.target.entry.slots);
      if (health == AttemptHealth::kRefusedWithFreeSlots) {
        metrics_.CountRefusalWithFreeSlots(exchange.service);
      }
      break;
    case AttemptEnd::kNotSent:
      health = answer.rejected_connection ? AttemptHealth::kRejected
                                          : AttemptHealth::kUnreachable;
      break;
    case AttemptEnd::kFailedAnswer:
      health = AttemptHealth::kFailed;
      break;
    case AttemptEnd::kBroken:
      health = answer.rejected_connection ? AttemptHealth::kRejected
                                          : AttemptHealth::kFailed;
      break;
  }
  handle.load.OnEnd(health, taken, now);
}

void Dispatcher::OnTargetAnswer(const ExchangePtr& exchange,
                                TargetAnswer answer) {
  const TimePoint now = Now();
  UpdateLoad(*exchange, answer, now);
  const std::string service = exchange->service;
  const HandlePtr handle = exchange->current_target;
  const core::balance::AvailabilityState state =
      targets_.StateOf(handle->target.entry, now);
  if (state.availability != Availability::kLeaving &&
      !exchange->is_target_silent &&
      exchange->connection->IsUsable(options_.max_idle_idempotent)) {
    handle->idle.push_back(std::move(exchange->connection));
  }
  exchange->connection = nullptr;
  exchange->current_target = nullptr;
  if (answer.on_stale_connection) {
    // The other idle connections to this target have probably ended as well.
    handle->idle.clear();
  }
  NoteUnreachable(*handle, answer.cause);
  crash_watch_.OnAttemptEnd(*exchange, handle, answer, now);
  if (exchange->done) {
    OnCapacity(*handle, now);
    return;
  }
  const auto table = view_->ownership.find(service);
  if (answer.misdirected && table != view_->ownership.end()) {
    exchange->misdirected_at = table->second.offset;
  }
  const AttemptDecision next = core::request::DecideAfterAttempt(
      {.end = answer.end,
       .idempotent = exchange->route->IsIdempotent(),
       .may_have_run = exchange->may_have_run,
       .attempts = exchange->attempts,
       .max_attempts = exchange->route->max_attempts,
       .time_left = exchange->answer_by - now},
      [&] {
        // A retry that could not be sent in time would only use up the budget.
        return !FindUnavailability(*exchange, now) &&
               RetriesOf(service).TryRetry(view_->live_hosts, now);
      });
  exchange->may_have_run =
      exchange->may_have_run || core::request::MayHaveRun(answer.end);
  if (answer.end != AttemptEnd::kAnswered) {
    metrics_.CountFailedAttempt(service, ToString(answer.cause));
    LogEvent("attempt_failed",
             {{"request", exchange->request_id},
              {"service", service},
              {"target", handle->target.entry.instance.id},
              {"born", handle->target.entry.instance.start_time_ms},
              {"end", core::request::ToString(answer.end)},
              {"cause", ToString(answer.cause)},
              {"content", exchange->content_fingerprint},
              {"caller", exchange->caller},
              {"answer_has_id", answer.response.find(names_.request_id) !=
                                    answer.response.end()},
              {"status", answer.response.result_int()},
              {"attempt", exchange->attempts},
              {"after_ms", ToMilliseconds(now - exchange->sent_at).count()},
              {"idempotent", exchange->route->IsIdempotent()},
              {"left_ms", ToMilliseconds(exchange->answer_by - now).count()},
              {"next", core::request::ToString(next)}});
  }
  switch (next) {
    case AttemptDecision::kDeliver:
      Finish(exchange, {.response = std::move(answer.response)});
      break;
    case AttemptDecision::kRetry:
      if (answer.end == AttemptEnd::kNotSent) {
        exchange->attempts--;
      }
      if (!exchange->key && (state.availability == Availability::kLeaving ||
                             state.availability == Availability::kPaused)) {
        NoteRedirected(*exchange, handle->target.entry.instance.id, state,
                       "other-target");
      }
      SendOrWait(exchange, now);
      break;
    case AttemptDecision::kRefuse: {
      const auto reason = FindUnavailability(*exchange, now);
      if (reason) {
        RefuseAsUnavailable(exchange, *reason);
      } else {
        Refuse(exchange, ErrorKind::kOverloaded, "target refused",
               kRetryAfterMove);
      }
      break;
    }
    case AttemptDecision::kFail:
      Fail(exchange, ErrorKind::kOutcomeUnknown, "no usable answer");
      break;
  }
  OnCapacity(*handle, now);
}

bool Dispatcher::IsRefusedAsPoison(const Exchange& exchange) const {
  const auto& refused = view_->poison->refused;
  return !refused.empty() && (refused.contains(exchange.caller_fingerprint) ||
                              refused.contains(exchange.content_fingerprint));
}

// Earlier requests with this content began to run, so the error neither states
// that nothing has run nor asks the caller to retry.
void Dispatcher::FailAsPoison(const ExchangePtr& exchange) {
  Fail(exchange, ErrorKind::kCrashedTargets,
       "targets ended under the same content");
}

void Dispatcher::ArmTimer(const ExchangePtr& exchange, TimePoint until) {
  exchange->timer.expires_at(until);
  exchange->timer.async_wait(
      [this, exchange](const boost::system::error_code& ec) {
        if (!ec && !exchange->done) {
          RunStep(exchange, [&] { OnTimer(exchange); });
        }
      });
}

// Called when the request has waited for a target, or its attempt has run, for
// the longest time allowed.
void Dispatcher::OnTimer(const ExchangePtr& exchange) {
  if (exchange->connection) {
    const TimePoint now = Now();
    if (now < exchange->answer_by) {
      OnSilence(exchange, now);
      return;
    }
    NoteUnanswered(*exchange, now);
    exchange->may_have_run = true;
    if (exchange->route->IsIdempotent()) {
      exchange->connection->Abandon();
      exchange->connection = nullptr;
      exchange->current_target->load.OnEnd(AttemptHealth::kFailed,
                                           now - exchange->sent_at, now);
      exchange->current_target = nullptr;
    }
    Fail(exchange, ErrorKind::kAnswerTimeout, "no answer in time");
    ArmLateAnswerTimer(exchange);
    return;
  }
  if (IsRefusedAsPoison(*exchange)) {
    FailAsPoison(exchange);
    return;
  }
  waiting_.OnTimeUp(exchange, Now());
}

// Collects the inputs of a decision for the log line that explains it.
Dispatcher::DecisionInputs Dispatcher::InputsOf(
    const Exchange& exchange) const {
  DecisionInputs inputs;
  if (exchange.routes) {
    inputs.config = exchange.routes->config().version;
  }
  const auto table = view_->ownership.find(exchange.service);
  if (!exchange.key || table == view_->ownership.end()) {
    return inputs;
  }
  inputs.owners_offset = table->second.offset;
  inputs.owner_denied = exchange.misdirected_at == table->second.offset;
  const core::keyspace::Assignment* assignment =
      core::keyspace::FindAssignment(table->second, *exchange.key);
  if (assignment == nullptr) {
    return inputs;
  }
  inputs.owner = assignment->owner.id;
  inputs.owner_serves = assignment->serving;
  if (const HandlePtr owner = targets_.Find(assignment->owner)) {
    inputs.owner_load = owner->load.Estimate(Now());
  }
  return inputs;
}

void Dispatcher::Refuse(const ExchangePtr& exchange,
                        ErrorKind error,
                        const char* cause,
                        Duration retry_after) {
  if (error != ErrorKind::kNotFound) {
    const DecisionInputs inputs = InputsOf(*exchange);
    LogEvent("refused",
             {{"request", exchange->request_id},
              {"service", exchange->service},
              {"key", exchange->key.value_or(0)},
              {"error", core::ToString(error)},
              {"cause", cause},
              {"attempts", exchange->attempts},
              {"waited_ms", ToMilliseconds(Now() - exchange->arrived).count()},
              {"retry_after_ms", ToMilliseconds(retry_after).count()},
              {"config", inputs.config},
              {"owner", inputs.owner},
              {"owners_offset", inputs.owners_offset},
              {"owner_serves", inputs.owner_serves},
              {"owner_denied", inputs.owner_denied},
              {"owner_load", inputs.owner_load}});
  }
  Finish(exchange, {.error = error, .retry_after = retry_after});
}

void Dispatcher::Fail(const ExchangePtr& exchange,
                      ErrorKind error,
                      const char* cause) {
  LogEvent("failed",
           {{"request", exchange->request_id},
            {"service", exchange->service},
            {"error", core::ToString(error)},
            {"cause", cause},
            {"attempts", exchange->attempts},
            {"last_target",
             exchange->tried.empty() ? "" : exchange->tried.back().id},
            {"waited_ms", ToMilliseconds(Now() - exchange->arrived).count()},
            {"content", exchange->content_fingerprint},
            {"config", InputsOf(*exchange).config}});
  Finish(exchange, {.error = error});
}

void Dispatcher::Finish(const ExchangePtr& exchange, CallerAnswer answer) {
  waiting_.Remove(*exchange);
  AwaitPermit(*exchange, std::nullopt);
  if (exchange->done) {
    return;
  }
  exchange->done = true;
  running_.erase(exchange);
  metrics_.CountRequest(exchange->service, answer.error,
                        Now() - exchange->arrived);
  exchange->timer.cancel();
  CallerAnswerHandler handler = std::move(exchange->handler);
  exchange->handler = nullptr;
  handler(std::move(answer));
}

void Dispatcher::FailAll() {
  const std::vector<ExchangePtr> running(running_.begin(), running_.end());
  for (const ExchangePtr& it : running) {
    if (it->connection || it->may_have_run) {
      Fail(it, ErrorKind::kOutcomeUnknown, "host is stopping");
    } else {
      Refuse(it, ErrorKind::kStopping, "host is stopping", kMinRetryAfter);
    }
  }
}

void Dispatcher::Cancel(const ExchangePtr& exchange) {
  if (exchange->done) {
    return;
  }
  LogEvent("caller_left",
           {{"request", exchange->request_id},
            {"service", exchange->service},
            {"attempts", exchange->attempts},
            {"target", exchange->current_target
                           ? exchange->current_target->target.entry.instance.id
                           : ""},
            {"waited_ms", ToMilliseconds(Now() - exchange->arrived).count()}});
  waiting_.Remove(*exchange);
  AwaitPermit(*exchange, std::nullopt);
  exchange->done = true;
  running_.erase(exchange);
  exchange->timer.cancel();
  exchange->handler = nullptr;
  if (exchange->connection && exchange->route->IsIdempotent()) {
    exchange->connection->Abandon();
    exchange->connection = nullptr;
    const HandlePtr handle = std::exchange(exchange->current_target, nullptr);
    handle->load.OnCancelled();
    OnCapacity(*handle, Now());
    return;
  }
  ArmLateAnswerTimer(exchange);
}

// Lets a request that must not run twice finish at its target although its
// caller no longer waits. The target stops at the deadline that it received, so
// a response that still continues `late_answer_limit` later would never end and
// is aborted.
void Dispatcher::ArmLateAnswerTimer(const ExchangePtr& exchange) {
  if (!exchange->connection) {
    return;
  }
  exchange->timer.expires_at(exchange->answer_by + options_.late_answer_limit);
  exchange->timer.async_wait([this,
                              exchange](const boost::system::error_code& ec) {
    if (ec || !exchange->connection) {
      return;
    }
    exchange->connection->Abandon();
    exchange->connection = nullptr;
    const HandlePtr handle = std::exchange(exchange->current_target, nullptr);
    handle->load.OnCancelled();
    OnCapacity(*handle, Now());
  });
}

// Reports the requested keys, and every so often the response times of the
// targets, to the leader, which decides about owners.
void Dispatcher::SendReports() {
  const bool with_speeds =
      ++reports_sent_ % options_.reports_per_speed_report == 0;
  for (auto& [service, report] : reports_) {
    if (report.keys.empty()) {
      continue;
    }
    report.service = service;
    for (const HandlePtr& it : targets_.OfService(service)) {
      if (with_speeds && it->answers > 0) {
        report.speeds.push_back({.target_id = it->target.entry.instance.id,
                                 .answers = it->answers,
                                 .mean_time = it->answer_time / it->answers});
        it->answers = 0;
        it->answer_time = Duration{};
      }
    }
    hooks_.report_load(report);
    report = {};
  }
  report_timer_.expires_after(options_.report_interval);
  report_timer_.async_wait([this](const boost::system::error_code& ec) {
    if (!ec) {
      SendReports();
    }
  });
}

}  // namespace toucandock::entry
