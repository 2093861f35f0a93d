#ifndef TOUCANDOCK_CORE_RELAY_RELAY_TREE_H_
#define TOUCANDOCK_CORE_RELAY_RELAY_TREE_H_

#include <deque>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "core/time.h"

namespace toucandock::core::relay {

// In a large fleet, hosts exchange control messages with a relay instead of the
// leader, so that neither the leader nor a relay serves more than about the
// square root of the number of hosts.
struct TreeOptions {
  // Up to this number of hosts, all of them exchange messages with the leader.
  int max_direct_hosts = 24;
  // The relays are dismissed when the fleet has shrunk below this fraction of
  // max_direct_hosts, so that a fleet of about that size does not alternate.
  double dismissal_fraction = 0.75;
  size_t max_relays = 128;
  // A relay that has not answered for this long, or whose own source has not,
  // is not asked again for relay_backoff.
  Duration relay_timeout = std::chrono::milliseconds(750);
  Duration relay_backoff = std::chrono::seconds(5);
};

// The number of hosts of a fleet. Hosts that change from the leader to a relay
// are counted twice for a while, so the smallest of the recent counts applies.
class FleetSize {
 public:
  // Returns the size with the new count.
  int Add(int count, TimePoint now);
  // The largest size of the last 10 s.
  int largest() const;
  // Whether the fleet has just shrunk to less than half. A leader that is too
  // busy to hear its hosts counts as few as one that has lost them, so it keeps
  // its relays at first: without them, it would have more to do.
  bool HasDropped() const;
  // Whether hosts have been counted long enough to say that they are few. A new
  // leader hears them one by one, and at first the relays of its predecessor.
  bool HasSettled() const;

 private:
  using Counts = std::deque<std::pair<TimePoint, int>>;

  // Since when counts have been added without a gap.
  TimePoint counted_since_{};

  Counts counts_;
  Counts sizes_;
};

struct Relay {
  std::string address;
  std::string failure_domain;

  bool operator==(const Relay&) const = default;
};

// A host that the leader may appoint as a relay.
struct RelayCandidate {
  Relay relay;
  // Larger for hosts with a faster processor and link; 0 if the host must not
  // be a relay.
  double capacity = 0;
};

// Returns the relays, ordered by address. Present relays remain as long as they
// are among the candidates, unless there are far too many. Of the others, those
// with the largest capacity in the failure domain with the fewest relays come
// first.
std::vector<Relay> AppointRelays(const std::vector<Relay>& present,
                                 const std::vector<RelayCandidate>& candidates,
                                 int hosts,
                                 const TreeOptions& options);

// Chooses the relay of one host. Relays in the same failure domain come first,
// because traffic between failure domains is charged. Hosts spread evenly over
// the relays of a domain, and if a relay is lost, only its own hosts change to
// another one.
class RelayChoice {
 public:
  RelayChoice(Relay self, const TreeOptions& options)
      : self_(std::move(self)), options_(options) {}

  void SetRelays(std::vector<Relay> relays);
  void OnAsked(TimePoint now);
  // `fresh`: the source of the relay has answered it until recently.
  void OnAnswer(const std::string& relay, bool fresh, TimePoint now);

  // The relay to ask, or nothing if this host has to ask the leader.
  std::optional<std::string> Current(TimePoint now) const;
  bool IsRelay() const { return IsAmongRelays(self_.address); }
  bool IsAmongRelays(const std::string& address) const;
  const std::vector<Relay>& relays() const { return relays_; }

 private:
  bool IsAvoided(const std::string& relay, TimePoint now) const;

  const Relay self_;
  const TreeOptions options_;
  std::vector<Relay> relays_;
  // Since when the current relay has been asked without a fresh answer.
  std::optional<TimePoint> unanswered_since_;
  std::map<std::string, TimePoint> avoided_until_;
};

}  // namespace toucandock::core::relay

#endif  // TOUCANDOCK_CORE_RELAY_RELAY_TREE_H_
