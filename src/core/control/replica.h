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

// Where behaviour of the controller varies.
struct ControlHooks {
  // Reads and validates a configuration text; the error is for its author.
  std::function<absl::StatusOr<config::Config>(const std::string&)>
      parse_config;
  // Returns a text that no other record has as its id.
  std::function<std::string()> new_record_id;
};

// This host's copy of the control state: the folded log up to the offset that
// the leader put in force, entries beyond it, and the leader's directive.
class Replica {
 public:
  explicit Replica(const ControlHooks& hooks) : hooks_(hooks) {}

  const ControlState& state() const { return state_; }
  const LeaderState& leader_state() const { return leader_state_; }
  const std::shared_ptr<const config::Config>& config() const {
    return config_;
  }
  // Version of config(); lower than the accepted one if that is unreadable.
  std::uint64_t config_version() const { return config_version_; }
  // First offset that was not read yet.
  Offset log_end() const;

  bool AddEntries(const LogReadEvent& read);
  void ApplyUpTo(Offset end);
  void ApplyAll();
  bool Apply(const LeaderState& leader_state);
  void InstallState(const StateReply& reply);

  Assignment AssignmentOf(const Unit& unit) const;
  const UnitMove* MoveOf(const Unit& unit) const;
  // A settled assignment that the directive does not cover yet.
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
