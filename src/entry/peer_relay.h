#ifndef TOUCANDOCK_ENTRY_PEER_RELAY_H_
#define TOUCANDOCK_ENTRY_PEER_RELAY_H_

#include "net/http_client.h"
#include "net/responder.h"

#include <array>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/udp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "absl/status/status.h"
#include "core/keyspace/key_samples.h"
#include "core/keyspace/outage_evidence.h"
#include "core/relay/relay_tree.h"
#include "core/relay/running_time.h"
#include "core/relay/source_tracker.h"
#include "core/relay/stream_freshness.h"
#include "core/time.h"
#include "entry/peer_json.h"
#include "entry/poison_json.h"
#include "entry/record_cache.h"
#include "entry/stream_follower.h"
#include "entry/table_history.h"

namespace toucandock::entry {

using Followers = std::map<Stream, std::shared_ptr<StreamFollower>>;

// What the leader needs to know of a host to appoint relays.
struct RelayProfile {
  std::string failure_domain;
  // 0 if the host must not be a relay.
  double capacity = 0;
};

// The newest ownership table that a host knows, of any service.
struct NewestTable {
  // Peer address of the host that wrote it; empty if there is no table.
  std::string address;
  // Offset after its record.
  core::Offset end = 0;
};

struct PeerRelayHooks {
  std::function<void(const core::keyspace::LoadReport&)> on_load;
  // Peer address of the host that decides about the owners of a service; empty
  // if it is unknown.
  std::function<std::string(const std::string& service)> load_destination;
  // Whether this host decides about owners, so that the others take records
  // from it.
  std::function<bool()> is_source;
  // Whether the store has made this host the leader, even if it does not decide
  // about owners yet.
  std::function<bool()> is_leader;
  // Peer addresses of the other hosts that decide about owners.
  std::function<std::set<std::string>()> sources;
  // Whether this host's own calls to the store fail.
  std::function<bool()> store_lost;
  // Since when the store has answered this host; empty while it does not.
  std::function<std::optional<core::TimePoint>()> store_up_since;
  // Called when a source reports that the store has answered it without
  // interruption since the given time, and this host has read all records about
  // targets that the source has read.
  std::function<void(core::TimePoint since)> on_store_confirmed_by_peer;
  // Called when a source reports since when the store has responded to it,
  // before the records that it has read since then are fetched.
  std::function<void(core::TimePoint since)> on_store_up_reported;
  // Whether this host is a member of the group from which the store chooses the
  // leader.
  std::function<bool()> is_member;
  std::function<NewestTable()> newest_table;
  // Whether this host acts on the owners of keys, even if the store has chosen
  // another leader.
  std::function<bool()> is_active;
  // Called with what another member of the group says of itself.
  std::function<void(const core::keyspace::HostReport&)> on_host_report;
  // Called with the number of hosts that the leader reports, including itself.
  std::function<void(int hosts)> on_host_count;
  // Called when the leader, which answered this host before, no longer does.
  std::function<void()> on_leader_lost;
  // The reports of this host about requests that crash targets: a digest of
  // them, and the reports themselves as encoded messages.
  std::function<core::request::PoisonDigest()> poison_digest;
  std::function<std::vector<std::string>()> poison_messages;
  // Called with the message of another host about such requests, and with the
  // digest of the leader.
  std::function<void(const PoisonUpdate& update, const std::string& from)>
      on_poison_update;
  std::function<void(const core::request::PoisonDigest& digest)>
      on_leader_digest;
  // Called with a datagram about permits, undecoded, and the address
  // ("IP:PORT") of its sender.
  std::function<void(const std::string& text, const std::string& from)>
      on_permit_message;
  // Version of the list of admitted fractions that this host knows, the update
  // for a host that knows the given version, and what the leader or a relay
  // sent; `received_at` is the earliest possible time.
  std::function<std::uint32_t()> admitted_version;
  std::function<std::optional<core::keyspace::AdmittedUpdate>(
      std::uint32_t known_version)>
      admitted_update;
  std::function<void(const core::keyspace::AdmittedUpdate& update,
                     core::TimePoint received_at)>
      on_admitted;
};

// Lets one host read the store on behalf of all. Each host sends heartbeats to
// the leader. The leader's reply says how far it has read each stream, and the
// host fetches the records that it lacks from the leader. If the leader does
// not reply or is not up to date, a few substitutes read the store for the
// other hosts. If there are no substitutes either, each host reads the store
// itself.
//
// In a large fleet, the leader appoints relays. The other hosts exchange
// heartbeats, records and load reports with a relay instead of the leader, and
// speak to the leader only while no relay responds.
class PeerRelay {
 public:
  PeerRelay(boost::asio::io_context& io,
            std::string ip,
            std::uint16_t port,
            Followers& followers,
            const core::relay::SourceOptions& options,
            const core::relay::FreshnessOptions& freshness,
            RelayProfile profile,
            PeerRelayHooks hooks);

