#ifndef TOUCANDOCK_PROXY_IN_FLIGHT_TABLE_H_
#define TOUCANDOCK_PROXY_IN_FLIGHT_TABLE_H_

#include <cstdint>
#include <map>
#include <mutex>
#include <optional>
#include <set>
#include <vector>

#include "core/unit.h"

namespace toucandock::proxy {

// The requests that traffic threads have in flight to targets. The control
// thread acknowledges a published leader state only when no request is still
// being sent under an earlier one.
class InFlightTable {
 public:
  // One request in flight, from construction to destruction.
  class Ticket {
   public:
    // `sequence` is that of the leader state under which the request is sent.
    // Without a target, CountFor() does not count the request; without a unit,
    // BusyUnits() does not contain it.
    Ticket(InFlightTable& table,
           std::uint64_t sequence,
           std::optional<core::TargetId> target,
           std::optional<core::Unit> unit);
    ~Ticket();

    Ticket(const Ticket&) = delete;
    Ticket& operator=(const Ticket&) = delete;

    // Marks the whole request as written to the connection.
    void MarkSent();
    bool sent() const { return sent_; }

   private:
    InFlightTable& table_;
    const std::uint64_t sequence_;
    const std::optional<core::TargetId> target_;
    const std::optional<core::Unit> unit_;
    bool sent_ = false;
  };

  // Returns the lowest leader state sequence under which a request is still
  // being sent.
  std::optional<std::uint64_t> OldestSending() const;
  // Returns the units with at least one request in flight.
  std::vector<core::Unit> BusyUnits() const;
  // Returns the number of requests in flight to the target.
  std::uint32_t CountFor(const core::TargetId& target) const;

 private:
  mutable std::mutex mutex_;
  // Sequences of the requests that are not completely written yet.
  std::multiset<std::uint64_t> sending_;
  // Requests in flight by unit and by target.
  std::map<core::Unit, std::uint32_t> units_;
  std::map<core::TargetId, std::uint32_t> targets_;
};

}  // namespace toucandock::proxy

#endif  // TOUCANDOCK_PROXY_IN_FLIGHT_TABLE_H_
