#ifndef TOUCANDOCK_CORE_KEYSPACE_OUTAGE_EVIDENCE_H_
#define TOUCANDOCK_CORE_KEYSPACE_OUTAGE_EVIDENCE_H_

#include <map>
#include <optional>
#include <string>
#include <vector>

#include "core/keyspace/ownership.h"
#include "core/time.h"
#include "core/unit.h"

namespace toucandock::core::keyspace {

// What another host says of itself in a heartbeat.
struct HostReport {
  // Peer address of the host.
  std::string host;
  bool store_lost = false;
  // For how long the store has answered the host without interruption; zero
  // while it does not.
  Duration store_up{};
  // The host has read the ownership records before this offset.
  Offset records_end = 0;
  // All ownership tables that the host knows were written at the address of the
  // receiver.
  bool follows_receiver = false;
  // The host sent this after a message that the receiver had sent at this time.
  // Empty if the host has had no message of the receiver yet.
  std::optional<TimePoint> sent_after;
};

struct OutageOptions {
  // At least this fraction of the hosts on a list must have lost the store for
  // the leader to go on without it.
  double min_fraction = 0.75;
  // A report is valid for this long. Hosts send one each 0.3 s, which is about
  // 0.3 s old by its proof, so three may be lost in a row.
  Duration report_lifetime = std::chrono::milliseconds(1'500);
  // A host that has sent nothing for this long is not put on a new list.
  Duration host_lifetime = std::chrono::milliseconds(2'000);
};

// Reports of other hosts from which a leader without the store concludes that
// no other host can become the leader, and from which a successor concludes
// that its predecessor cannot have concluded so. Both count over the hosts that
// the predecessor's record names. At least min_fraction of them must support
// the first conclusion, and more than the rest the second, so that at least one
// host would have to support both; no host does.
class OutageEvidence {
 public:
  explicit OutageEvidence(const OutageOptions& options) : options_(options) {}

  void OnReport(const HostReport& report, TimePoint now);
  // Forgets who follows this host, which takes over with the record at this
  // offset.
  void OnTakeover(Offset offset);

  // Returns the time until which the reports allow the leader to act without
  // the store. Each list must have enough hosts.
  TimePoint OutageEnd(const std::vector<HostList>& lists) const;
  // Returns the time since when no earlier leader that counts over one of the
  // lists can have received enough reports of an outage; empty if that is not
  // known. This host, which has had the store since `own_store_up_since`,
  // counts as well.
  std::optional<TimePoint> ExcludedSince(const std::vector<HostList>& lists,
                                         const std::string& own_address,
                                         TimePoint own_store_up_since) const;
  // Returns the hosts that have sent a report recently.
  HostList Hosts(TimePoint now) const;

  const OutageOptions& options() const { return options_; }

 private:
  struct HostState {
    TimePoint last_received{};
    // When the last report was sent, at the earliest, if it allows this host to
    // act without the store.
    std::optional<TimePoint> lost_after;
    // From this time on, no report of the host has allowed an earlier leader to
    // act without the store, and none will.
    std::optional<TimePoint> follows_since;
  };

  size_t RequiredReports(const HostList& list) const;

  const OutageOptions options_;
  Offset taken_over_at_ = 0;
  std::map<std::string, HostState> hosts_;
};

}  // namespace toucandock::core::keyspace

#endif  // TOUCANDOCK_CORE_KEYSPACE_OUTAGE_EVIDENCE_H_