  absl::Status Start();
  // Address ("IP:PORT") of the peer port.
  std::string address() const;
  // Sends the load of this host's own requests to the host that decides about
  // the owners of the service, or to the relay.
  void SendLoad(const core::keyspace::LoadReport& report);
  // Sends a datagram to the peer port of one host.
  void SendTo(const std::string& address, const std::string& text);
  // Sends a message to all hosts that this one knows.
  void Broadcast(const std::string& text);
  // Takes records that this host has read from the store or from the source.
  void NoteRecords(Stream stream, const ReadResult& result, bool complete);
  // Asks the leader without delay, if this host has not heard from it. Must be
  // called when the address of the leader may have changed.
  void AskLeader();
  // Asks the leader to appoint another relay in place of this host, which is
  // about to stop. Until then it serves its hosts.
  void BeginLeaving() { profile_.capacity = 0; }
  // Must be called when a response of the store has shown that this host knows
  // all records which the stream held at `as_of`.
  void NoteComplete(Stream stream, core::TimePoint as_of);
  void NoteHistoryLost(Stream stream);
  // Where the records of the stream come from: the address of a host, or
  // "store".
  std::string SourceOf(Stream stream) const;
  // How long ago this host is known to have had all records of the stream;
  // nothing if it never had.
  std::optional<core::Duration> AgeOf(Stream stream) const;
  // Whether the leader replies to the heartbeats of this host.
  bool IsLeaderReachable() const;
  // Whether the writer of the newest table has recently responded to this host,
  // also if the store does not answer it.
  bool IsNewestWriterAlive() const;
  // Whether this host has to be a member of the group from which the store
  // chooses the leader. In a large fleet, the leader and the relays suffice, as
  // long as the other hosts hear from them.
  bool NeedsMembership() const;

 private:
  void NoteTable(const StoredRecord& record);
  void SendHeartbeats();
  void Receive();
  void OnDatagram(const std::string& text);
  void OnHeartbeat(const PeerHeartbeat& heartbeat);
  void OnAnswer(const PeerHeartbeat& answer);
  void NoteStates(const PeerHeartbeat& answer, core::TimePoint now);
  core::TimePoint EarliestReceipt(core::TimePoint now) const;
  void ReadOverdueStreams(core::TimePoint now);
  void UseSource(const PeerHeartbeat& answer);
  void SendHeartbeat(const std::string& address, int hosts);
  PeerHeartbeat MakeAnswer(core::TimePoint now) const;
  std::uint64_t MakeStamp(core::TimePoint now) const;
  std::optional<core::TimePoint> ReadStamp(std::uint64_t stamp,
                                           core::TimePoint now) const;
  void ReportHost(const PeerHeartbeat& heartbeat, core::TimePoint now);
  void ExpireSenders(core::TimePoint now);
  void AppointRelays();
  void SetRelays(std::vector<core::relay::Relay> relays);
  int CountHosts() const;
  void LeaveEarlierRelay(const std::optional<std::string>& relay);
  int FleetHosts() const;
  bool IsRelay() const;
  std::optional<std::string> OwnRelay(core::TimePoint now) const;
  bool ServesOthers() const;
  void OnSourceAnswer(const PeerHeartbeat& answer, core::TimePoint now);
  void SchedulePush();
  void FlushLoad();
  void CompareDigests(const PeerHeartbeat& heartbeat);
  std::vector<std::string> ChooseSubstitutes() const;
  void UpdateFollowers();
  absl::Status OpenPort();
  void Send(const boost::asio::ip::udp::endpoint& to, const std::string& text);
  StreamState StateOf(Stream stream) const;
  void Fetch(Stream stream);
  void FetchNewest(Stream stream);
  bool MayFetchNewest(const PeerHeartbeat& answer, Stream stream) const;
  void OnFetched(Stream stream, const net::CallAnswer& answer);
  bool DeliverUpdate(const std::string& text);
  net::HttpResponse Serve(const net::HttpRequest& request);
  net::HttpResponse ServeOwnership(core::Offset from) const;
  net::HttpResponse ServeNewest(Stream stream);

