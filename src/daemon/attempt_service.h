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

// Calls a method of the peer at an address; empty when there is no result.
using PeerCall = std::function<std::string(const std::string& address,
                                           const std::string& method,
                                           const std::string& params)>;

// Where behaviour of the attempt service varies.
struct AttemptHooks {
  std::function<core::TimePoint()> now;
  // Whether this host's serving lease is valid.
  std::function<bool()> has_lease;
  std::function<std::vector<core::control::HostInfo>()> members;
  PeerCall call_peer;
  // Runs blocking work on another thread.
  std::function<void(std::function<void()>)> run;
};

// Registers attempts of non-idempotent requests on their registry hosts, and
// is itself the registry of those that are placed on this host. All methods may
// be called from any thread; they block while they call peers.
class AttemptService {
 public:
  AttemptService(core::HostId self,
                 const core::request::RegistryLimits& limits,
                 AttemptHooks hooks);

  core::request::RecordResult Begin(const core::request::AttemptKey& key);
  void Finish(const core::request::AttemptKey& key,
              core::request::FinishResult result);
  // Does not block: hands records over on another thread.
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
  // From when on this host confirms attempts.
  core::TimePoint confirms_from_ = core::TimePoint::max();
  std::atomic<int> pending_ = 0;
};

}  // namespace toucandock::daemon

#endif  // TOUCANDOCK_DAEMON_ATTEMPT_SERVICE_H_
