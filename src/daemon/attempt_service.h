#ifndef TOUCANDOCK_DAEMON_ATTEMPT_SERVICE_H_
#define TOUCANDOCK_DAEMON_ATTEMPT_SERVICE_H_

#include <atomic>
#include <functional>
#include <mutex>
#include <string>
#include <vector>

#include "core/control/records.h"
#include "core/request/attempt_registry.h"
#include "core/request/request_lifecycle.h"
#include "peer/json_rpc.h"

namespace toucandock::daemon {

// Calls a method of the peer at an address. Returns an empty text when there is
// no result.
using PeerCall = std::function<std::string(const std::string& address,
                                           const std::string& method,
                                           const std::string& params)>;

// The parts of the attempt service that the daemon and the tests supply.
struct AttemptHooks {
  std::function<core::TimePoint()> now;
  // Returns whether this host's serving lease is valid.
  std::function<bool()> has_lease;
  std::function<std::vector<core::control::HostInfo>()> members;
  PeerCall call_peer;
  // Runs blocking work on another thread.
  std::function<void(std::function<void()>)> run;
};

// Records attempts of non-idempotent requests on their registry hosts, and
// stores the records of the attempts for which this host is a registry host.
// All methods may be called from any thread; they block while they call peers.
class AttemptService {
 public:
  AttemptService(core::HostId self,
                 const core::request::RegistryLimits& limits,
                 AttemptHooks hooks);

  core::request::RecordResult Begin(const core::request::AttemptKey& key);
  void Finish(const core::request::AttemptKey& key,
              core::request::FinishResult result);
  // Does not block; the records are handed over on another thread.
  void OnMembersChanged();

  std::vector<peer::Method> PeerMethods();

 private:
  using Hosts = std::vector<core::control::HostInfo>;

  core::request::BeginResult BeginAt(const core::control::HostInfo& host,
                                     const core::request::AttemptKey& key);
  core::request::BeginResult BeginHere(const core::request::AttemptKey& key);
  void FinishEverywhere(const core::request::AttemptKey& key,
                        core::request::FinishResult result);
  void FinishHere(const core::request::AttemptKey& key,
                  core::request::FinishResult result);
  void HandOver();
  Hosts HostsOf(const core::request::AttemptKey& key) const;

  const core::HostId self_;
  const AttemptHooks hooks_;

  std::mutex handover_mutex_;
  mutable std::mutex mutex_;
  core::request::AttemptRegistry registry_;
  Hosts members_;
  // Time from which this host confirms attempts.
  core::TimePoint confirms_from_ = core::TimePoint::max();
  // Outcomes that are waiting to be written.
  std::atomic<int> pending_ = 0;
};

}  // namespace toucandock::daemon

#endif  // TOUCANDOCK_DAEMON_ATTEMPT_SERVICE_H_