  boost::asio::io_context& io_;
  const std::string ip_;
  std::uint16_t port_;
  Followers& followers_;
  const PeerRelayHooks hooks_;
  boost::asio::ip::udp::socket socket_;
  boost::asio::ip::udp::endpoint sender_;
  std::array<char, 65'536> buffer_;
  boost::asio::steady_timer timer_;
  net::Responder responder_;
  std::map<Stream, RecordCache> caches_;
  // Newest record of each key, for peers that start.
  std::map<Stream, std::map<std::string, StoredRecord>> newest_;
  // The newest records as text, and the offset up to which it holds them. Many
  // peers that start ask for the same text.
  struct EncodedNewest {
    core::Offset next = 0;
    std::string text;
  };
  std::map<Stream, EncodedNewest> encoded_newest_;
  TableHistory tables_;
  std::map<Stream, core::relay::StreamFreshness> freshness_;
  // A host that sends heartbeats to this one.
  struct HeartbeatSender {
    core::TimePoint last_received{};
    bool store_lost = false;
    bool is_member = true;
    // The sender is one of the relays of this host, if this is the leader.
    bool is_relay = false;
    int hosts = 1;
    RelayProfile profile;
  };
  std::map<boost::asio::ip::udp::endpoint, HeartbeatSender> heartbeat_senders_;
  std::optional<boost::asio::ip::udp::endpoint> source_;
  std::unique_ptr<net::HttpClient> source_client_;
  std::map<Stream, bool> fetching_;
  // First of the records that the source has refused to return, since they are
  // too large.
  std::map<Stream, core::Offset> refused_from_;
  // The start of this process, by time and by a random number.
  const core::TimePoint started_;
  const std::uint64_t start_number_;
  // Last stamp of each host that has replied.
  std::map<boost::asio::ip::udp::endpoint, std::uint64_t> stamps_;
  core::relay::SourceTracker tracker_;
  bool leader_was_reachable_ = false;
  // Addresses of the hosts that read the store for the others when the leader
  // is lost.
  std::vector<std::string> substitutes_;
  RelayProfile profile_;
  // Set once the address of this host is known.
  std::optional<core::relay::RelayChoice> relay_choice_;
  std::uint32_t relays_version_ = 0;
  // The relay that counts this host; nothing if the leader does.
  std::optional<std::string> counted_by_relay_;
  core::relay::FleetSize fleet_size_;
  core::relay::RunningTime running_time_;
  // Since when this host has been the source of all others.
  std::optional<core::TimePoint> source_since_;
  // Last answer of the leader or relay, and the time of the last fresh one.
  PeerHeartbeat last_answer_;
  core::TimePoint fresh_answer_at_{};
  core::TimePoint newest_writer_answered_at_{};
  core::TimePoint heartbeat_at_{};
  // The last time in which this process did not run.
  core::TimePoint stalled_since_{};
  core::TimePoint stall_ended_at_{};
  // Load reports of this host and of those that use it as their relay.
  std::map<std::string, core::keyspace::LoadReport> summed_loads_;
  boost::asio::steady_timer load_timer_;
  boost::asio::steady_timer push_timer_;
  bool is_push_scheduled_ = false;
};

}  // namespace toucandock::entry

#endif  // TOUCANDOCK_ENTRY_PEER_RELAY_H_
