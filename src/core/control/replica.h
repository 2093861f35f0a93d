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
  const Directive& directive() const { return directive_; }
  const std::shared_ptr<const config::Config>& config() const {
    return config_;
  }
  // Version of config(); lower than the accepted one if that is unreadable.
  std::uint64_t config_version() const { return config_version_; }
  // First offset that was not read yet.
  Offset log_end() const;

  bool AddEntries(const LogReadEvent& read);
  void FoldUpTo(Offset end);
  void FoldAll();
  bool Apply(const Directive& directive);
  void Install(const StateReply& reply);

  Assignment AssignmentOf(const Unit& unit) const;
  const UnitMove* MoveOf(const Unit& unit) const;
  // A settled assignment that the directive does not cover yet.
  struct EarlySettle {
    Offset offset = 0;
    Assignment before;
  };
  const std::map<Unit, EarlySettle>& early_settles() const {
    return early_settles_;
  }

  void set_directive(Directive directive);

 private:
  bool StartFrom(const LogReadEvent& read);
  void ReadConfig();
  void NoteEarlySettles(const LogEntry& entry);

  const ControlHooks& hooks_;
  ControlState state_;
  std::deque<LogEntry> unfolded_;
  Offset read_end_ = 0;
  bool started_ = false;
  Directive directive_;
  std::map<Unit, size_t> move_index_;
  std::map<Unit, EarlySettle> early_settles_;
  std::shared_ptr<const config::Config> config_;
  std::uint64_t config_version_ = 0;
  std::uint64_t config_read_ = 0;
};

}  // namespace toucandock::core::control

#endif  // TOUCANDOCK_CORE_CONTROL_REPLICA_H_
