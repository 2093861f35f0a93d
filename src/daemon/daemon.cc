#include "daemon/daemon.h"

#include <fstream>
#include <random>
#include <utility>

#include "absl/strings/match.h"
#include "absl/strings/str_cat.h"
#include "codec/config_yaml.h"
#include "codec/message_json.h"
#include "codec/target_json.h"
#include "core/routing/queue_host.h"
#include "core/routing/routing_snapshot.h"
#include "observe/logging.h"
#include "platform/host_list_client.h"
#include "proxy/problem.h"

namespace toucandock::daemon {
namespace {

using namespace core::control;  // NOLINT(google-build-using-namespace)
using std::chrono::duration_cast;
using std::chrono::milliseconds;

// Maximum number of concurrent blocking calls of the control thread: one for
// each of the about 43 targets of a tenant, and the calls to peers.
constexpr size_t kWorkers = 48;
// Maximum number of concurrent blocking calls for outcomes, handovers and crash
// reports.
constexpr size_t kRequestWorkers = 4;
constexpr size_t kHistorySize = 10'000;
constexpr milliseconds kLogRetry{100};

core::TimePoint Now() {
  return std::chrono::steady_clock::now();
}

std::string RandomId() {
  thread_local std::mt19937_64 generator{std::random_device{}()};
  return absl::StrCat(absl::Hex(generator(), absl::kZeroPad16),
                      absl::Hex(generator(), absl::kZeroPad16));
}

}  // namespace

Daemon::Daemon(settings::Settings settings)
    : settings_(std::move(settings)),
      host_id_(absl::StrCat(settings_.host_name, "-", RandomId().substr(0, 8))),
      control_clients_(metrics_),
      peers_(control_clients_.peers,
             duration_cast<milliseconds>(settings_.peer_timeout),
             {.self = host_id_,
              .members = [this] { return view_.snapshot()->hosts; }}),
      history_(kHistorySize),
      trace_(settings_),
      ownership_(MakeOwnershipHooks()),
      gate_(Now),
      targets_(control_clients_.targets,
               duration_cast<milliseconds>(settings_.probe_timeout)),
      log_(control_clients_.log,
           {.address = settings_.log_address, .stream = settings_.log_stream}) {
}

Daemon::~Daemon() {
  RequestStop();
  ended_ = true;
  if (log_thread_.joinable()) {
    log_thread_.join();
  }
  if (host_list_thread_.joinable()) {
    host_list_thread_.join();
  }
  caller_server_.reset();
  operator_server_.reset();
  if (control_) {
    control_->Stop();
  }
  peer_server_.reset();
  request_pool_.reset();
  pool_.reset();
}

absl::Status Daemon::Start() {
  if (absl::Status status =
          observe::SetUpLogging(host_id_, settings_.log_level);
      !status.ok()) {
    return status;
  }
  pool_ = std::make_unique<WorkPool>(kWorkers);
  if (absl::Status status = StartServers(); !status.ok()) {
    return status;
  }
  log_thread_ = std::thread([this] { ReadLog(); });
  if (!settings_.host_list_address.empty()) {
    host_list_thread_ = std::thread([this] { ReadHostList(); });
  }
  return WriteAddresses();
}

// Starts the servers of the three ports. The operator port comes last, since
// its handlers use the control loop.
absl::Status Daemon::StartServers() {
  StartRequestServices();
  rpc_ = std::make_unique<peer::JsonRpcServer>(PeerMethods());
  caller_handler_ = std::make_unique<proxy::CallerHandler>(
      settings_.limits, view_, in_flight_, client_, metrics_,
      MakeCallerHandlerHooks());
  operator_handler_ = std::make_unique<OperatorHandler>(history_, metrics_,
                                                        MakeOperatorHooks());
  const auto start = [](std::unique_ptr<http::Server>& server,
                        const http::ServerOptions& options,
                        http::Handler handler) {
    auto started = http::Server::Start(options, std::move(handler));
    if (!started.ok()) {
      return started.status();
    }
    server = *std::move(started);
    return absl::OkStatus();
  };
  absl::Status status =
      start(caller_server_,
            {.address = settings_.caller_address,
             .max_body = settings_.limits.body_bytes,
             .max_headers = settings_.limits.header_bytes,
             .max_connections = settings_.limits.caller_connections},
            [this](const http::Request& request) {
              return caller_handler_->Serve(request);
            });
  // The control loop starts after the peer port is bound, since the address of
  // that port is part of this host's identity towards its peers. ServePeer()
  // refuses calls until then.
  status.Update(start(
      peer_server_,
      {.address = settings_.peer_address,
       .max_body = kPeerBodyBytes,
       // Forwarded requests have the caller's headers and those of the forward
       // itself.
       .max_headers = size_t{2} * settings_.limits.header_bytes,
       .max_connections = settings_.limits.peer_connections},
      [this](const http::Request& request) { return ServePeer(request); }));
  if (!status.ok()) {
    return status;
  }
  StartControl();
  return start(operator_server_, {.address = settings_.operator_address},
               [this](const http::Request& request) {
                 return operator_handler_->Serve(request);
               });
}

void Daemon::StartControl() {
  ControllerOptions options = {
      .self = {.id = host_id_,
               .peer_address = settings_.advertised_peer_address.empty()
                                   ? peer_server_->address()
                                   : settings_.advertised_peer_address,
               .caller_address = caller_server_->address(),
               .failure_domain = settings_.failure_domain},
      .lease_options = settings_.lease};
  for (const std::string& it : settings_.seed_peers) {
    options.seeds.push_back({.id = "", .peer_address = it});
  }
  const ControlHooks hooks = {.parse_config =
                                  [](const std::string& text) {
                                    return codec::ParseConfig("config", text);
                                  },
                              .new_record_id = trace_.NewRecordId(RandomId)};
  LoopHooks loop_hooks = {
      .now = Now,
      .tick =
          [this] {
            for (const HostInfo& it : caller_handler_->QueueHostsToProbe()) {
              pool_->Run([this, it] {
                caller_handler_->ProbeQueueHost(
                    it, duration_cast<milliseconds>(settings_.peer_timeout));
              });
            }
            return TickEvent{in_flight_.OldestSending(), in_flight_.BusyUnits(),
                             key_meter_.TakeIfDue(Now())};
          },
      .perform =
          [this](const Action& action, const HostController& controller) {
            Perform(action, controller);
          },
      .after_event = [this](
                         const HostController& controller,
                         core::TimePoint now) { AfterEvent(controller, now); },
      .trace = trace_.Start(options)};
  control_ = std::make_unique<ControlLoop>(std::move(options), hooks,
                                           std::move(loop_hooks));
  control_->Start();
}

// Writes one line for each port, for scripts that let the kernel choose the
// ports.
absl::Status Daemon::WriteAddresses() const {
  if (settings_.address_file.empty()) {
    return absl::OkStatus();
  }
  std::ofstream file(settings_.address_file);
  file << "caller " << caller_server_->address() << "\npeer "
       << peer_server_->address() << "\noperator "
       << operator_server_->address() << "\n";
  file.close();
  if (!file) {
    return absl::UnavailableError(
        absl::StrCat("cannot write ", settings_.address_file));
  }
  return absl::OkStatus();
}

void Daemon::RequestStop() {
  const std::lock_guard<std::mutex> lock(stop_mutex_);
  stopping_ = true;
  stop_requested_.notify_all();
}

void Daemon::WaitUntilStopped() {
  {
    std::unique_lock<std::mutex> lock(stop_mutex_);
    stop_requested_.wait(lock, [this] { return stopping_.load(); });
  }
  StopGracefully();
}

// Refuses new requests as not run, tells callers to close their connections,
// and lets requests in service end before the host leaves the fleet.
void Daemon::StopGracefully() {
  observe::LogStateChange("planned stop", "asked for by signal or operator");
  caller_server_->Drain(duration_cast<milliseconds>(settings_.stop_limit));
  control_->Post(StopEvent{});
  // Allows time for the leave record and for the peers to elect another leader.
  std::this_thread::sleep_for(settings_.lease.election);
  // Waits for requests that were accepted from other entry hosts before the
  // stop.
  peer_server_->Drain(duration_cast<milliseconds>(settings_.stop_limit));
  ended_ = true;
}

void Daemon::AfterEvent(const HostController& controller, core::TimePoint now) {
  view_.SetLease(controller.lease_until(), now);
  metrics_.SetHasLease(now < controller.lease_until());
  ownership_.Advance(now, now < controller.lease_until());
}

void Daemon::RecordDecision(const std::string& what, const std::string& cause) {
  history_.Add({std::chrono::system_clock::now(), what, cause});
  observe::LogStateChange(what, cause);
}

observe::OwnershipHooks Daemon::MakeOwnershipHooks() {
  return {.decided =
              [this](const std::string& what, const std::string& cause) {
                RecordDecision(what, cause);
              },
          .owner_changed =
              [this](const std::string& service) {
                metrics_.CountOwnerChange(service);
              },
          .without_owner =
              [this](const std::string& service, core::Duration time) {
                metrics_.AddWithoutOwner(service, time);
              },
          .without_lease =
              [this](core::Duration time) { metrics_.AddWithoutLease(time); }};
}

void Daemon::Perform(const Action& action, const HostController& controller) {
  if (const auto* decision = std::get_if<DecisionAction>(&action)) {
    RecordDecision(decision->what, decision->cause);
  } else if (std::holds_alternative<PublishViewAction>(action)) {
    const auto snapshot = core::routing::BuildSnapshot(controller.replica());
    client_.SetIdleLimits(core::routing::ConnectionShares(*snapshot));
    view_.Publish(snapshot);
    metrics_.SetConfigVersion(controller.replica().config_version());
    ownership_.Observe(controller.replica(),
                       controller.Status(Now()).is_leader);
    client_.WakeAll();
    attempts_->OnMembersChanged();
    poison_->OnMembersChanged();
    gate_.WakeAll();
  } else if (const auto* append = std::get_if<AppendAction>(&action)) {
    Send(*append);
  } else if (const auto* renew = std::get_if<SendRenewAction>(&action)) {
    Send(*renew);
  } else if (const auto* vote = std::get_if<SendVoteAction>(&action)) {
    Send(*vote);
  } else if (const auto* fetch = std::get_if<FetchStateAction>(&action)) {
    Send(*fetch);
  } else if (const auto* notify = std::get_if<SendNotifyAction>(&action)) {
    Send(*notify);
  } else if (const auto* grant = std::get_if<SendGrantAction>(&action)) {
    Send(*grant);
  } else if (const auto* probe = std::get_if<SendProbeAction>(&action)) {
    Send(*probe);
  }
}

void Daemon::Send(const AppendAction& action) {
  pool_->Run([this, record = action.record] {
    const auto offset = log_.Append(record);
    control_->Post(AppendResultEvent{record.id, offset.ok()});
  });
}

void Daemon::Send(const SendRenewAction& action) {
  const core::TimePoint sent_at = Now();
  pool_->Run([this, action, sent_at] {
    const std::string answer = peers_.Call(action.to.peer_address, "renew",
                                           codec::Encode(action.request));
    RenewReplyEvent event = {.from = action.to.id, .sent_at = sent_at};
    auto reply = codec::ParseRenewReply(answer);
    if (reply.ok()) {
      event.reply = *std::move(reply);
    }
    control_->Post(std::move(event));
  });
}

void Daemon::Send(const SendVoteAction& action) {
  pool_->Run([this, action] {
    const std::string answer = peers_.Call(action.to.peer_address, "vote",
                                           codec::Encode(action.request));
    VoteReplyEvent event = {.from = action.to.id,
                            .ballot = action.request.ballot};
    auto reply = codec::ParseVoteReply(answer);
    if (reply.ok()) {
      event.reply = *std::move(reply);
    }
    control_->Post(std::move(event));
  });
}

void Daemon::Send(const FetchStateAction& action) {
  pool_->Run([this, action] {
    StateReplyEvent event;
    auto reply = codec::ParseStateReply(
        peers_.Call(action.from.peer_address, "state", "{}"));
    if (reply.ok()) {
      event.reply = *std::move(reply);
    }
    control_->Post(std::move(event));
  });
}

void Daemon::Send(const SendNotifyAction& action) {
  pool_->Run(
      [this, action] { peers_.Call(action.to.peer_address, "notify", "{}"); });
}

void Daemon::Send(const SendGrantAction& action) {
  pool_->Run([this, action] {
    const TargetAnswer answer =
        targets_.SendGrant(action.address, action.grant);
    if (CountsAsObservation(action.address, answer)) {
      control_->Post(
          GrantAnswerEvent{action.grant.target, action.grant.sequence, answer});
    }
  });
}

void Daemon::Send(const SendProbeAction& action) {
  pool_->Run([this, action] {
    TargetAnswer answer = targets_.Probe(action.address);
    poison_->OnInstance(action.target, answer.instance);
    if (CountsAsObservation(action.address, answer)) {
      control_->Post(ProbeAnswerEvent{action.target, std::move(answer)});
    }
  });
}

// Returns false when loss detection must not see this failed contact: the
// setting detect_by_host_list_only is on and the host list still contains the
// target.
bool Daemon::CountsAsObservation(const std::string& address,
                                 const TargetAnswer& answer) {
  if (!settings_.detect_by_host_list_only ||
      answer.result == ContactResult::kOk ||
      answer.result == ContactResult::kRejected) {
    return true;
  }
  const std::lock_guard<std::mutex> lock(listed_mutex_);
  return !listed_addresses_.contains(address);
}

std::vector<peer::Method> Daemon::PeerMethods() {
  std::vector<peer::Method> methods = {
      {"renew",
       [this](const std::string& params) -> std::string {
         auto request = codec::ParseRenewRequest(params);
         if (!request.ok()) {
           return "";
         }
         const auto reply = control_->Renew(*std::move(request));
         return reply ? codec::Encode(*reply) : "";
       }},
      {"vote",
       [this](const std::string& params) -> std::string {
         auto request = codec::ParseVoteRequest(params);
         if (!request.ok()) {
           return "";
         }
         const auto reply = control_->Vote(*std::move(request));
         return reply ? codec::Encode(*reply) : "";
       }},
      {"state",
       [this](const std::string&) -> std::string {
         const auto reply = control_->State();
         return reply ? codec::Encode(*reply) : "";
       }},
      {"relay",
       [this](const std::string& params) { return peers_.Relay(params); }},
      {"notify",
       [this](const std::string&) -> std::string {
         control_->Post(NotifyEvent{});
         return "{}";
       }},
  };
  for (auto& more : {attempts_->PeerMethods(), poison_->PeerMethods()}) {
    methods.insert(methods.end(), more.begin(), more.end());
  }
  return methods;
}

ProbeResult Daemon::ProbeForCrash(const std::string& address) {
  const milliseconds timeout =
      duration_cast<milliseconds>(settings_.probe_timeout);
  const http::ExchangeResult result =
      client_.Exchange(address, {.path = "/health"},
                       {.connect_timeout = timeout,
                        .timeout = timeout,
                        .fresh_connection = true});
  const auto answer = codec::ParseTargetAnswer(result.response.body);
  return {.refused = result.failure == http::Failure::kRefused,
          .instance = answer.ok() ? answer->instance : ""};
}

void Daemon::StartRequestServices() {
  const auto members = [this] { return view_.snapshot()->hosts; };
  const auto call_peer = [this](const std::string& address,
                                const std::string& method,
                                const std::string& params) {
    return peers_.CallOrRelay(address, method, params);
  };
  request_pool_ = std::make_unique<WorkPool>(kRequestWorkers);
  const auto run = [this](std::function<void()> work) {
    request_pool_->Run(std::move(work));
  };
  attempts_ = std::make_unique<AttemptService>(
      host_id_, core::request::RegistryLimits{},
      AttemptHooks{.now = Now,
                   .has_lease = [this] { return view_.HasLease(Now()); },
                   .members = members,
                   .call_peer = call_peer,
                   .run = run});
  poison_ = std::make_unique<PoisonService>(
      host_id_, core::request::PoisonOptions{},
      PoisonHooks{.now = Now,
                  .members = members,
                  .call_peer = call_peer,
                  .probe =
                      [this](const std::string& address) {
                        return ProbeForCrash(address);
                      },
                  .run = run});
}

http::Response Daemon::ServePeer(const http::Request& request) {
  if (request.path == proxy::kForwardPath) {
    return caller_handler_->ServeForward(request);
  }
  if (control_ == nullptr) {
    return proxy::ProblemResponse(core::ErrorKind::kStopping,
                                  core::Outcome::kNotRun, "starting", "");
  }
  if (request.method != "POST" || request.path != "/rpc" ||
      request.body_too_large) {
    return proxy::ProblemResponse(core::ErrorKind::kMalformedRequest,
                                  core::Outcome::kNotRun,
                                  "peers send JSON-RPC 2.0 to POST /rpc", "");
  }
  std::string answer = rpc_->Handle(request.body);
  metrics_.CountControlBytes("peer", answer.size(), request.body.size());
  return http::JsonResponse(200, std::move(answer));
}

OperatorHooks Daemon::MakeOperatorHooks() {
  return {
      .status =
          [this] {
            ControllerStatus status;
            control_->Inspect(
                [&](const HostController& it, core::TimePoint now) {
                  status = it.Status(now);
                });
            return status;
          },
      .config_text =
          [this] {
            std::string text;
            control_->Inspect([&](const HostController& it, core::TimePoint) {
              text = absl::StrCat(
                  "# version: ", it.replica().state().config_version, "\n",
                  it.replica().state().config_text);
            });
            return text;
          },
      .owner_of = [this](const std::string& service, const std::string& key,
                         std::string& unit) -> std::string {
        const proxy::PublishedView::Snapshot snapshot = view_.snapshot();
        const auto* found = core::routing::FindService(*snapshot, service);
        if (found == nullptr || !found->config.keyed) {
          return "";
        }
        const core::routing::KeyRoute route =
            core::routing::RouteKey(*found, key);
        unit = core::ToString(route.unit);
        if (route.target == nullptr) {
          return "nobody: the unit is moving";
        }
        return absl::StrCat(route.target->id, " with fence ", route.fence);
      },
      .is_stopping = [this] { return stopping_.load(); },
      .stop = [this] { RequestStop(); }};
}

proxy::CallerHandlerHooks Daemon::MakeCallerHandlerHooks() {
  return {.now = Now,
          .report_observation =
              [this](const core::TargetId& target,
                     core::detection::ObservationKind kind) {
                if (!settings_.detect_by_host_list_only) {
                  control_->Post(TrafficObservationEvent{target, kind});
                }
              },
          .record_attempt =
              [this](const core::request::AttemptKey& key) {
                return attempts_->Begin(key);
              },
          .finish_attempt =
              [this](const core::request::AttemptKey& key,
                     core::request::FinishResult result) {
                attempts_->Finish(key, result);
              },
          .find_poison_match =
              [this](const core::request::PoisonKey& key) {
                return poison_->FindMatch(key);
              },
          .on_broken =
              [this](const core::request::CrashReport& report,
                     const std::string& address) {
                poison_->OnBroken(report, address);
              },
          .on_answer =
              [this](const core::request::PoisonKey& key) {
                poison_->OnAnswer(key);
              },
          .wait_for_slot =
              [this](const proxy::SlotRequest& request) {
                return gate_.Wait(request);
              },
          .queue_count =
              [this](const core::TargetId& id) { return gate_.CountFor(id); },
          .is_self = [this](const core::HostId& id) { return id == host_id_; },
          .is_stopping = [this] { return stopping_.load(); },
          .count_key =
              [this](const core::routing::ServiceRoute& service,
                     const std::string& key) {
                key_meter_.Count(service.config.name, service.config.shards,
                                 core::HashKey(key));
              },
          .new_request_id = RandomId};
}

// Reads the log continuously, one read at a time. The log service holds a read
// until there are new records.
void Daemon::ReadLog() {
  bool read_all = true;
  core::Offset next = 0;
  while (!ended_) {
    auto read = read_all ? log_.ReadAll() : log_.Read(next);
    if (!read.ok()) {
      control_->Post(LogFailedEvent{});
      if (!SleepUnlessStopping(kLogRetry)) {
        return;
      }
      continue;
    }
    // Retention may have removed records that were not read yet. Reading then
    // starts again from a checkpoint.
    read_all = !read_all && read->first_retained > next;
    if (read_all) {
      continue;
    }
    next = read->end;
    control_->Post(*std::move(read));
  }
}

void Daemon::ReadHostList() {
  while (!ended_) {
    auto list = platform::FetchHostList(control_clients_.host_list,
                                        settings_.host_list_address);
    if (list.ok()) {
      {
        const std::lock_guard<std::mutex> lock(listed_mutex_);
        listed_addresses_.clear();
        for (const ListedHost& it : list->hosts) {
          listed_addresses_.insert(it.address);
        }
      }
      control_->Post(*std::move(list));
    }
    if (!SleepUnlessStopping(settings_.host_list_interval)) {
      return;
    }
  }
}

// Returns false when the daemon is ending.
bool Daemon::SleepUnlessStopping(std::chrono::nanoseconds duration) {
  std::unique_lock<std::mutex> lock(stop_mutex_);
  stop_requested_.wait_for(lock, duration, [this] { return ended_.load(); });
  return !ended_;
}

}  // namespace toucandock::daemon
