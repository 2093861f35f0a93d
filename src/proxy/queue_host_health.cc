#include "proxy/queue_host_health.h"

#include <algorithm>

namespace toucandock::proxy {
namespace {

// A host that has sent nothing for this long is probed. Requests may wait
// longer than this in its queue, so a missing response alone does not mean that
// the host is lost.
constexpr core::Duration kProbeAfter = std::chrono::milliseconds(100);
// New requests avoid a host after its first failure. Requests in flight to it
// are abandoned only after this many failures, because a short pause of the
// host ends by itself.
constexpr int kFailuresUntilLost = 2;
// A lost host has left the fleet by this time, so its entry is removed.
constexpr core::Duration kRetention = std::chrono::minutes(1);

}  // namespace

QueueHostHealth::Ticket::Ticket(QueueHostHealth& health,
                                const core::control::HostInfo& host,
                                core::TimePoint now)
    : health_(health), host_(host.id), started_(now) {
  const std::lock_guard<std::mutex> lock(health_.mutex_);
  State& state = health_.hosts_[host_];
  state.host = host;
  state.started.insert(now);
}

QueueHostHealth::Ticket::~Ticket() {
  const std::lock_guard<std::mutex> lock(health_.mutex_);
  std::multiset<core::TimePoint>& started = health_.hosts_.at(host_).started;
  started.erase(started.find(started_));
}

bool QueueHostHealth::Ticket::IsLost() const {
  const std::lock_guard<std::mutex> lock(health_.mutex_);
  return health_.hosts_.at(host_).failures >= kFailuresUntilLost;
}

void QueueHostHealth::OnAnswer(const core::HostId& host, core::TimePoint now) {
  const std::lock_guard<std::mutex> lock(mutex_);
  State& state = hosts_[host];
  state.last_contact = now;
  state.failures = 0;
}

void QueueHostHealth::OnUnavailable(const core::HostId& host,
                                    core::TimePoint now) {
  const std::lock_guard<std::mutex> lock(mutex_);
  State& state = hosts_[host];
  state.last_contact = now;
  state.failed_at = now;
  state.failures = std::max(state.failures, 1);
}

void QueueHostHealth::OnProbe(const core::HostId& host,
                              bool answered,
                              core::TimePoint now) {
  const std::lock_guard<std::mutex> lock(mutex_);
  State& state = hosts_[host];
  state.probing = false;
  state.last_contact = now;
  if (answered) {
    state.failures = 0;
  } else {
    if (state.failures == 0) {
      state.failed_at = now;
    }
    ++state.failures;
  }
}

bool QueueHostHealth::IsFailing(const core::HostId& host) const {
  const std::lock_guard<std::mutex> lock(mutex_);
  const auto it = hosts_.find(host);
  return it != hosts_.end() && it->second.failures > 0;
}

std::vector<core::control::HostInfo> QueueHostHealth::HostsToProbe(
    core::TimePoint now) {
  const std::lock_guard<std::mutex> lock(mutex_);
  std::erase_if(hosts_, [&](const auto& it) {
    const State& state = it.second;
    return state.started.empty() && !state.probing &&
           now - (state.failures > 0 ? state.failed_at : state.last_contact) >
               kRetention;
  });
  std::vector<core::control::HostInfo> hosts;
  for (auto& [id, state] : hosts_) {
    const bool has_waiting_requests =
        !state.started.empty() && now - *state.started.begin() >= kProbeAfter;
    if (!state.probing && (has_waiting_requests || state.failures > 0) &&
        now - state.last_contact >= kProbeAfter) {
      state.probing = true;
      hosts.push_back(state.host);
    }
  }
  return hosts;
}

}  // namespace toucandock::proxy
