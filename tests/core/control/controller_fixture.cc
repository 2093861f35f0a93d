#include "core/control/controller_fixture.h"

#include <algorithm>

#include "absl/strings/str_cat.h"
#include "absl/strings/str_join.h"

namespace toucandock::core::control::testing {
namespace {

using std::chrono::milliseconds;

constexpr Duration kTick = milliseconds(20);
constexpr Duration kLogPoll = milliseconds(20);
constexpr Duration kCallTimeout = milliseconds(200);
constexpr Duration kRequestTimeout = milliseconds(300);
constexpr Duration kCheckInterval = milliseconds(5);
constexpr Duration kHostListInterval = milliseconds(500);
constexpr std::uint32_t kShards = 4;

config::ServiceConfig Service(const std::string& name,
                              const std::string& letter,
                              bool checks_fences) {
  config::ServiceConfig service;
  service.name = name;
  service.keyed = true;
  service.shards = kShards;
  for (const char* n : {"1", "2", "3"}) {
    service.targets.push_back({.address = letter + n,
                               .failure_domain = absl::StrCat("d", n),
                               .checks_fences = checks_fences});
  }
  return service;
}

// Returns the reading of a clock with this offset and drift.
Duration OnClock(TimePoint now, Duration offset, int drift_permille) {
  const Duration since = now.time_since_epoch();
  return since + since * drift_permille / 1'000 + offset;
}

}  // namespace

// Version 1 has one service whose targets check fences and one whose targets
// do not. Clocks of targets differ by minutes and drift by up to 0.4%.
Fleet::Fleet(std::uint64_t seed) : now_(std::chrono::hours(1)), random_(seed) {
  config::Config config;
  config.services = {Service("callboard", "t", true),
                     Service("arkusz", "u", false)};
  configs["first"] = config;
  int n = 0;
  for (const config::ServiceConfig& service : config.services) {
    for (const config::TargetConfig& it : service.targets) {
      FakeTarget& target = targets_[it.address];
      target.id = config::MakeTargetId(service, it);
      target.address = it.address;
      target.checks_fences = it.checks_fences;
      target.clock_offset = std::chrono::minutes(7 * n - 20);
      target.drift_permille = n % 3 * 4 - 4;
      ++n;
    }
  }
  After(kCheckInterval, [this] { CheckHosts(); });
  const auto list = std::make_shared<Task>();
  *list = [this, list] {
    if (before_host_list_) {
      std::exchange(before_host_list_, nullptr)();
    }
    for (const auto& [address, host] : hosts_) {
      if (host_list_) {
        Deliver(host, HostListEvent{*host_list_});
      }
    }
    After(kHostListInterval, *list);
  };
  After(kHostListInterval, *list);
}

FakeHost& Fleet::StartHost(const std::string& address,
                           const std::vector<std::string>& seeds) {
  if (hosts_.contains(address)) {
    Kill(address);
  }
  ++processes_;
  auto host = std::make_shared<FakeHost>();
  host->info = {.id = absl::StrCat(address, "-", processes_),
                .peer_address = address,
                .caller_address = address,
                .failure_domain = "d1"};
  host->clock_offset = std::chrono::seconds(100 * processes_);
  host->drift_permille = processes_ % 3 * 4 - 4;
  host->snapshot = std::make_shared<routing::RoutingSnapshot>();
  ControllerOptions options = {.self = host->info};
  for (const std::string& it : seeds) {
    options.seeds.push_back({.id = "", .peer_address = it});
  }
  const ControlHooks hooks = {
      .parse_config =
          [this](const std::string& text) -> absl::StatusOr<config::Config> {
        const auto it = configs.find(text);
        if (it == configs.end()) {
          return absl::InvalidArgumentError("unknown text");
        }
        return it->second;
      },
      .new_record_id = [this] { return absl::StrCat("r", next_id_++); }};
  host->controller = std::make_unique<HostController>(options, hooks);
  hosts_[address] = host;
  After(milliseconds(processes_), [this, host] { Tick(host); });
  After(milliseconds(processes_), [this, host] { ReadLog(host); });
  After(milliseconds(processes_), [this, host] { SendTraffic(host); });
  return *host;
}

bool Fleet::StartFleet(int hosts) {
  for (int n = 1; n <= hosts; ++n) {
    StartHost(absl::StrCat("h", n));
  }
  RunFor(milliseconds(500));
  Publish("first", 0);
  const size_t voters = hosts % 2 == 1 ? hosts : hosts - 1;
  const bool ready =
      RunUntil(
          [&] {
            return IsServing() &&
                   Voters(Host("h1").controller->replica().state()).size() ==
                       voters;
          },
          std::chrono::seconds(20))
          .has_value();
  // Waits until every unit has been run at least once.
  RunFor(milliseconds(200));
  return ready;
}

void Fleet::Kill(const std::string& address) {
  const auto target = targets_.find(address);
  if (target != targets_.end()) {
    target->second.alive = false;
    target->second.queued_messages.clear();
    return;
  }
  hosts_.at(address)->alive = false;
  hosts_.erase(address);
}

void Fleet::Stop(const std::string& address) {
  Deliver(hosts_.at(address), StopEvent{});
}

void Fleet::Pause(const std::string& address) {
  if (targets_.contains(address)) {
    targets_.at(address).paused = true;
  } else {
    hosts_.at(address)->paused = true;
  }
}

void Fleet::Resume(const std::string& address) {
  std::deque<Task> queued_messages;
  if (targets_.contains(address)) {
    targets_.at(address).paused = false;
    queued_messages.swap(targets_.at(address).queued_messages);
  } else if (hosts_.contains(address)) {
    hosts_.at(address)->paused = false;
    queued_messages.swap(hosts_.at(address)->queued_messages);
  }
  for (const Task& it : queued_messages) {
    it();
  }
}

void Fleet::RestartTarget(const std::string& address) {
  FakeTarget& target = targets_.at(address);
  target.alive = true;
  target.paused = false;
  target.queued_messages.clear();
  ++target.process;
  target.grant_position = {};
  target.grant_expires = Duration::zero();
  target.granted.clear();
}

void Fleet::Cut(const std::string& a, const std::string& b) {
  cuts_.insert({a, b});
  cuts_.insert({b, a});
}

void Fleet::Isolate(const std::string& address,
                    const std::vector<std::string>& from) {
  for (const std::string& it : from) {
    Cut(address, it);
  }
}

std::string Fleet::Publish(const std::string& text, std::uint64_t edited_from) {
  std::string id = absl::StrCat("publish", next_id_++);
  Store(Record{.id = id,
               .author = "operator",
               .body = PublishRecord{text, "operator", edited_from}});
  return id;
}

void Fleet::ReleaseAppends() {
  for (const Record& it : std::exchange(log.delayed_appends, {})) {
    Store(it);
  }
}

void Fleet::SetHostList(std::vector<std::string> addresses) {
  host_list_.emplace();
  for (std::string& it : addresses) {
    const bool leaving = it.front() == '-';
    host_list_->push_back({leaving ? it.substr(1) : it, leaving});
  }
}

void Fleet::RunFor(Duration duration) {
  const TimePoint end = now_ + duration;
  while (!scheduled_.empty() && scheduled_.begin()->first.at <= end) {
    auto next = scheduled_.extract(scheduled_.begin());
    now_ = next.key().at;
    next.mapped()();
  }
  now_ = end;
}

std::optional<Duration> Fleet::RunUntil(const std::function<bool()>& condition,
                                        Duration limit) {
  const TimePoint start = now_;
  while (!condition()) {
    if (now_ - start >= limit) {
      return std::nullopt;
    }
    RunFor(kCheckInterval);
  }
  return now_ - start;
}

void Fleet::After(Duration delay, Task task) {
  scheduled_.emplace(Scheduled{now_ + delay, next_order_++}, std::move(task));
}

// Returns false when the message is lost.
bool Fleet::Transmit(const std::string& from,
                     const std::string& to,
                     Task task) {
  const bool lost =
      loss > 0 && std::uniform_real_distribution<double>(0, 1)(random_) < loss;
  if (lost || cuts_.contains({from, to})) {
    return false;
  }
  After(link_delay, std::move(task));
  return true;
}

void Fleet::OnHost(const HostPtr& host, Task task) {
  if (!host->alive) {
    return;
  }
  if (host->paused) {
    host->queued_messages.push_back(std::move(task));
  } else {
    task();
  }
}

void Fleet::OnTarget(FakeTarget& target, const Task& task) {
  if (target.paused) {
    target.queued_messages.push_back(task);
  } else {
    task();
  }
}

void Fleet::Deliver(const HostPtr& host, const Event& event) {
  OnHost(host, [this, host, event] {
    const Actions actions = host->controller->Handle(event, LocalNow(*host));
    for (const Action& it : actions) {
      ExecuteAction(host, it);
    }
  });
}

// Ticks that a host misses while it is paused are not delivered later.
void Fleet::Tick(const HostPtr& host) {
  if (!host->alive) {
    return;
  }
  After(kTick, [this, host] { Tick(host); });
  if (host->paused) {
    return;
  }
  TickEvent tick;
  for (const auto& [id, request] : host->in_flight) {
    if (!request.sent) {
      tick.oldest_sending = std::min(
          tick.oldest_sending.value_or(request.sequence), request.sequence);
    }
    tick.busy.push_back(request.unit);
  }
  Deliver(host, tick);
}

void Fleet::ReadLog(const HostPtr& host) {
  if (!host->alive) {
    return;
  }
  if (host->paused) {
    After(kLogPoll, [this, host] { ReadLog(host); });
    return;
  }
  const TimePoint sent_at = LocalNow(*host);
  if (!log.available || cuts_.contains({host->info.peer_address, "log"})) {
    After(milliseconds(100), [this, host] {
      Deliver(host, LogFailedEvent{});
      ReadLog(host);
    });
    return;
  }
  After(log.delay, [this, host, sent_at] {
    After(kLogPoll, [this, host] { ReadLog(host); });
    LogReadEvent read = {.sent_at = sent_at,
                         .first_retained = log.first_retained,
                         .end = log.entries.size()};
    host->read_all = host->read_all || log.first_retained > host->next_read;
    const Offset from = host->read_all
                            ? log.first_retained
                            : std::max(log.first_retained, host->next_read);
    read.entries.assign(log.entries.begin() + static_cast<long>(from),
                        log.entries.end());
    host->next_read = read.end;
    host->read_all = false;
    Deliver(host, read);
  });
}

void Fleet::ExecuteAction(const HostPtr& host, const Action& action) {
  const auto reply = [&](std::uint64_t token) {
    const auto it = replies_.find(token);
    if (it != replies_.end()) {
      it->second(action);
      replies_.erase(it);
    }
  };
  if (const auto* append = std::get_if<AppendAction>(&action)) {
    Append(host, append->record);
  } else if (const auto* renew = std::get_if<SendRenewAction>(&action)) {
    Call(host, *renew);
  } else if (const auto* vote = std::get_if<SendVoteAction>(&action)) {
    Call(host, *vote);
  } else if (const auto* fetch = std::get_if<FetchStateAction>(&action)) {
    Call(host, *fetch);
  } else if (const auto* notify = std::get_if<SendNotifyAction>(&action)) {
    const HostPtr to = HostAt(notify->to.peer_address);
    if (to) {
      Transmit(host->info.peer_address, notify->to.peer_address,
               [this, to] { Deliver(to, NotifyEvent{}); });
    }
  } else if (const auto* grant = std::get_if<SendGrantAction>(&action)) {
    Contact(
        host, grant->address,
        [this, it = grant->grant](FakeTarget& target) {
          return ApplyGrant(target, it);
        },
        [it = grant->grant](const TargetAnswer& answer) {
          return GrantAnswerEvent{it.target, it.sequence, answer};
        });
  } else if (const auto* probe = std::get_if<SendProbeAction>(&action)) {
    Contact(
        host, probe->address,
        [this](FakeTarget& target) {
          return AnswerOf(target, ContactResult::kOk);
        },
        [id = probe->target](const TargetAnswer& answer) {
          return ProbeAnswerEvent{id, answer};
        });
  } else if (const auto* renewed = std::get_if<ReplyRenewAction>(&action)) {
    reply(renewed->token);
  } else if (const auto* voted = std::get_if<ReplyVoteAction>(&action)) {
    reply(voted->token);
  } else if (const auto* state = std::get_if<ReplyStateAction>(&action)) {
    reply(state->token);
  } else if (std::holds_alternative<PublishViewAction>(action)) {
    host->snapshot = routing::BuildSnapshot(host->controller->replica());
  } else if (const auto* decision = std::get_if<DecisionAction>(&action)) {
    decisions.push_back(absl::StrCat(
        (now_ - TimePoint(std::chrono::hours(1))) / milliseconds(1), "ms ",
        host->info.id, ": ", decision->what, " (", decision->cause, ")"));
  }
}

void Fleet::Append(const HostPtr& host, const Record& record) {
  const auto answer = [this, host, id = record.id](Duration delay,
                                                   bool stored) {
    After(delay, [this, host, id, stored] {
      Deliver(host, AppendResultEvent{id, stored});
    });
  };
  if (!log.available || cuts_.contains({host->info.peer_address, "log"})) {
    answer(kCallTimeout, false);
  } else if (log.delays_append && log.delays_append(record)) {
    log.delayed_appends.push_back(record);
    answer(kCallTimeout, false);
  } else {
    After(log.delay, [this, record] { Store(record); });
    const bool lost = log.loses_answers;
    answer(lost ? kCallTimeout : 2 * log.delay, !lost);
  }
}

void Fleet::Store(const Record& record) {
  log.entries.push_back({log.entries.size(), record});
}

namespace {

// Delivers only the first result: the reply or the timeout.
template <typename Reply>
std::function<void(std::optional<Reply>)> Once(
    std::function<void(std::optional<Reply>)> deliver) {
  return [deliver = std::move(deliver), done = std::make_shared<bool>(false)](
             const std::optional<Reply>& reply) {
    if (!*done) {
      *done = true;
      deliver(reply);
    }
  };
}

}  // namespace

template <typename ReplyAction, typename Reply>
void Fleet::Exchange(const HostPtr& host,
                     const std::string& address,
                     const std::function<Event(std::uint64_t)>& make_request,
                     std::function<void(std::optional<Reply>)> deliver) {
  const auto answer = Once<Reply>(std::move(deliver));
  const HostPtr to = HostAt(address);
  After(to ? kCallTimeout : link_delay, [answer] { answer(std::nullopt); });
  if (!to) {
    return;
  }
  const std::string from = host->info.peer_address;
  const std::string peer = to->info.peer_address;
  Transmit(from, peer, [=, this] {
    const std::uint64_t token = next_token_++;
    replies_[token] = [=, this](const Action& it) {
      Transmit(peer, from,
               [answer, it] { answer(std::get<ReplyAction>(it).reply); });
    };
    Deliver(to, make_request(token));
  });
}

void Fleet::Call(const HostPtr& host, const SendRenewAction& action) {
  const TimePoint sent_at = LocalNow(*host);
  Exchange<ReplyRenewAction, RenewReply>(
      host, action.to.peer_address,
      [action](std::uint64_t token) {
        return RenewRequestEvent{token, action.request};
      },
      [this, host, action, sent_at](const auto& reply) {
        Deliver(host, RenewReplyEvent{action.to.id, sent_at, reply});
      });
}

void Fleet::Call(const HostPtr& host, const SendVoteAction& action) {
  Exchange<ReplyVoteAction, VoteReply>(
      host, action.to.peer_address,
      [action](std::uint64_t token) {
        return VoteRequestEvent{token, action.request};
      },
      [this, host, action](const auto& reply) {
        Deliver(host,
                VoteReplyEvent{action.to.id, action.request.ballot, reply});
      });
}

void Fleet::Call(const HostPtr& host, const FetchStateAction& action) {
  Exchange<ReplyStateAction, StateReply>(
      host, action.from.peer_address,
      [](std::uint64_t token) { return StateRequestEvent{token}; },
      [this, host](const auto& reply) {
        Deliver(host, StateReplyEvent{reply});
      });
}

void Fleet::Contact(const HostPtr& host,
                    const std::string& address,
                    const std::function<TargetAnswer(FakeTarget&)>& serve,
                    const std::function<Event(TargetAnswer)>& make_event) {
  const auto answer =
      Once<TargetAnswer>([this, host, make_event](const auto& reply) {
        Deliver(host, make_event(reply.value_or(
                          TargetAnswer{.result = ContactResult::kTimeout})));
      });
  After(kCallTimeout, [answer] { answer(std::nullopt); });
  const std::string from = host->info.peer_address;
  Transmit(from, address, [=, this] {
    FakeTarget& target = targets_.at(address);
    OnTarget(target, [=, this, &target] {
      const TargetAnswer result =
          target.alive ? serve(target)
                       : TargetAnswer{.result = ContactResult::kRefused};
      Transmit(address, from, [answer, result] { answer(result); });
    });
  });
}

TargetAnswer Fleet::ApplyGrant(FakeTarget& target, const Grant& grant) {
  const std::tuple<Ballot, std::uint64_t> position(grant.ballot,
                                                   grant.sequence);
  TargetAnswer granted_answer = AnswerOf(target, ContactResult::kOk);
  if ((!grant.instance.empty() && grant.instance != granted_answer.instance) ||
      position < target.grant_position) {
    return AnswerOf(target, ContactResult::kRejected);
  }
  target.grant_position = position;
  target.grant_expires = grant.expires_at;
  target.granted.clear();
  for (const UnitFence& it : grant.units) {
    target.granted[it.unit] = it.fence;
  }
  return granted_answer;
}

TargetAnswer Fleet::AnswerOf(const FakeTarget& target,
                             ContactResult result) const {
  return {.result = result,
          .clock = ClockOf(target),
          .instance = absl::StrCat(target.address, "-", target.process),
          .health = target.health};
}

Duration Fleet::ClockOf(const FakeTarget& target) const {
  return OnClock(now_, target.clock_offset, target.drift_permille);
}

TimePoint Fleet::LocalNow(const FakeHost& host) const {
  return TimePoint(OnClock(now_, host.clock_offset, host.drift_permille));
}

void Fleet::SendTraffic(const HostPtr& host) {
  if (!host->alive) {
    return;
  }
  After(traffic_interval, [this, host] { SendTraffic(host); });
  if (host->paused || !traffic || !HasLease(*host)) {
    return;
  }
  for (const Unit& unit : Units()) {
    const auto service = host->snapshot->services.find(unit.service);
    if (service == host->snapshot->services.end()) {
      continue;
    }
    const routing::UnitRoute& route = service->second.shards.at(unit.number);
    if (route.target >= 0) {
      Send(host, service->second.targets[route.target].id, unit, route.fence,
           host->snapshot->sequence);
    }
  }
}

void Fleet::SendRequest(FakeHost& host,
                        const TargetId& target,
                        const Unit& unit,
                        Fence fence) {
  Send(hosts_.at(host.info.peer_address), target, unit, fence,
       host.snapshot->sequence);
}

void Fleet::Send(const HostPtr& host,
                 const TargetId& id,
                 const Unit& unit,
                 Fence fence,
                 std::uint64_t sequence) {
  const std::string from = host->info.peer_address;
  const std::string address = id.substr(id.find('/') + 1);
  const std::uint64_t request = next_token_++;
  const bool stuck = stalled_senders.contains(from);
  const bool at_once = !stuck && sending_time == Duration{};
  host->in_flight[request] = {sequence, unit, at_once};
  const auto done = [this, host, request, id](detection::ObservationKind kind) {
    if (host->in_flight.erase(request) > 0) {
      Deliver(host, TrafficObservationEvent{id, kind});
    }
  };
  After(std::max(kRequestTimeout, work_time + kRequestTimeout),
        [done] { done(detection::ObservationKind::kTimeout); });
  const auto transmit = [=, this] {
    const auto it = host->in_flight.find(request);
    if (it != host->in_flight.end()) {
      it->second.sent = true;
      Transmit(from, address,
               [=, this] { Arrive(host, id, unit, fence, done); });
    }
  };
  if (at_once) {
    transmit();
  } else if (!stuck) {
    After(sending_time, transmit);
  }
}

void Fleet::Arrive(
    const HostPtr& host,
    const TargetId& id,
    const Unit& unit,
    Fence fence,
    const std::function<void(detection::ObservationKind)>& done) {
  const std::string from = host->info.peer_address;
  const std::string address = id.substr(id.find('/') + 1);
  FakeTarget& target = targets_.at(address);
  // Requests that wait in the socket of a frozen target without fence checks
  // run when it resumes. The design does not cover this case, so they are
  // dropped here.
  if (target.paused && !target.checks_fences) {
    return;
  }
  OnTarget(target, [=, this, &target] {
    if (!target.alive) {
      Transmit(address, from,
               [done] { done(detection::ObservationKind::kRefused); });
      return;
    }
    Duration work{};
    if (Accepts(target, unit, fence)) {
      RecordRun(target, unit, fence);
      work = work_time;
    }
    After(work, [=, this] {
      Transmit(address, from,
               [done] { done(detection::ObservationKind::kAlive); });
    });
  });
}

bool Fleet::Accepts(const FakeTarget& target,
                    const Unit& unit,
                    Fence fence) const {
  if (!target.checks_fences) {
    return true;
  }
  const auto it = target.granted.find(unit);
  return ClockOf(target) < target.grant_expires && it != target.granted.end() &&
         it->second == fence;
}

void Fleet::RecordRun(const FakeTarget& target, const Unit& unit, Fence fence) {
  const auto it = last_run_.find(unit);
  if (it != last_run_.end()) {
    const Run& last = journal[it->second];
    const std::string where = absl::StrCat(
        (now_ - TimePoint(std::chrono::hours(1))) / milliseconds(1), "ms ",
        ToString(unit), ": ", target.id, " fence ", fence, " after ",
        last.target, " fence ", last.fence);
    if (fence < last.fence ||
        (fence == last.fence && target.id != last.target)) {
      violations.push_back(absl::StrCat("journal: ", where));
    }
    if (last.target != target.id && last.until > now_) {
      overlaps.push_back(where);
    }
  }
  last_run_[unit] = journal.size();
  journal.push_back({now_, now_ + work_time, target.id, unit, fence});
}

// Checks what each host would do if a request arrived now.
void Fleet::CheckHosts() {
  After(kCheckInterval, [this] { CheckHosts(); });
  std::map<Unit, std::pair<TargetId, HostId>> owners;
  for (const auto& [address, host] : hosts_) {
    const std::uint64_t version = host->controller->replica().config_version();
    if (version < host->highest_config) {
      violations.push_back(
          absl::StrCat(host->info.id, " went back to version ", version));
    }
    host->highest_config = std::max(host->highest_config, version);
    if (host->paused || !HasLease(*host)) {
      continue;
    }
    for (const auto& [name, service] : host->snapshot->services) {
      for (size_t n = 0; n < service.shards.size(); ++n) {
        if (service.shards[n].target < 0) {
          continue;
        }
        const TargetId& id = service.targets[service.shards[n].target].id;
        const auto [it, added] =
            owners.try_emplace({name, n}, id, host->info.id);
        if (!added && it->second.first != id) {
          violations.push_back(absl::StrCat(
              (now_ - TimePoint(std::chrono::hours(1))) / milliseconds(1),
              "ms ", name, "/", n, ": ", host->info.id, " sends to ", id, ", ",
              it->second.second, " to ", it->second.first));
        }
      }
    }
  }
}

Fleet::HostPtr Fleet::HostAt(const std::string& address) const {
  const auto it = hosts_.find(address);
  return it == hosts_.end() ? nullptr : it->second;
}

FakeHost& Fleet::Host(const std::string& address) const {
  return *hosts_.at(address);
}

FakeTarget& Fleet::Target(const std::string& address) {
  return targets_.at(address);
}

std::vector<FakeHost*> Fleet::LiveHosts() const {
  std::vector<FakeHost*> live;
  for (const auto& [address, host] : hosts_) {
    if (!host->paused) {
      live.push_back(host.get());
    }
  }
  return live;
}

// Returns the live host that leads and holds a lease, or nullptr.
FakeHost* Fleet::LeaderHost() const {
  for (FakeHost* host : LiveHosts()) {
    if (HasLease(*host) &&
        host->controller->Status(LocalNow(*host)).is_leader) {
      return host;
    }
  }
  return nullptr;
}

bool Fleet::HasLease(const FakeHost& host) const {
  return LocalNow(host) < host.controller->lease_until();
}

TargetId Fleet::OwnerOf(const Unit& unit) const {
  for (FakeHost* host : LiveHosts()) {
    const auto it = host->snapshot->services.find(unit.service);
    if (!HasLease(*host) || it == host->snapshot->services.end()) {
      continue;
    }
    const int n = it->second.shards.at(unit.number).target;
    if (n >= 0) {
      return it->second.targets[n].id;
    }
  }
  return "";
}

std::vector<Unit> Fleet::Units() const {
  std::vector<Unit> units;
  for (const char* service : {"arkusz", "callboard"}) {
    for (std::uint64_t n = 0; n < kShards; ++n) {
      units.push_back({service, n});
    }
  }
  return units;
}

std::vector<Unit> Fleet::UnitsOf(const TargetId& target) const {
  std::vector<Unit> units = Units();
  std::erase_if(units, [&](const Unit& it) { return OwnerOf(it) != target; });
  return units;
}

// Returns whether each live host has a lease and an owner for each unit.
bool Fleet::IsServing() const {
  const std::vector<FakeHost*> live = LiveHosts();
  return !live.empty() &&
         std::all_of(live.begin(), live.end(), [&](const FakeHost* host) {
           if (!HasLease(*host) || host->snapshot->services.empty()) {
             return false;
           }
           for (const auto& [name, service] : host->snapshot->services) {
             for (const routing::UnitRoute& it : service.shards) {
               if (it.target < 0) {
                 return false;
               }
             }
           }
           return true;
         });
}

// Returns the first violations as text; empty when there is none.
std::string Fleet::ViolationSummary() const {
  constexpr size_t kShown = 5;
  const std::vector<std::string> shown(
      violations.begin(), violations.begin() + static_cast<long>(std::min(
                                                   violations.size(), kShown)));
  return violations.empty()
             ? ""
             : absl::StrCat(violations.size(),
                            " violations: ", absl::StrJoin(shown, "; "));
}

const Run* Fleet::LastRun(const Unit& unit) const {
  const auto it = last_run_.find(unit);
  return it == last_run_.end() ? nullptr : &journal[it->second];
}

}  // namespace toucandock::core::control::testing
