#ifndef TOUCANDOCK_DAEMON_POISON_SERVICE_H_
#define TOUCANDOCK_DAEMON_POISON_SERVICE_H_

#include <functional>
#include <map>
#include <mutex>
#include <string>
#include <vector>

#include "core/control/records.h"
#include "core/request/poison_registry.h"
#include "daemon/attempt_service.h"
#include "peer/json_rpc.h"

namespace toucandock::daemon {

struct ProbeResult {
  bool refused = false;
  // The process that responded, if the response names it.
  std::string instance;
};

// The parts of the poison service that the daemon and the tests supply.
struct PoisonHooks {
  std::function<core::TimePoint()> now;
  std::function<std::vector<core::control::HostInfo>()> members;
  PeerCall call_peer;
  // Requests the health of a target on a new connection.
  std::function<ProbeResult(const std::string& address)> probe;
  // Runs blocking work on another thread.
  std::function<void(std::function<void()>)> run;
};

// Determines whether a request crashed its target and shares the crash reports
// with the other hosts. All methods may be called from any thread.
class PoisonService {
 public:
  PoisonService(core::HostId self,
                const core::request::PoisonOptions& options,
                PoisonHooks hooks);

  core::request::PoisonMatch FindMatch(const core::request::PoisonKey& key);
  // Called when the connection to the target broke after the request was sent.
  // Blocks while the target is probed.
  void OnBroken(const core::request::CrashReport& report,
                const std::string& address);
  // Called when the request got a complete response, so that it counts as safe.
  void OnAnswer(const core::request::PoisonKey& key);
  // Stores which process responds for a target.
  void OnInstance(const core::TargetId& target, const std::string& instance);
  // Does not block; the crash reports are sent to new members on another
  // thread.
  void OnMembersChanged();

  std::vector<peer::Method> PeerMethods();

 private:
  bool HasCrashed(const core::TargetId& target, const std::string& address);
  void SendToNewMembers();

  const core::HostId self_;
  const PoisonHooks hooks_;
  std::mutex mutex_;
  core::request::PoisonRegistry registry_;
  // Process that last responded, by target.
  std::map<core::TargetId, std::string> instances_;
  std::mutex members_mutex_;
  // Members that already have the crash reports.
  std::vector<core::control::HostInfo> informed_members_;
};

}  // namespace toucandock::daemon

#endif  // TOUCANDOCK_DAEMON_POISON_SERVICE_H_
