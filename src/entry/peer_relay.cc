#include "entry/peer_relay.h"

#include <algorithm>
#include <utility>

#include "absl/strings/numbers.h"
#include "absl/strings/str_cat.h"
#include "entry/clock.h"
#include "entry/event_log.h"

namespace toucandock::entry {
namespace {

namespace http = boost::beast::http;
using boost::asio::ip::udp;
using boost::system::error_code;
using std::chrono::milliseconds;

constexpr milliseconds kHeartbeatInterval{300};
// A host that has sent no heartbeat for this long counts as stopped.
constexpr milliseconds kHeartbeatLifetime{2'000};
// A stream counts as up to date for this long after the store answered a read.
// The store delays the responses to a source's reads for less than this
// (kSourcePollWait).
constexpr milliseconds kFreshnessLimit{1'000};
constexpr milliseconds kFetchTimeout{500};
// Maximum size of the records that a peer returns at a time. A host with a slow
// link would need seconds to send more to a whole fleet; reading the store is
// faster.
constexpr size_t kMaxFetchedBytes = 16'384;
constexpr char kRecordsPath[] = "/records?stream=";
constexpr char kFromParameter[] = "&from=";
// Sent by a host whose own calls to the store fail: lifts the size limit.
constexpr char kAnySizeParameter[] = "&any_size=1";
// The store counts as unavailable to all hosts if at least this fraction of the
// other hosts reports that it is.
constexpr double kOutageFraction = 0.75;
constexpr size_t kMaxSubstitutes = 4;
// How long the store may delay the response to a read that finds nothing new.
constexpr milliseconds kPollWait{2'000};
constexpr milliseconds kSourcePollWait{700};
// Pauses between two reads, so that records that are written in a burst are
// read by one call. They are well below the time within which changes must take
// effect: a leaving target must be out of use within two seconds.
constexpr milliseconds kConfigPause{200};
constexpr milliseconds kTargetsPause{400};
constexpr milliseconds kOwnershipPause{100};

milliseconds ToMilliseconds(core::Duration time) {
  return std::chrono::duration_cast<milliseconds>(time);
}

}  // namespace

PeerRelay::PeerRelay(boost::asio::io_context& io,
                     std::string ip,
                     std::uint16_t port,
                     Followers& followers,
                     const core::relay::SourceOptions& options,
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
          [this](const net::HttpRequest& request) { return Serve(request); }),
      tracker_(options, LeaseClockNow()) {}

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
    Receive();
    SendHeartbeats();
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

void PeerRelay::SendLoad(const std::string& address,
                         const core::keyspace::LoadReport& report) {
  if (const auto to = net::ParseEndpoint(address); to.ok()) {
    Send({to->address(), to->port()}, EncodeLoadReport(report));
  }
}

void PeerRelay::NoteRecords(Stream stream,
                            const ReadResult& result,
                            bool complete) {
  if (stream == Stream::kOwnership) {
    for (const StoredRecord& it : result.records) {
      NoteTable(it);
    }
  }
  if (complete) {
    caches_[stream].StartAt(result.end);
    UpdateFollowers();
  } else {
    caches_[stream].Add(result);
  }
}

void PeerRelay::NoteTable(const StoredRecord& record) {
  auto table = DecodeOwnership(record.value);
  if (record.removed || !table.ok()) {
    // Control reads the same record, logs what is wrong with it and ignores it.
    return;
  }
  table->offset = record.offset;
  tables_.Add(*std::move(table));
}

void PeerRelay::NoteAnswer(Stream stream) {
  answered_at_[stream] = LeaseClockNow();
}

StreamState PeerRelay::StateOf(Stream stream) const {
  const auto answered = answered_at_.find(stream);
  const StreamFollower& follower = *followers_.at(stream);
  return {.next = follower.next(),
          .fresh = follower.has_newest() && answered != answered_at_.end() &&
                   LeaseClockNow() - answered->second <= kFreshnessLimit};
}

std::string PeerRelay::address() const {
  return absl::StrCat(ip_, ":", port_);
}

bool PeerRelay::IsLeaderReachable() const {
  return !tracker_.IsLeaderLost(LeaseClockNow());
}

void PeerRelay::SendHeartbeats() {
  UpdateFollowers();
  for (const std::string& address : hooks_.sources()) {
    SendHeartbeat(address);
  }
  if (tracker_.IsLeaderLost(LeaseClockNow()) && !tracker_.is_substitute()) {
    for (const std::string& address : substitutes_) {
      SendHeartbeat(address);
    }
  }
  timer_.expires_after(kHeartbeatInterval);
  timer_.async_wait([this](const error_code& ec) {
    if (!ec) {
      SendHeartbeats();
    }
  });
}

void PeerRelay::SendHeartbeat(const std::string& address) {
  if (const auto to = net::ParseEndpoint(address); to.ok()) {
    Send({to->address(), to->port()},
         EncodeHeartbeat({.store_lost = hooks_.store_lost(),
                          .poison_digest = hooks_.poison_digest()}));
  }
}

void PeerRelay::Broadcast(const std::string& text) {
  std::set<std::string> addresses = hooks_.sources();
  if (tracker_.IsLeaderLost(LeaseClockNow())) {
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
  if (heartbeat.poison_digest == hooks_.poison_digest()) {
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
  const bool relayed = !is_leader && tracker_.IsRelayed(now);
  const bool is_read_for_others = is_leader || tracker_.is_substitute();
  for (auto& [stream, follower] : followers_) {
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
          OnDatagram(std::string(buffer_.data(), n));
        }
        Receive();
      });
}

void PeerRelay::OnDatagram(const std::string& text) {
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
  hooks_.on_load(*report);
}

void PeerRelay::OnHeartbeat(const PeerHeartbeat& heartbeat) {
  const core::TimePoint now = LeaseClockNow();
  heartbeat_senders_[sender_] = {.last_received = now,
                                 .store_lost = heartbeat.store_lost};
  std::erase_if(heartbeat_senders_, [now](const auto& it) {
    return now - it.second.last_received > kHeartbeatLifetime;
  });
  const auto lost =
      std::count_if(heartbeat_senders_.begin(), heartbeat_senders_.end(),
                    [](const auto& it) { return it.second.store_lost; });
  if (static_cast<double>(lost) >=
      kOutageFraction * static_cast<double>(heartbeat_senders_.size())) {
    hooks_.on_outage_reported();
  }
  CompareDigests(heartbeat);
  const bool is_leader = hooks_.is_source();
  if (!is_leader && !tracker_.is_substitute()) {
    return;
  }
  const auto up_since = hooks_.store_up_since();
  PeerHeartbeat answer{.is_answer = true,
                       .poison_digest = hooks_.poison_digest(),
                       .config = StateOf(Stream::kConfig),
                       .targets = StateOf(Stream::kTargets),
                       .ownership = StateOf(Stream::kOwnership),
                       .hosts = static_cast<int>(heartbeat_senders_.size()) + 1,
                       .is_leader = is_leader};
  if (up_since) {
    answer.store_up = ToMilliseconds(now - *up_since);
  }
  if (is_leader) {
    answer.substitutes = ChooseSubstitutes();
  }
  Send(sender_, EncodeHeartbeat(answer));
}

std::vector<std::string> PeerRelay::ChooseSubstitutes() const {
  std::vector<std::string> chosen;
  for (const auto& [endpoint, heartbeat_sender] : heartbeat_senders_) {
    if (chosen.size() < kMaxSubstitutes && !heartbeat_sender.store_lost) {
      chosen.push_back(
          absl::StrCat(endpoint.address().to_string(), ":", endpoint.port()));
    }
  }
  return chosen;
}

void PeerRelay::OnAnswer(const PeerHeartbeat& answer) {
  const core::TimePoint now = LeaseClockNow();
  const bool fresh =
      answer.config.fresh && answer.targets.fresh && answer.ownership.fresh;
  tracker_.OnAnswer(answer.is_leader ? core::relay::SourceKind::kLeader
                                     : core::relay::SourceKind::kSubstitute,
                    fresh, now);
  CompareDigests(answer);
  if (answer.is_leader) {
    hooks_.on_leader_digest(answer.poison_digest);
    substitutes_ = answer.substitutes;
    tracker_.SetSubstitute(std::find(substitutes_.begin(), substitutes_.end(),
                                     address()) != substitutes_.end());
    hooks_.on_host_count(answer.hosts);
  }
  // The leader takes precedence over a substitute.
  if (fresh && (answer.is_leader || tracker_.IsLeaderLost(now))) {
    UseSource(answer);
  }
  UpdateFollowers();
}

// Fetches the records that the sender of the answer has read and this host has
// not.
void PeerRelay::UseSource(const PeerHeartbeat& answer) {
  if (!source_ || *source_ != sender_) {
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
    hooks_.on_store_confirmed_by_peer(LeaseClockNow() - answer.store_up);
  }
  for (const auto& [stream, state] : streams) {
    const StreamFollower& follower = *followers_[stream];
    const bool waits =
        stream != Stream::kOwnership && tracker_.IsStarting(LeaseClockNow());
    if (follower.has_newest() && !waits && follower.next() < state.next) {
      Fetch(stream);
    }
  }
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
      return;
    }
  }
  LogEvent("fetch_failed", {{"stream", static_cast<int>(stream)},
                            {"next", followers_[stream]->next()}});
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
    const auto table = tables_.Apply(it);
    if (!table) {
      followers_[Stream::kOwnership]->ReadOnce();
      return true;
    }
    result.records.push_back({.offset = table->offset,
                              .key = table->service,
                              .value = EncodeOwnership(*table)});
  }
  std::sort(result.records.begin(), result.records.end(),
            [](const StoredRecord& a, const StoredRecord& b) {
              return a.offset < b.offset;
            });
  followers_[Stream::kOwnership]->Deliver(result);
  return true;
}

// GET /records?stream=N&from=OFFSET[&any_size=1]
net::HttpResponse PeerRelay::Serve(const net::HttpRequest& request) const {
  net::HttpResponse response;
  response.result(http::status::not_found);
  std::string target(request.target());
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
    return ServeOwnership(offset);
  }
  const auto cache = caches_.find(static_cast<Stream>(stream));
  if (cache == caches_.end()) {
    return response;
  }
  const std::optional<ReadResult> records = cache->second.From(offset);
  if (!records) {
    response.result(http::status::gone);
    return response;
  }
  std::string body = EncodeRecords(*records);
  if (body.size() > kMaxFetchedBytes && !any_size) {
    response.result(http::status::payload_too_large);
    return response;
  }
  response.result(http::status::ok);
  response.set(http::field::content_type, "application/json");
  response.body() = std::move(body);
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
