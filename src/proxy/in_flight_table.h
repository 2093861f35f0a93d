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

// Requests that traffic threads have in flight to targets. The control thread
// acknowledges a directive only when no request is still being sent under an
// earlier one.
class InFlightTable {
 public:
  // One request in flight; ends with its destruction.
  class Ticket {
   public:
    // Without a target the request is not counted by CountFor().
    Ticket(InFlightTable& table,
           std::uint64_t sequence,
           std::optional<core::TargetId> target,
           std::optional<core::Unit> unit);
    ~Ticket();

    Ticket(const Ticket&) = delete;
    Ticket& operator=(const Ticket&) = delete;

    // The whole request was written to the connection.
    void MarkSent();
    bool sent() const { return sent_; }

   private:
    InFlightTable& table_;
    const std::uint64_t sequence_;
    const std::optional<core::TargetId> target_;
    const std::optional<core::Unit> unit_;
    bool sent_ = false;
  };

  std::optional<std::uint64_t> OldestSending() const;
  std::vector<core::Unit> BusyUnits() const;
  std::uint32_t CountFor(const core::TargetId& target) const;

 private:
  mutable std::mutex mutex_;
  std::multiset<std::uint64_t> sending_;
  std::map<core::Unit, std::uint32_t> units_;
  std::map<core::TargetId, std::uint32_t> targets_;
};

}  // namespace toucandock::proxy

#endif  // TOUCANDOCK_PROXY_IN_FLIGHT_TABLE_H_
