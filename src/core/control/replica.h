#ifndef TOUCANDOCK_CORE_CONTROL_REPLICA_H_
#define TOUCANDOCK_CORE_CONTROL_REPLICA_H_

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "absl/status/statusor.h"
#include "core/config/config.h"
#include "core/control/control_state.h"
#include "core/control/messages.h"

namespace toucandock::core::control {

// Functions that the user of the controller provides.
struct ControlHooks {
  // Parses and validates a configuration text. The error message is meant for
  // the author of the text.
  std::function<absl::StatusOr<config::Config>(const std::string&)>
      parse_config;
  // Returns a unique record id.
  std::function<std::string()> new_record_id;
};

// This host's copy of the control state: the log applied up to the commit
// offset of the leader, the entries beyond it, and the latest leader state.
class Replica {
 public:
  explicit Replica(const ControlHooks& hooks) : hooks_(hooks) {}

  const ControlState& state() const { return state_; }
  const LeaderState& leader_state() const { return leader_state_; }
  const std::shared_ptr<const config::Config>& config() const {
    return config_;
  }
  // Version of config(). It is lower than the accepted version if this binary
  // cannot read the accepted text.
  std::uint64_t config_version() const { return config_version_; }
  // First offset that has not been read yet.
  Offset log_end() const;

  bool AddEntries(const LogReadEvent& read);
  void ApplyUpTo(Offset end);
  void ApplyAll();
  bool Apply(const LeaderState& leader_state);
  void InstallState(const StateReply& reply);

  Assignment AssignmentOf(const Unit& unit) const;
  const UnitMove* MoveOf(const Unit& unit) const;
  // Describes an assignment that was recorded in the log beyond the commit
  // offset of the leader state, and the assignment before it.
  struct EarlyAssignment {
    Offset offset = 0;
    Assignment before;
  };
  const std::map<Unit, EarlyAssignment>& early_assignments() const {
    return early_assignments_;
  }

  void set_leader_state(LeaderState leader_state);

 private:
  bool InitializeFrom(const LogReadEvent& read);
  void ReadConfig();
  void NoteEarlyAssignments(const LogEntry& entry);

  const ControlHooks& hooks_;
  ControlState state_;
  std::deque<LogEntry> unapplied_;
  Offset read_end_ = 0;
  bool started_ = false;
  LeaderState leader_state_;
  std::map<Unit, size_t> move_index_;
  std::map<Unit, EarlyAssignment> early_assignments_;
  std::shared_ptr<const config::Config> config_;
  std::uint64_t config_version_ = 0;
  std::uint64_t last_parsed_version_ = 0;
};

}  // namespace toucandock::core::control

#endif  // TOUCANDOCK_CORE_CONTROL_REPLICA_H_
