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
  // The process that answered, if it said so.
  std::string instance;
};

// Where behaviour of the poison service varies.
struct PoisonHooks {
  std::function<core::TimePoint()> now;
  std::function<std::vector<core::control::HostInfo>()> members;
  PeerCall call_peer;
  // Connects to a target and asks it for its health.
  std::function<ProbeResult(const std::string& address)> probe;
  // Runs blocking work on another thread.
  std::function<void(std::function<void()>)> run;
};

// Finds out whether a request crashed its target and shares what it finds with
// the other hosts. All methods may be called from any thread.
class PoisonService {
 public:
  PoisonService(core::HostId self,
                const core::request::PoisonOptions& options,
                PoisonHooks hooks);

  core::request::PoisonMatch FindMatch(const core::request::PoisonKey& key);
  // The connection to the target broke after the request was sent. Blocks for
  // a probe of the target.
  void OnBroken(const core::request::CrashReport& report,
                const std::string& address);
  void OnAnswer(const core::request::PoisonKey& key);
  // Remembers the process that answers for a target.
  void OnInstance(const core::TargetId& target, const std::string& instance);
  // Does not block.
  void OnMembersChanged();

  std::vector<peer::Method> PeerMethods();

 private:
  bool HasCrashed(const core::TargetId& target, const std::string& address);
  void SendToNewMembers();

  const core::HostId self_;
  const PoisonHooks hooks_;
  std::mutex mutex_;
  core::request::PoisonRegistry registry_;
  std::map<core::TargetId, std::string> instances_;
  std::mutex members_mutex_;
  std::vector<core::control::HostInfo> informed_members_;
};

}  // namespace toucandock::daemon

#endif  // TOUCANDOCK_DAEMON_POISON_SERVICE_H_
