#include "entry/peer_relay.h"

#include <algorithm>
#include <random>
#include <utility>

#include "absl/strings/numbers.h"
#include "absl/strings/str_cat.h"
#include "absl/strings/str_join.h"
#include "absl/strings/strip.h"
#include "core/position.h"
#include "entry/clock.h"
#include "entry/contained_exception.h"
#include "entry/event_log.h"
#include "entry/permit_json.h"
#include "util/hash.h"

namespace toucandock::entry {
namespace {

namespace http = boost::beast::http;
using boost::asio::ip::udp;
using boost::system::error_code;
using std::chrono::milliseconds;

constexpr milliseconds kHeartbeatInterval{300};
// If a heartbeat is later than this, this process did not run for a while.
constexpr milliseconds kMaxTickDelay = 2 * kHeartbeatInterval;
// A host that has sent no heartbeat for this long counts as stopped.
constexpr milliseconds kHeartbeatLifetime{2'000};
// A host is a source of a stream while its records were complete at most this
// long ago. The store delays the responses to a source's reads for less than
// this (kSourcePollWait), and a relay hears from its source within one more
// interval of heartbeats.
constexpr milliseconds kFreshnessLimit{1'000};
constexpr milliseconds kRelayFreshnessLimit =
    kFreshnessLimit + kHeartbeatInterval;
// The writer of the newest table counts as alive for this long after it has
// responded to one of the heartbeats, of which three may be lost.
constexpr milliseconds kWriterLifetime{1'200};
constexpr milliseconds kFetchTimeout{500};
// The newest records of a large fleet are some hundred kilobytes.
constexpr milliseconds kFetchNewestTimeout{1'500};
// Maximum size of the newest records that a host which is not a relay returns;
// about three times that of a fleet of the largest size without relays.
constexpr size_t kMaxNewestBytes = 128U << 10;
// Maximum size of the records that a peer returns at a time. A host with a slow
// link would need seconds to send more to a whole fleet; reading the store is
// faster.
constexpr size_t kMaxFetchedBytes = 16'384;
constexpr char kRecordsPath[] = "/records?stream=";
constexpr char kNewestPath[] = "/newest?stream=";
constexpr char kFromParameter[] = "&from=";
// Sent by a host whose own calls to the store fail: lifts the size limit.
constexpr char kAnySizeParameter[] = "&any_size=1";
// A stamp holds the milliseconds since the start of its sender in the lower
// bits, enough for 34 years, and a number of that start in the others.
constexpr int kStampTimeBits = 40;
constexpr std::uint64_t kStampTimeMask = (1ULL << kStampTimeBits) - 1;
constexpr std::uint64_t kStampNumberMask = (1ULL << (64 - kStampTimeBits)) - 1;
// Stamps are kept for the hosts that this one sends heartbeats to: the leader,
// substitutes and a relay, also earlier ones.
constexpr size_t kMaxStamps = 64;
constexpr size_t kMaxSubstitutes = 4;
constexpr core::relay::TreeOptions kTreeOptions;
// A new leader appoints relays only after the hosts that it does not know yet
// have sent a few heartbeats.
constexpr milliseconds kAppointmentDelay{1'000};
// A relay has few hosts to serve, so it returns all the records that it keeps.
constexpr size_t kMaxRelayedBytes = 256U << 10;
// Hosts that are not members of the group join it when they have had no fresh
// answer for this long. Losses of single messages and of a relay are over by
// then.
constexpr milliseconds kJoinDelay{3'000};
// A host that uses a relay waits this much longer for a substitute of the
// leader, which its relay finds first.
constexpr milliseconds kRelayGrace{400};
constexpr milliseconds kLoadInterval{250};
// Delay between new records and the message that announces them, so that
// records which arrive together are announced once.
constexpr milliseconds kPushDelay{30};
// How long the store may delay the response to a read that finds nothing new.
// Shorter than the age at which a stream is overdue (FreshnessOptions).
constexpr milliseconds kPollWait{1'000};
constexpr milliseconds kSourcePollWait{700};
// Pauses between two reads, so that records that are written in a burst are
// read by one call. They are well below the time within which changes must take
// effect: a leaving target must be out of use within two seconds.
constexpr milliseconds kConfigPause{200};
constexpr milliseconds kTargetsPause{400};
constexpr milliseconds kOwnershipPause{100};

constexpr Stream kStreams[] = {Stream::kConfig, Stream::kTargets,
                               Stream::kOwnership};

const char* NameOf(Stream stream) {
  switch (stream) {
    case Stream::kConfig:
      return "config";
    case Stream::kTargets:
      return "targets";
    case Stream::kOwnership:
      return "ownership";
  }
  return "";
}

std::string ToString(const udp::endpoint& endpoint) {
  return absl::StrCat(endpoint.address().to_string(), ":", endpoint.port());
}

std::string NamesOf(const std::vector<core::relay::Relay>& relays) {
  return absl::StrJoin(relays, ",",
                       [](std::string* out, const core::relay::Relay& it) {
                         out->append(it.address);
                       });
}

milliseconds ToMilliseconds(core::Duration time) {
  return std::chrono::duration_cast<milliseconds>(time);
}

}  // namespace

PeerRelay::PeerRelay(boost::asio::io_context& io,
                     std::string ip,
                     std::uint16_t port,
                     Followers& followers,
                     const core::relay::SourceOptions& options,
                     const core::relay::FreshnessOptions& freshness,
                     RelayProfile profile,
                     PeerRelayHooks hooks)
    : io_(io),
      ip_(std::move(ip)),
      port_(port),
      followers_(followers),
      hooks_(std::move(hooks)),
      socket_(io),
      timer_(io),
      responder_(
          io,
          [this](const net::HttpRequest& request) { return Serve(request); },
          ReportException),
      started_(LeaseClockNow()),
      start_number_(std::random_device{}() & kStampNumberMask),
      tracker_(options, started_),
      profile_(std::move(profile)),
      running_time_(kMaxTickDelay, started_),
      load_timer_(io),
      push_timer_(io) {
  for (const Stream stream : kStreams) {
    freshness_.emplace(stream, freshness);
  }
}

// Opens the peer port, for datagrams and for fetches of records.
absl::Status PeerRelay::Start() {
  // A port that the kernel chose for UDP may be in use for TCP.
  constexpr int kMaxTries = 16;
  const bool any_port = port_ == 0;
  absl::Status status = OpenPort();
  for (int n = 1; n < kMaxTries && any_port && !status.ok(); ++n) {
    error_code ec;
    socket_.close(ec);
    port_ = 0;
    status = OpenPort();
  }
  if (status.ok()) {
    relay_choice_.emplace(
        core::relay::Relay{.address = address(),
                           .failure_domain = profile_.failure_domain},
        kTreeOptions);
    Receive();
    SendHeartbeats();
    FlushLoad();
  }
  return status;
}

absl::Status PeerRelay::OpenPort() {
  error_code ec;
  socket_.open(udp::v4(), ec);
  if (!ec) {
    socket_.bind({boost::asio::ip::make_address_v4(ip_), port_}, ec);
  }
  if (!ec) {
    port_ = socket_.local_endpoint(ec).port();
  }
  if (ec) {
    return absl::UnavailableError(
        absl::StrCat("cannot open the peer port ", port_, ": ", ec.message()));
  }
  return responder_.Listen(address());
}

// Does not report errors: datagrams may be lost anyway, and each is followed by
// others within a second.
void PeerRelay::Send(const udp::endpoint& to, const std::string& text) {
  error_code ec;
  socket_.send_to(boost::asio::buffer(text), to, 0, ec);
}

void PeerRelay::SendTo(const std::string& address, const std::string& text) {
  if (const auto to = net::ParseEndpoint(address); to.ok()) {
    Send({to->address(), to->port()}, text);
  }
}

void PeerRelay::SendLoad(const core::keyspace::LoadReport& report) {
  if (IsRelay()) {
    AddReport(report, summed_loads_[report.service]);
    return;
  }
  const auto relay = OwnRelay(LeaseClockNow());
  const std::string address =
      relay ? *relay : hooks_.load_destination(report.service);
  if (const auto to = net::ParseEndpoint(address); to.ok()) {
    Send({to->address(), to->port()}, EncodeLoadReport(report));
  }
}

// Sends the sums that a relay has collected.
void PeerRelay::FlushLoad() {
  for (auto& [service, report] : summed_loads_) {
    report.service = service;
    report.relayed = true;
    const auto to = net::ParseEndpoint(hooks_.load_destination(service));
    if (to.ok()) {
      Send({to->address(), to->port()}, EncodeLoadReport(report));
    }
  }
  summed_loads_.clear();
  load_timer_.expires_after(kLoadInterval);
  load_timer_.async_wait([this](const error_code& ec) {
    if (!ec) {
      FlushLoad();
    }
  });
}

void PeerRelay::NoteRecords(Stream stream,
                            const ReadResult& result,
                            bool complete) {
  if (stream == Stream::kOwnership) {
    for (const StoredRecord& it : result.records) {
      NoteTable(it);
    }
  }
  if (stream != Stream::kOwnership) {
    auto& newest = newest_[stream];
    if (complete) {
      newest.clear();
    }
    for (const StoredRecord& it : result.records) {
      if (it.removed) {
        newest.erase(it.key);
      } else {
        newest.insert_or_assign(it.key, it);
      }
    }
  }
  freshness_.at(stream).OnProgress(followers_.at(stream)->next());
  if (complete) {
    caches_[stream].StartAt(result.end);
    UpdateFollowers();
  } else {
    caches_[stream].Add(result);
    SchedulePush();
  }
}

// Announces new records to the hosts of a large fleet, which would otherwise
// learn of them only with their next heartbeat, at each level of the tree.
void PeerRelay::SchedulePush() {
  if (is_push_scheduled_ || heartbeat_senders_.empty() || !ServesOthers() ||
      relay_choice_->relays().empty()) {
    return;
  }
  is_push_scheduled_ = true;
  push_timer_.expires_after(kPushDelay);
  push_timer_.async_wait([this](const error_code& ec) {
    is_push_scheduled_ = false;
    if (ec || !ServesOthers()) {
      return;
    }
    const std::string text = EncodeHeartbeat(MakeAnswer(LeaseClockNow()));
    for (const auto& [endpoint, heartbeat_sender] : heartbeat_senders_) {
      Send(endpoint, text);
    }
  });
}

void PeerRelay::NoteTable(const StoredRecord& record) {
  auto table = TableOf(record);
  if (record.removed || !table.ok()) {
    // Control reads the same record, logs what is wrong with it and ignores it.
    return;
  }
  tables_.Add(*std::move(table));
}

void PeerRelay::NoteComplete(Stream stream, core::TimePoint as_of) {
  freshness_.at(stream).OnProgress(followers_.at(stream)->next());
  freshness_.at(stream).OnComplete(as_of);
}

void PeerRelay::NoteHistoryLost(Stream stream) {
  freshness_.at(stream).OnHistoryLost();
}

std::optional<core::Duration> PeerRelay::AgeOf(Stream stream) const {
  return freshness_.at(stream).Age(LeaseClockNow());
}

std::string PeerRelay::SourceOf(Stream stream) const {
  return followers_.at(stream)->is_relayed() && source_ ? ToString(*source_)
                                                        : "store";
}

StreamState PeerRelay::StateOf(Stream stream) const {
  const StreamFollower& follower = *followers_.at(stream);
  const auto age = AgeOf(stream);
  return {.next = follower.next(),
          .fresh = follower.has_newest() && age &&
                   *age <= (IsRelay() ? kRelayFreshnessLimit : kFreshnessLimit),
          .age = age ? std::optional(ToMilliseconds(*age)) : std::nullopt};
}

std::string PeerRelay::address() const {
  return absl::StrCat(ip_, ":", port_);
}

bool PeerRelay::IsLeaderReachable() const {
  return !tracker_.IsLeaderLost(LeaseClockNow());
}

bool PeerRelay::IsNewestWriterAlive() const {
  return LeaseClockNow() - newest_writer_answered_at_ < kWriterLifetime;
}

bool PeerRelay::IsRelay() const {
  return relay_choice_ && relay_choice_->IsRelay();
}

// The relay that this host uses. The leader uses none.
std::optional<std::string> PeerRelay::OwnRelay(core::TimePoint now) const {
  return hooks_.is_source() ? std::nullopt : relay_choice_->Current(now);
}

bool PeerRelay::ServesOthers() const {
  return hooks_.is_source() || tracker_.is_substitute() || IsRelay();
}

bool PeerRelay::NeedsMembership() const {
  return !relay_choice_ || relay_choice_->relays().empty() || IsRelay() ||
         hooks_.is_source() || LeaseClockNow() - fresh_answer_at_ >= kJoinDelay;
}

// Number of hosts that send heartbeats to this one or, on the leader, to a
// relay, including this one. A host that has just changed to a relay is counted
// twice until its last heartbeat expires.
int PeerRelay::CountHosts() const {
  int hosts = 1;
  for (const auto& [endpoint, it] : heartbeat_senders_) {
    hosts +=
        hooks_.is_source() && it.is_relay ? it.hosts : std::min(1, it.hosts);
  }
  return hosts;
}

// The number of hosts on which the leader bases their shares of what all of
// them have in common. Too small a number would make the shares too large.
int PeerRelay::FleetHosts() const {
  const int hosts = CountHosts();
  return hooks_.is_source() && fleet_size_.HasDropped()
             ? std::max(hosts, fleet_size_.largest())
             : hosts;
}

void PeerRelay::ExpireSenders(core::TimePoint now) {
  const core::TimePoint running_time = running_time_.At(now);
  std::erase_if(heartbeat_senders_, [running_time](const auto& it) {
    return running_time - it.second.last_received > kHeartbeatLifetime;
  });
}

void PeerRelay::AppointRelays() {
  if (!hooks_.is_source()) {
    source_since_ = std::nullopt;
    return;
  }
  const core::TimePoint now = LeaseClockNow();
  if (!source_since_) {
    source_since_ = now;
  }
  if (now - *source_since_ < kAppointmentDelay) {
    return;
  }
  std::vector<core::relay::RelayCandidate> candidates;
  for (auto& [endpoint, it] : heartbeat_senders_) {
    candidates.push_back(
        {.relay = {.address = ToString(endpoint),
                   .failure_domain = it.profile.failure_domain},
         .capacity = it.profile.capacity});
  }
  int size = fleet_size_.Add(CountHosts(), now);
  hooks_.on_host_count(FleetHosts());
  const std::vector<core::relay::Relay>& relays = relay_choice_->relays();
  if (!fleet_size_.HasSettled()) {
    // As many hosts as the present relays are made for.
    size = std::max(size, static_cast<int>(relays.size() * relays.size()));
  }
  if (!fleet_size_.HasDropped()) {
    SetRelays(
        core::relay::AppointRelays(relays, candidates, size, kTreeOptions));
  }
  for (auto& [endpoint, it] : heartbeat_senders_) {
    it.is_relay = relay_choice_->IsAmongRelays(ToString(endpoint));
  }
}

void PeerRelay::SetRelays(std::vector<core::relay::Relay> relays) {
  if (relays == relay_choice_->relays()) {
    return;
  }
  const bool was_relay = IsRelay();
  relays_version_ =
      relays.empty()
          ? 0
          : static_cast<std::uint32_t>(util::Hash64(NamesOf(relays)));
  relay_choice_->SetRelays(std::move(relays));
  if (hooks_.is_source() || IsRelay() != was_relay) {
    LogEvent("relays", {{"relays", relay_choice_->relays().size()},
                        {"hosts", CountHosts()},
                        {"is_leader", hooks_.is_source()},
                        {"is_relay", IsRelay()}});
  }
}

void PeerRelay::SendHeartbeats() {
  const core::TimePoint now = LeaseClockNow();
  if (now - heartbeat_at_ > kMaxTickDelay) {
    stalled_since_ = heartbeat_at_;
    stall_ended_at_ = now;
  }
  heartbeat_at_ = now;
  running_time_.OnTick(now);
  ExpireSenders(now);
  UpdateFollowers();
  ReadOverdueStreams(now);
  AppointRelays();
  relay_choice_->OnAsked(now);
  const auto relay = OwnRelay(now);
  LeaveEarlierRelay(relay);
  const bool leader_lost = tracker_.IsLeaderLost(now);
  if (relay) {
    SendHeartbeat(*relay, 1);
  }
  if (!relay || leader_lost) {
    for (const std::string& address : hooks_.sources()) {
      SendHeartbeat(address, relay ? 0 : CountHosts());
    }
  }
  if (!relay && leader_lost && !tracker_.is_substitute()) {
    // Each host asks all substitutes, so none of them counts it.
    for (const std::string& address : substitutes_) {
      SendHeartbeat(address, 0);
    }
  }
  timer_.expires_after(kHeartbeatInterval);
  timer_.async_wait([this](const error_code& ec) {
    if (!ec) {
      SendHeartbeats();
    }
  });
}

// Tells the host that has counted this one until now that another one does, so
// that the fleet does not seem larger than it is while hosts change relays.
void PeerRelay::LeaveEarlierRelay(const std::optional<std::string>& relay) {
  const std::optional<std::string> earlier =
      std::exchange(counted_by_relay_, relay);
  if (relay == earlier) {
    return;
  }
  if (earlier) {
    SendHeartbeat(*earlier, 0);
    return;
  }
  for (const std::string& address : hooks_.sources()) {
    SendHeartbeat(address, 0);
  }
}

void PeerRelay::AskLeader() {
  if (hooks_.is_source() || IsLeaderReachable()) {
    return;
  }
  for (const std::string& address : hooks_.sources()) {
    SendHeartbeat(address, OwnRelay(LeaseClockNow()) ? 0 : CountHosts());
  }
}

// `hosts`: number of hosts that the receiver is to count for this one.
void PeerRelay::SendHeartbeat(const std::string& address, int hosts) {
  if (const auto to = net::ParseEndpoint(address); to.ok()) {
    const udp::endpoint endpoint(to->address(), to->port());
    const auto stamp = stamps_.find(endpoint);
    const auto up_since = hooks_.store_up_since();
    const NewestTable table = hooks_.newest_table();
    Send(endpoint,
         EncodeHeartbeat(
             {.store_lost = hooks_.store_lost(),
              .is_member = hooks_.is_member(),
              .failure_domain = profile_.failure_domain,
              .capacity = profile_.capacity,
              .relays_version = relays_version_,
              .poison_digest = hooks_.poison_digest(),
              .store_up = up_since ? ToMilliseconds(LeaseClockNow() - *up_since)
                                   : milliseconds(0),
              .ownership_end = table.end,
              .follows_receiver = table.address == address,
              .stamp = stamp == stamps_.end() ? 0 : stamp->second,
              .hosts = hosts,
              .admitted_version = hooks_.admitted_version()}));
  }
}

void PeerRelay::Broadcast(const std::string& text) {
  std::set<std::string> addresses = hooks_.sources();
  if (const auto relay = OwnRelay(LeaseClockNow())) {
    addresses = {*relay};
  } else if (tracker_.IsLeaderLost(LeaseClockNow())) {
    addresses.insert(substitutes_.begin(), substitutes_.end());
  }
  std::set<udp::endpoint> endpoints;
  for (const std::string& address : addresses) {
    if (const auto to = net::ParseEndpoint(address); to.ok()) {
      endpoints.emplace(to->address(), to->port());
    }
  }
  for (const auto& [endpoint, heartbeat_sender] : heartbeat_senders_) {
    endpoints.insert(endpoint);
  }
  for (const udp::endpoint& it : endpoints) {
    Send(it, text);
  }
}

// Sends all crash reports of this host to a peer whose digest differs. The peer
// does the same, so that both have the same reports even if an earlier message
// was lost.
void PeerRelay::CompareDigests(const PeerHeartbeat& heartbeat) {
  if (core::request::KnowSameCrashes(heartbeat.poison_digest,
                                     hooks_.poison_digest())) {
    return;
  }
  for (const std::string& it : hooks_.poison_messages()) {
    Send(sender_, it);
  }
}

// Decides for each stream whether it is read from the store or taken from a
// peer.
void PeerRelay::UpdateFollowers() {
  const core::TimePoint now = LeaseClockNow();
  const bool leader_reachable = !tracker_.IsLeaderLost(now);
  if (std::exchange(leader_was_reachable_, leader_reachable) &&
      !leader_reachable) {
    hooks_.on_leader_lost();
  }
  const bool is_leader = hooks_.is_leader() || hooks_.is_source();
  const core::Duration more_grace =
      relay_choice_ && OwnRelay(now) ? kRelayGrace : milliseconds(0);
  const bool relayed = !is_leader && tracker_.IsRelayed(now, more_grace);
  const bool is_read_for_others = is_leader || tracker_.is_substitute();
  for (auto& [stream, follower] : followers_) {
    if (is_read_for_others || IsRelay()) {
      follower->EndWait();
    }
    follower->SetPollWait(is_read_for_others ? kSourcePollWait : kPollWait);
    // Ownership is read even during the start, since its records hold the
    // address of the leader.
    const bool waits =
        !is_leader && stream != Stream::kOwnership && tracker_.IsStarting(now);
    follower->SetRelayed(relayed || waits);
  }
  followers_.at(Stream::kConfig)->SetBatchPause(kConfigPause);
  followers_.at(Stream::kTargets)->SetBatchPause(kTargetsPause);
  followers_.at(Stream::kOwnership)
      ->SetBatchPause(is_leader ? milliseconds(0) : kOwnershipPause);
}

void PeerRelay::Receive() {
  socket_.async_receive_from(
      boost::asio::buffer(buffer_), sender_,
      [this](const error_code& ec, size_t n) {
        if (ec == boost::asio::error::operation_aborted) {
          return;
        }
        if (!ec) {
          Contain("datagram",
                  [&] { OnDatagram(std::string(buffer_.data(), n)); });
        }
        Receive();
      });
}

void PeerRelay::OnDatagram(const std::string& text) {
  if (IsPermitMessage(text)) {
    hooks_.on_permit_message(text, ToString(sender_));
    return;
  }
  if (IsPoisonUpdate(text)) {
    const auto update = DecodePoisonUpdate(text);
    if (!update.ok()) {
      LogEvent("datagram_unreadable", {{"cause", update.status().message()}});
      return;
    }
    hooks_.on_poison_update(*update, sender_.address().to_string());
    return;
  }
  if (const auto heartbeat = DecodeHeartbeat(text); heartbeat.ok()) {
    if (heartbeat->is_answer) {
      OnAnswer(*heartbeat);
    } else {
      OnHeartbeat(*heartbeat);
    }
    return;
  }
  const auto report = DecodeLoadReport(text);
  if (!report.ok()) {
    LogEvent("datagram_unreadable", {{"cause", report.status().message()}});
    return;
  }
  if (IsRelay() && !hooks_.is_source() && !report->relayed) {
    AddReport(*report, summed_loads_[report->service]);
    return;
  }
  hooks_.on_load(*report);
}

void PeerRelay::OnHeartbeat(const PeerHeartbeat& heartbeat) {
  const core::TimePoint now = LeaseClockNow();
  ExpireSenders(now);
  heartbeat_senders_[sender_] = {
      .last_received = running_time_.At(now),
      .store_lost = heartbeat.store_lost,
      .is_member = heartbeat.is_member,
      .is_relay = relay_choice_->IsAmongRelays(ToString(sender_)),
      .hosts = heartbeat.hosts,
      .profile = {.failure_domain = heartbeat.failure_domain,
                  .capacity = heartbeat.capacity}};
  ReportHost(heartbeat, now);
  CompareDigests(heartbeat);
  // A host that acts on owners needs reports that are not older than its stamp.
  if (!ServesOthers() && !hooks_.is_active()) {
    return;
  }
  PeerHeartbeat answer = MakeAnswer(now);
  answer.stamp = heartbeat.is_member ? MakeStamp(now) : 0;
  if (heartbeat.relays_version != relays_version_) {
    answer.relays = relay_choice_->relays();
  }
  answer.admitted = hooks_.admitted_update(heartbeat.admitted_version);
  Send(sender_, EncodeHeartbeat(answer));
}

std::uint64_t PeerRelay::MakeStamp(core::TimePoint now) const {
  return (start_number_ << kStampTimeBits) |
         (static_cast<std::uint64_t>(ToMilliseconds(now - started_).count()) &
          kStampTimeMask);
}

// Returns the time at which this process made the stamp; empty if it did not.
std::optional<core::TimePoint> PeerRelay::ReadStamp(std::uint64_t stamp,
                                                    core::TimePoint now) const {
  const core::TimePoint time =
      started_ +
      milliseconds(static_cast<std::int64_t>(stamp & kStampTimeMask));
  if (stamp == 0 || stamp >> kStampTimeBits != start_number_ || time > now) {
    return std::nullopt;
  }
  return time;
}

// Only members of the group call the store and can become the leader.
void PeerRelay::ReportHost(const PeerHeartbeat& heartbeat,
                           core::TimePoint now) {
  if (heartbeat.is_member) {
    hooks_.on_host_report({.host = ToString(sender_),
                           .store_lost = heartbeat.store_lost,
                           .store_up = heartbeat.store_up,
                           .records_end = heartbeat.ownership_end,
                           .follows_receiver = heartbeat.follows_receiver,
                           .sent_after = ReadStamp(heartbeat.stamp, now)});
  }
}

PeerHeartbeat PeerRelay::MakeAnswer(core::TimePoint now) const {
  PeerHeartbeat answer{.is_answer = true,
                       .relays_version = relays_version_,
                       .poison_digest = hooks_.poison_digest(),
                       .config = StateOf(Stream::kConfig),
                       .targets = StateOf(Stream::kTargets),
                       .ownership = StateOf(Stream::kOwnership),
                       .hosts = FleetHosts(),
                       .is_leader = hooks_.is_source()};
  if (answer.is_leader) {
    answer.substitutes = ChooseSubstitutes();
  } else if (IsRelay()) {
    answer.is_relay = true;
    answer.hosts = last_answer_.hosts;
    answer.leader_reachable = IsLeaderReachable();
    answer.leader_digest = last_answer_.leader_digest;
    answer.substitutes = last_answer_.substitutes;
  }
  if (answer.is_relay && !tracker_.is_substitute()) {
    // The records of a relay are those of its source.
    const bool has_all =
        followers_.at(Stream::kTargets)->next() >= last_answer_.targets.next;
    answer.store_up = answer.targets.fresh && has_all ? last_answer_.store_up
                                                      : milliseconds(0);
  } else if (const auto up_since = hooks_.store_up_since()) {
    answer.store_up = ToMilliseconds(now - *up_since);
  }
  return answer;
}

// Spreads the substitutes over the failure domains, so that no single one of
// them takes all of them away.
std::vector<std::string> PeerRelay::ChooseSubstitutes() const {
  std::map<std::string, size_t> chosen_in_domain;
  // By the number of substitutes of the same failure domain that come first.
  std::multimap<size_t, std::string> candidates;
  for (const auto& [endpoint, it] : heartbeat_senders_) {
    if (!it.store_lost) {
      candidates.emplace(chosen_in_domain[it.profile.failure_domain]++,
                         ToString(endpoint));
    }
  }
  std::vector<std::string> chosen;
  for (const auto& [rank, address] : candidates) {
    if (chosen.size() < kMaxSubstitutes) {
      chosen.push_back(address);
    }
  }
  return chosen;
}

void PeerRelay::OnAnswer(const PeerHeartbeat& answer) {
  const core::TimePoint now = LeaseClockNow();
  const std::string from = ToString(sender_);
  if (answer.stamp != 0) {
    if (stamps_.size() >= kMaxStamps) {
      stamps_.clear();
    }
    stamps_[sender_] = answer.stamp;
  }
  if (from == hooks_.newest_table().address) {
    newest_writer_answered_at_ = now;
  }
  const auto relay = OwnRelay(now);
  if (answer.is_relay && relay && from != *relay) {
    // A relay that this host no longer uses.
    return;
  }
  // Relays also use each other, but only as substitutes of the leader.
  const bool is_own_relay = answer.is_relay && relay.has_value();
  const bool was_lost = tracker_.IsLeaderLost(now);
  const bool fresh =
      answer.config.fresh && answer.targets.fresh && answer.ownership.fresh;
  if (answer.is_leader) {
    tracker_.OnAnswer(core::relay::SourceKind::kLeader, fresh, now);
  } else if (is_own_relay) {
    relay_choice_->OnAnswer(from, fresh, now);
    tracker_.OnAnswer(core::relay::SourceKind::kLeader,
                      fresh && answer.leader_reachable, now);
  }
  if (!answer.is_leader && !(is_own_relay && answer.leader_reachable)) {
    tracker_.OnAnswer(core::relay::SourceKind::kSubstitute, fresh, now);
  }
  CompareDigests(answer);
  NoteStates(answer, now);
  if (answer.is_leader || is_own_relay) {
    OnSourceAnswer(answer, now);
  }
  if (fresh) {
    fresh_answer_at_ = now;
  }
  // A relay takes precedence over the leader, and the leader over a substitute.
  if (fresh && (is_own_relay || (answer.is_leader && (!relay || was_lost)) ||
                tracker_.IsLeaderLost(now))) {
    UseSource(answer);
  }
  UpdateFollowers();
}

// Returns the earliest time at which a datagram that is read now may have
// arrived. Datagrams that were waiting while this process did not run say
// nothing about the time since then.
core::TimePoint PeerRelay::EarliestReceipt(core::TimePoint now) const {
  const bool was_waiting = now - stall_ended_at_ < kHeartbeatInterval;
  return std::min(
      now, (was_waiting ? stalled_since_ : heartbeat_at_) + kMaxTickDelay);
}

// Takes how old the records of the sender are.
void PeerRelay::NoteStates(const PeerHeartbeat& answer, core::TimePoint now) {
  const core::TimePoint received = EarliestReceipt(now);
  const std::pair<Stream, StreamState> streams[] = {
      {Stream::kConfig, answer.config},
      {Stream::kTargets, answer.targets},
      {Stream::kOwnership, answer.ownership}};
  for (const auto& [stream, state] : streams) {
    if (state.age) {
      freshness_.at(stream).OnReported(state.next, received - *state.age);
    }
  }
}

// Reads the streams from the store of which nothing has shown for too long that
// this host knows all records, whatever the reason.
void PeerRelay::ReadOverdueStreams(core::TimePoint now) {
  // While the store is lost, it is asked at longer intervals, which limits the
  // number of calls in an outage.
  if (tracker_.IsStarting(now) || hooks_.store_lost()) {
    return;
  }
  for (auto& [stream, freshness] : freshness_) {
    StreamFollower& follower = *followers_.at(stream);
    if (!follower.has_newest() || !freshness.IsOverdue(ServesOthers(), now)) {
      continue;
    }
    freshness.OnOverdueRead(now);
    const auto age = freshness.Age(now);
    LogEvent("stream_overdue",
             {{"stream", NameOf(stream)},
              {"next", follower.next()},
              {"age_ms", age ? ToMilliseconds(*age).count() : -1},
              {"source", SourceOf(stream)},
              {"leader_reachable", IsLeaderReachable()}});
    follower.ReadOnce();
  }
}

// Takes what the leader says of the fleet, directly or through a relay.
void PeerRelay::OnSourceAnswer(const PeerHeartbeat& answer,
                               core::TimePoint now) {
  last_answer_ = answer;
  if (answer.is_leader) {
    last_answer_.leader_digest = answer.poison_digest;
  }
  if (answer.is_leader || answer.leader_reachable) {
    hooks_.on_leader_digest(last_answer_.leader_digest);
  }
  substitutes_ = answer.substitutes;
  tracker_.SetSubstitute(std::find(substitutes_.begin(), substitutes_.end(),
                                   address()) != substitutes_.end());
  hooks_.on_host_count(answer.hosts);
  if (answer.admitted) {
    hooks_.on_admitted(*answer.admitted, EarliestReceipt(now));
  }
  if (answer.store_up > milliseconds(0)) {
    hooks_.on_store_up_reported(now - answer.store_up);
  }
  if (answer.relays) {
    SetRelays(*answer.relays);
    // A host that starts asks its relay without delay.
    const auto relay = OwnRelay(now);
    if (relay && !followers_.at(Stream::kTargets)->has_newest()) {
      SendHeartbeat(*relay, 1);
    }
  }
}

// Fetches the records that the sender of the answer has read and this host has
// not.
void PeerRelay::UseSource(const PeerHeartbeat& answer) {
  const core::TimePoint now = LeaseClockNow();
  if (!source_ || *source_ != sender_) {
    // A change of the source drops the fetches in flight. If several sources
    // answer in turn, none of their fetches would ever be used.
    if (std::any_of(fetching_.begin(), fetching_.end(),
                    [](const auto& it) { return it.second; })) {
      return;
    }
    source_ = sender_;
    source_client_ = std::make_unique<net::HttpClient>(
        io_, net::Tcp::endpoint(sender_.address(), sender_.port()));
    fetching_.clear();
  }
  const std::pair<Stream, StreamState> streams[] = {
      {Stream::kConfig, answer.config},
      {Stream::kTargets, answer.targets},
      {Stream::kOwnership, answer.ownership}};
  const StreamFollower& targets = *followers_[Stream::kTargets];
  if (answer.store_up > milliseconds(0) && targets.has_newest() &&
      targets.next() >= answer.targets.next) {
    hooks_.on_store_confirmed_by_peer(now - answer.store_up);
  }
  for (const auto& [stream, state] : streams) {
    const StreamFollower& follower = *followers_[stream];
    // The records that are missing have been refused, and the store is read for
    // them. A read for another reason may fail, so it does not count.
    const auto refused = refused_from_.find(stream);
    const bool reads_store =
        tracker_.IsBackingOff(now) ||
        (follower.is_reading_now() && refused != refused_from_.end() &&
         refused->second == follower.next());
    const bool waits = reads_store || (stream != Stream::kOwnership &&
                                       tracker_.IsStarting(now));
    // After a restore of the store, the records of the earlier era are not
    // continued.
    const bool is_later_era =
        core::EraOf(state.next) > core::EraOf(follower.next());
    if ((!follower.has_newest() || is_later_era) &&
        MayFetchNewest(answer, stream)) {
      FetchNewest(stream);
    } else if (follower.has_newest() && !waits &&
               follower.next() < state.next) {
      Fetch(stream);
    }
  }
}

// The hosts of a large fleet that start together would overload the leader, so
// they take the newest records only from relays.
bool PeerRelay::MayFetchNewest(const PeerHeartbeat& answer,
                               Stream stream) const {
  return stream != Stream::kOwnership &&
         (answer.is_relay ||
          (answer.is_leader && answer.hosts <= kTreeOptions.max_direct_hosts));
}

// If the peer has no answer in time, this host reads the store.
void PeerRelay::FetchNewest(Stream stream) {
  if (std::exchange(fetching_[stream], true)) {
    return;
  }
  net::HttpRequest request{
      http::verb::get, absl::StrCat(kNewestPath, static_cast<int>(stream)), 11};
  request.set(http::field::host, ip_);
  source_client_->Call(
      std::move(request), kFetchNewestTimeout,
      [this, stream, source = *source_](const net::CallAnswer& answer) {
        if (source_ != source) {
          return;
        }
        fetching_[stream] = false;
        const bool is_ok = answer.result == net::CallResult::kAnswered &&
                           answer.response.result() == http::status::ok;
        const auto records = is_ok
                                 ? DecodeRecords(answer.response.body())
                                 : absl::UnavailableError("no answer in time");
        if (records.ok()) {
          followers_[stream]->DeliverNewest(*records);
          return;
        }
        LogEvent("fetch_failed", {{"stream", NameOf(stream)},
                                  {"next", 0},
                                  {"source", SourceOf(stream)},
                                  {"cause", records.status().message()}});
        followers_[stream]->EndWait();
        followers_[stream]->ReadOnce();
      });
}

void PeerRelay::Fetch(Stream stream) {
  if (fetching_[stream]) {
    return;
  }
  fetching_[stream] = true;
  net::HttpRequest request{
      http::verb::get,
      absl::StrCat(kRecordsPath, static_cast<int>(stream), kFromParameter,
                   followers_[stream]->next(),
                   hooks_.store_lost() ? kAnySizeParameter : ""),
      11};
  request.set(http::field::host, ip_);
  source_client_->Call(
      std::move(request), kFetchTimeout,
      [this, stream, source = *source_](const net::CallAnswer& answer) {
        if (source_ == source) {
          fetching_[stream] = false;
          OnFetched(stream, answer);
        }
      });
}

void PeerRelay::OnFetched(Stream stream, const net::CallAnswer& answer) {
  const bool answered = answer.result == net::CallResult::kAnswered;
  if (answered && answer.response.result() == http::status::payload_too_large) {
    LogEvent("fetch_refused", {{"stream", NameOf(stream)},
                               {"next", followers_[stream]->next()},
                               {"source", SourceOf(stream)},
                               {"cause", "too large, read from the store"}});
    refused_from_[stream] = followers_[stream]->next();
    followers_[stream]->ReadOnce();
    return;
  }
  if (answered && answer.response.result() == http::status::ok) {
    if (stream == Stream::kOwnership && DeliverUpdate(answer.response.body())) {
      return;
    }
    const auto records = DecodeRecords(answer.response.body());
    if (records.ok()) {
      followers_[stream]->Deliver(*records);
      freshness_.at(stream).OnProgress(followers_[stream]->next());
      return;
    }
  }
  LogEvent("fetch_failed",
           {{"stream", NameOf(stream)},
            {"next", followers_[stream]->next()},
            {"source", SourceOf(stream)},
            {"cause",
             answered ? absl::StrCat("status ", answer.response.result_int())
                      : std::string("no answer in time")}});
  tracker_.OnFetchFailed(LeaseClockNow());
  UpdateFollowers();
}

// Returns false if the text is not an ownership update. If this host lacks the
// table on which a change is based, it reads the store instead.
bool PeerRelay::DeliverUpdate(const std::string& text) {
  const auto update = DecodeOwnershipUpdate(text);
  if (!update.ok()) {
    return false;
  }
  ReadResult result{.status = StoreStatus::kOk, .end = update->end};
  for (const core::keyspace::OwnershipDelta& it : update->deltas) {
    auto table = tables_.Apply(it);
    if (!table) {
      refused_from_[Stream::kOwnership] =
          followers_[Stream::kOwnership]->next();
      followers_[Stream::kOwnership]->ReadOnce();
      return true;
    }
    result.records.push_back(
        {.offset = table->offset,
         .key = table->service,
         .table = std::make_shared<const core::keyspace::OwnershipTable>(
             *std::move(table))});
  }
  std::sort(result.records.begin(), result.records.end(),
            [](const StoredRecord& a, const StoredRecord& b) {
              return a.offset < b.offset;
            });
  followers_[Stream::kOwnership]->Deliver(result);
  freshness_.at(Stream::kOwnership)
      .OnProgress(followers_[Stream::kOwnership]->next());
  return true;
}

// GET /records?stream=N&from=OFFSET[&any_size=1] and GET /newest?stream=N
net::HttpResponse PeerRelay::Serve(const net::HttpRequest& request) {
  net::HttpResponse response;
  response.result(http::status::not_found);
  std::string target(request.target());
  absl::string_view newest_of = target;
  if (absl::ConsumePrefix(&newest_of, kNewestPath)) {
    int stream = 0;
    return absl::SimpleAtoi(newest_of, &stream)
               ? ServeNewest(static_cast<Stream>(stream))
               : response;
  }
  const size_t suffix = target.find(kAnySizeParameter);
  const bool any_size = suffix != std::string::npos;
  if (any_size) {
    target.resize(suffix);
  }
  const size_t path_size = absl::string_view(kRecordsPath).size();
  const size_t from = target.find(kFromParameter);
  int stream = 0;
  core::Offset offset = 0;
  if (target.rfind(kRecordsPath, 0) != 0 || from == std::string::npos ||
      !absl::SimpleAtoi(target.substr(path_size, from - path_size), &stream) ||
      !absl::SimpleAtoi(
          target.substr(from + absl::string_view(kFromParameter).size()),
          &offset)) {
    return response;
  }
  if (static_cast<Stream>(stream) == Stream::kOwnership && !any_size) {
    response = ServeOwnership(offset);
    if (response.result() == http::status::ok || !IsRelay()) {
      return response;
    }
    response = {};
    response.result(http::status::not_found);
  }
  const auto cache = caches_.find(static_cast<Stream>(stream));
  if (cache == caches_.end()) {
    return response;
  }
  const size_t max_bytes = IsRelay() ? kMaxRelayedBytes : kMaxFetchedBytes;
  std::optional<ReadResult> records = cache->second.From(offset);
  if (!records && static_cast<Stream>(stream) == Stream::kOwnership &&
      core::EraOf(offset) < core::EraOf(cache->second.next())) {
    // The peer may be unable to read the store, and any table that is newer
    // than its own replaces it.
    records = tables_.Newest(cache->second.next());
  }
  if (!records) {
    response.result(http::status::gone);
    return response;
  }
  // Large records are refused before they are encoded: many hosts ask for the
  // same ones at the same time.
  size_t bytes = 0;
  for (const StoredRecord& it : records->records) {
    bytes += EncodedBytes(it);
  }
  std::string body =
      any_size || bytes <= max_bytes ? EncodeRecords(*records) : std::string();
  if ((bytes > max_bytes || body.size() > max_bytes) && !any_size) {
    response.result(http::status::payload_too_large);
    return response;
  }
  response.result(http::status::ok);
  response.set(http::field::content_type, "application/json");
  response.body() = std::move(body);
  return response;
}

// The leader returns only little: it serves the whole fleet when all hosts
// start at once, and does not know yet how many they are.
net::HttpResponse PeerRelay::ServeNewest(Stream stream) {
  net::HttpResponse response;
  const auto newest = newest_.find(stream);
  if (newest == newest_.end()) {
    response.result(http::status::not_found);
    return response;
  }
  size_t bytes = 0;
  for (const auto& [key, record] : newest->second) {
    bytes += key.size() + record.value.size();
  }
  if (!IsRelay() && bytes > kMaxNewestBytes) {
    response.result(http::status::payload_too_large);
    return response;
  }
  const core::Offset next = caches_.at(stream).next();
  EncodedNewest& encoded = encoded_newest_[stream];
  if (encoded.text.empty() || encoded.next != next) {
    ReadResult records{.status = StoreStatus::kOk, .end = next};
    for (const auto& [key, record] : newest->second) {
      records.records.push_back(record);
    }
    encoded = {.next = next, .text = EncodeRecords(records)};
  }
  response.result(http::status::ok);
  response.set(http::field::content_type, "application/json");
  response.body() = encoded.text;
  return response;
}

net::HttpResponse PeerRelay::ServeOwnership(core::Offset from) const {
  net::HttpResponse response;
  const auto cache = caches_.find(Stream::kOwnership);
  const auto update = cache == caches_.end()
                          ? std::nullopt
                          : tables_.UpdateFrom(from, cache->second.next());
  if (!update) {
    response.result(http::status::payload_too_large);
    return response;
  }
  response.result(http::status::ok);
  response.set(http::field::content_type, "application/json");
  response.body() = EncodeOwnershipUpdate(*update);
  return response;
}

}  // namespace toucandock::entry
