#ifndef TOUCANDOCK_PROXY_QUEUE_HOST_HEALTH_H_
#define TOUCANDOCK_PROXY_QUEUE_HOST_HEALTH_H_

#include <map>
#include <mutex>
#include <set>
#include <vector>

#include "core/control/records.h"
#include "core/time.h"
#include "core/unit.h"

namespace toucandock::proxy {

// Tracks which of the hosts that requests are forwarded to do not respond. All
// methods may be called from any thread.
class QueueHostHealth {
 public:
  // One forwarded request in flight, from construction to destruction.
  class Ticket {
   public:
    Ticket(QueueHostHealth& health,
           const core::control::HostInfo& host,
           core::TimePoint now);
    ~Ticket();

    Ticket(const Ticket&) = delete;
    Ticket& operator=(const Ticket&) = delete;

    // Returns whether the host no longer responds, so that the request need not
    // wait for it any longer.
    bool IsLost() const;

   private:
    QueueHostHealth& health_;
    const core::HostId host_;
    const core::TimePoint started_;
  };

  void OnAnswer(const core::HostId& host, core::TimePoint now);
  // Called when the host refused a connection or reported that it accepts no
  // requests.
  void OnUnavailable(const core::HostId& host, core::TimePoint now);
  void OnProbe(const core::HostId& host, bool answered, core::TimePoint now);
  bool IsFailing(const core::HostId& host) const;
  // Returns the hosts that have not responded for a while or have failed, and
  // marks them as being probed. The caller must report the result of each probe
  // with OnProbe().
  std::vector<core::control::HostInfo> HostsToProbe(core::TimePoint now);

 private:
  struct State {
    core::control::HostInfo host;
    // Start times of the forwarded requests in flight.
    std::multiset<core::TimePoint> started;
    // Time of the last response to a forwarded request, or of the end of the
    // last probe.
    core::TimePoint last_contact;
    // Time of the first failure, or of the last report that the host is
    // unavailable.
    core::TimePoint failed_at;
    // Failures since the last response.
    int failures = 0;
    bool probing = false;
  };

  mutable std::mutex mutex_;
  std::map<core::HostId, State> hosts_;
};

}  // namespace toucandock::proxy

#endif  // TOUCANDOCK_PROXY_QUEUE_HOST_HEALTH_H_
