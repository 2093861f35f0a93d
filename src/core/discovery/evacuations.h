#ifndef TOUCANDOCK_CORE_DISCOVERY_EVACUATIONS_H_
#define TOUCANDOCK_CORE_DISCOVERY_EVACUATIONS_H_

#include <map>
#include <set>
#include <string>
#include <vector>

#include "core/time.h"

namespace toucandock::core::discovery {

// The failure domains that the operator has evacuated: nothing more may be sent
// to the targets in them until the operator revokes that. The operator's
// records decide alone, so an evacuation outlasts outages of the store and
// restarts of targets.
class Evacuations {
 public:
  // Returns whether the domain was not evacuated before.
  bool Begin(const std::string& failure_domain, TimePoint now);
  // Returns whether the domain was evacuated.
  bool End(const std::string& failure_domain);
  // Applies a complete listing of the evacuated domains. Returns those whose
  // evacuation has ended.
  std::vector<std::string> RetainOnly(
      const std::vector<std::string>& failure_domains,
      TimePoint now);
  // The store has come back from a copy, which may lack records that the
  // operator has yet to write again. For kRewriteTime, an evacuation ends only
  // if its record is removed.
  void OnStoreEra(TimePoint now) { held_until_ = now + kRewriteTime; }
  // Ends the evacuations whose records were not written again in time, and
  // returns their domains.
  std::vector<std::string> Tick(TimePoint now);

  // An operator's tool that notices the restore writes its records again within
  // seconds. A request to an evacuated domain does more harm than a domain that
  // is unused for half a minute.
  static constexpr Duration kRewriteTime = std::chrono::seconds(30);

  bool Contains(const std::string& failure_domain) const {
    return domains_.contains(failure_domain);
  }
  // Failure domains, and when this host learned of their evacuation.
  const std::map<std::string, TimePoint>& domains() const { return domains_; }

 private:
  std::vector<std::string> EndUnlisted();

  std::map<std::string, TimePoint> domains_;
  // Domains with a record in the store.
  std::set<std::string> listed_;
  TimePoint held_until_{};
};

// When a host has to stop sending requests to an evacuated failure domain.
struct EvacuationLimits {
  // Time after the operator's record at which nothing may reach the domain.
  Duration limit = std::chrono::seconds(5);
  // A host may learn of a record this late, and a request may arrive this long
  // after it was sent.
  Duration notice_delay = std::chrono::seconds(2);
  Duration transit_margin = std::chrono::milliseconds(500);
};

// Returns when a host that learned of an evacuation at `learned_at` stops
// sending requests. Keys of a keyed service have to be handed over first, so
// their owners may be used for as long as the limit allows; any other target
// can be replaced at once.
TimePoint ClosedFrom(TimePoint learned_at,
                     bool keyed,
                     const EvacuationLimits& limits);

}  // namespace toucandock::core::discovery

#endif  // TOUCANDOCK_CORE_DISCOVERY_EVACUATIONS_H_
