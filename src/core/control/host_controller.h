#ifndef TOUCANDOCK_CORE_CONTROL_HOST_CONTROLLER_H_
#define TOUCANDOCK_CORE_CONTROL_HOST_CONTROLLER_H_

#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "core/control/leader.h"
#include "core/control/log_writer.h"
#include "core/control/member.h"
#include "core/control/messages.h"
#include "core/control/replica.h"
#include "core/lease/lease.h"

namespace toucandock::core::control {

struct ControllerOptions {
  HostInfo self;
  lease::LeaseOptions lease_options;
  // Peers to ask when the log cannot be read; only peer_address is needed.
  std::vector<HostInfo> seeds;
};

struct ControllerStatus {
  HostId host;
  HostId leader;
  bool is_leader = false;
  bool has_lease = false;
  bool log_available = false;
  // Zero until a first configuration has been accepted.
  std::uint64_t config_version = 0;
  std::uint64_t config_accepted = 0;
  std::uint64_t sequence = 0;
  Offset log_next = 0;
  size_t members = 0;
  size_t voters = 0;
  size_t moves_under_way = 0;
  std::vector<TargetId> lost_targets;
  std::vector<TargetId> draining_targets;
};

// Control state and decisions of one entry host. Takes events with their time
// and returns the actions to perform; it has no I/O, clock or thread of its
// own.
class HostController {
 public:
  HostController(ControllerOptions options, ControlHooks hooks);

  HostController(const HostController&) = delete;
  HostController& operator=(const HostController&) = delete;

  Actions Handle(const Event& event, TimePoint now);

  const Replica& replica() const { return replica_; }
  TimePoint lease_until() const { return member_.lease_until(); }
  ControllerStatus Status(TimePoint now) const;

 private:
  void On(const TickEvent& event);
  void On(const LogReadEvent& event);
  void On(const LogFailedEvent& event);
  void On(const AppendResultEvent& event);
  void On(const RenewRequestEvent& event);
  void On(const RenewReplyEvent& event);
  void On(const VoteRequestEvent& event);
  void On(const VoteReplyEvent& event);
  void On(const StateRequestEvent& event);
  void On(const StateReplyEvent& event);
  void On(const NotifyEvent& event);
  void On(const GrantAnswerEvent& event);
  void On(const ProbeAnswerEvent& event);
  void On(const TrafficObservationEvent& event);
  void On(const HostListEvent& event);
  void On(const StopEvent& event);

  void Step();
  void StepLeader();
  void BecomeLeader(const LeaderState& inherited);
  void Resign(const std::string& cause);
  bool MayBecomeLeader() const;
  void WriteOwnRecord();
  bool MayJoin() const;
  bool IsLogReadable() const;
  std::optional<NewMembershipRecord> NewMembership() const;
  bool IsPermanentlyLost(const HostInfo& host) const;
  void FillProbeAddresses();
  void ReportConfig(std::uint64_t version_before);

  const ControllerOptions options_;
  const ControlHooks hooks_;
  Replica replica_;
  Member member_;
  std::optional<Leader> leader_;
  LogWriter writer_;
  bool stopping_ = false;

  TimePoint now_;
  Actions out_;
  std::optional<TimePoint> log_read_at_;
  // Time at which the latest successful read was sent.
  TimePoint log_read_sent_at_;
  bool log_truncated_ = false;
  std::optional<TimePoint> stopped_leading_at_;
  std::optional<TimePoint> leader_lost_since_;
  // Hosts that were replaced: another process replied at their address.
  std::set<HostId> replaced_hosts_;
  std::map<HostId, TimePoint> unreachable_since_;
  std::vector<ListedHost> listed_;
  std::optional<TimePoint> listed_at_;
};

}  // namespace toucandock::core::control

#endif  // TOUCANDOCK_CORE_CONTROL_HOST_CONTROLLER_H_
