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
#include "core/relay/source_tracker.h"
#include "core/time.h"
#include "entry/peer_json.h"
#include "entry/poison_json.h"
#include "entry/record_cache.h"
#include "entry/stream_follower.h"
#include "entry/table_history.h"

namespace toucandock::entry {

using Followers = std::map<Stream, std::shared_ptr<StreamFollower>>;

struct PeerRelayHooks {
  std::function<void(const core::keyspace::LoadReport&)> on_load;
  // This host decides about owners, so that others take records from it.
  std::function<bool()> is_source;
  // The store has given this host the duty, though it may not decide yet.
  std::function<bool()> is_leader;
  // Addresses of the other hosts that decide about owners.
  std::function<std::set<std::string>()> sources;
  // This host's own calls to the store fail.
  std::function<bool()> store_lost;
  // Since when the store answers this host; nothing while it does not.
  std::function<std::optional<core::TimePoint>()> store_up_since;
  // The store has answered the source without a break since then, and this host
  // has read all that the source has read of the targets.
  std::function<void(core::TimePoint since)> on_store_confirmed_by_peer;
  // Most hosts that greet this one say that theirs fail, too.
  std::function<void()> on_outage_reported;
  // What the source says of the fleet.
  std::function<void(int hosts)> on_host_count;
  // The host that has the duty was heard and is no longer.
  std::function<void()> on_leader_lost;
  // What this host knows of requests that crash targets: a digest, and all of
  // it as messages.
  std::function<std::uint32_t()> poison_digest;
  std::function<std::vector<std::string>()> poison_messages;
  // A message of another host about such requests, and the digest of the host
  // that has the duty.
  std::function<void(const PoisonUpdate& update, const std::string& from)>
      on_poison_update;
  std::function<void(std::uint32_t digest)> on_leader_digest;
};

// Lets one host read the store for all. Each host greets the one that has the
// duty; the answer says how far that has read, and records are fetched from it.
// When it is silent or not up to date, a few substitutes read the store for the
// others, and without them each host does.
class PeerRelay {
 public:
  PeerRelay(boost::asio::io_context& io,
            std::string ip,
            std::uint16_t port,
            Followers& followers,
            const core::relay::SourceOptions& options,
            PeerRelayHooks hooks);

  absl::Status Start();
  // "IP:PORT" of the peer port.
  std::string address() const;
  void SendLoad(const std::string& address,
                const core::keyspace::LoadReport& report);
  // Sends a message to all hosts that this one knows.
  void Broadcast(const std::string& text);
  // This host has read records itself or from the source.
  void NoteRecords(Stream stream, const ReadResult& result, bool complete);
  // The store has answered a read of this host.
  void NoteAnswer(Stream stream);
  // The host that has the duty answers this one.
  bool IsLeaderReachable() const;

 private:
  void NoteTable(const StoredRecord& record);
  void SendHeartbeats();
  void Receive();
  void OnDatagram(const std::string& text);
  void OnHeartbeat(const PeerHeartbeat& heartbeat);
  void OnAnswer(const PeerHeartbeat& answer);
  void UseSource(const PeerHeartbeat& answer);
  void SendHeartbeat(const std::string& address);
  void CompareDigests(const PeerHeartbeat& heartbeat);
  std::vector<std::string> ChooseSubstitutes() const;
  void UpdateFollowers();
  absl::Status OpenPort();
  void Send(const boost::asio::ip::udp::endpoint& to, const std::string& text);
  StreamState StateOf(Stream stream) const;
  void Fetch(Stream stream);
  void OnFetched(Stream stream, const net::CallAnswer& answer);
  bool DeliverUpdate(const std::string& text);
  net::HttpResponse Serve(const net::HttpRequest& request) const;
  net::HttpResponse ServeOwnership(core::Offset from) const;

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
  TableHistory tables_;
  std::map<Stream, core::TimePoint> answered_at_;
  // Hosts that greet this one, and when they last did.
  struct HeartbeatSender {
    core::TimePoint last_received{};
    bool store_lost = false;
  };
  std::map<boost::asio::ip::udp::endpoint, HeartbeatSender> heartbeat_senders_;
  std::optional<boost::asio::ip::udp::endpoint> source_;
  std::unique_ptr<net::HttpClient> source_client_;
  std::map<Stream, bool> fetching_;
  core::relay::SourceTracker tracker_;
  bool leader_was_reachable_ = false;
  // Hosts that read the store when the one that has the duty is lost.
  std::vector<std::string> substitutes_;
};

}  // namespace toucandock::entry

#endif  // TOUCANDOCK_ENTRY_PEER_RELAY_H_
