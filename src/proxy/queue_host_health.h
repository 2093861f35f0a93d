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

// Which of the hosts that requests are forwarded to do not answer. Safe for use
// by any thread.
class QueueHostHealth {
 public:
  // One forward under way; ends with its destruction.
  class Ticket {
   public:
    Ticket(QueueHostHealth& health,
           const core::control::HostInfo& host,
           core::TimePoint now);
    ~Ticket();

    Ticket(const Ticket&) = delete;
    Ticket& operator=(const Ticket&) = delete;

    bool IsLost() const;

   private:
    QueueHostHealth& health_;
    const core::HostId host_;
    const core::TimePoint started_;
  };

  void OnAnswer(const core::HostId& host, core::TimePoint now);
  void OnUnavailable(const core::HostId& host, core::TimePoint now);
  void OnProbe(const core::HostId& host, bool answered, core::TimePoint now);
  bool IsFailing(const core::HostId& host) const;
  std::vector<core::control::HostInfo> HostsToProbe(core::TimePoint now);

 private:
  struct State {
    core::control::HostInfo host;
    std::multiset<core::TimePoint> started;
    // Last answer to a forward or a probe, or end of the last probe.
    core::TimePoint last_contact;
    core::TimePoint failed_at;
    int failures = 0;
    bool probing = false;
  };

  mutable std::mutex mutex_;
  std::map<core::HostId, State> hosts_;
};

}  // namespace toucandock::proxy

#endif  // TOUCANDOCK_PROXY_QUEUE_HOST_HEALTH_H_
