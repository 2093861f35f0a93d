#ifndef TOUCANDOCK_TESTS_CORE_KEYSPACE_COORDINATOR_FIXTURE_H_
#define TOUCANDOCK_TESTS_CORE_KEYSPACE_COORDINATOR_FIXTURE_H_

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <vector>

#include "core/keyspace/grant_coordinator.h"

namespace toucandock::core::keyspace {

struct SimulationOptions {
  int hosts = 3;
  int targets = 4;
  // Parts of the orders and appends that stay without an answer, half of them
  // carried out all the same.
  double lost_answers = 0;
  // Part of the orders without an answer that are carried out 2 to 12 s later.
  // The lease of a grant counts from its arrival all the same.
  double late_commands = 0;
  Duration max_delay = std::chrono::milliseconds(20);
  std::uint64_t seed = 1;
};

// Several coordinators, a store with conditional appends and targets that take
// grants, in virtual time. Checks from the targets' side that no key has two
// holders and that fences only rise from holder to holder.
class CoordinatorSimulation {
 public:
  explicit CoordinatorSimulation(const SimulationOptions& options);

  void Run(Duration time);
  void StopLosingAnswers() { options_.lost_answers = 0; }
  // The duty goes to this host at its next confirmation.
  void SetLeader(int host) { leader_ = host; }
  int leader() const { return leader_; }
  void CutFromStore(int host, bool cut) { hosts_[host].cut = cut; }
  // A paused host neither acts nor takes in what arrives.
  void Pause(int host, bool paused);
  void RestartHost(int host);
  void CutTarget(int target, bool cut) { targets_[target].cut = cut; }
  void CrashTarget(int target);
  // Comes back under its id, holding nothing.
  void RestartTarget(int target);
  void SetDraining(int target, bool draining);
  void SetListed(int target, bool listed);
  void Load(std::uint32_t key, int requests);

  // Target that holds the key now; negative: none.
  int HolderOf(std::uint32_t key) const;
  // Parts of the sampled keys that the newest record says are served, and that
  // their owner holds.
  double ServedFraction() const;
  const std::optional<OwnershipTable>& Newest() const { return newest_; }
  // Empty: none so far.
  const std::string& FirstViolation() const { return first_violation_; }
  TimePoint now() const { return now_; }
  std::mt19937_64& random() { return random_; }

 private:
  struct HeldGrant {
    TimePoint until{};
    Fence fence = 0;
  };
  struct Target {
    TargetInstance instance;
    bool alive = true;
    bool listed = true;
    bool draining = false;
    bool cut = false;
    // By sampled key.
    std::vector<HeldGrant> held_grants;
    std::vector<Fence> seen_fences;
  };
  struct Host {
    std::unique_ptr<GrantCoordinator> coordinator;
    int starts = 0;
    bool cut = false;
    bool paused = false;
    bool active = false;
    std::vector<std::function<void()>> held_back;
    Offset read = 0;
    // Life of each target that the host has a connection for grants to.
    std::map<std::string, std::int64_t> connected;
  };

  void At(Duration after, std::function<void()> event);
  // Runs when the host is not paused, unless it was restarted meanwhile.
  void ToHost(int host, Duration after, std::function<void()> event);
  Duration Delay();
  Duration LateDelay();
  bool Chance(double part);
  void Step(int host);
  void Confirm(int host);
  void AskForLeadership(int host);
  void ReadStore(int host);
  void Store(const AppendCommand& command);
  void Execute(int host, const Action& action);
  CommandResult Apply(const GrantCommand& command, TimePoint arrived);
  CommandResult Apply(const ReleaseCommand& command, TimePoint arrived);
  Target* Find(const TargetInstance& instance);
  void ListTargets(int host);
  void AppendToHistory(size_t key, const std::string& what);
  void Report(size_t key, const std::string& fault);
  void CheckGrant(const Target& target, size_t key, Fence fence);

  SimulationOptions options_;
  std::mt19937_64 random_;
  TimePoint now_{std::chrono::seconds(1'000)};
  std::uint64_t events_ = 0;
  std::map<std::pair<TimePoint, std::uint64_t>, std::function<void()>> queue_;
  std::vector<Host> hosts_;
  std::vector<Target> targets_;
  std::vector<OwnershipTable> log_;
  std::optional<OwnershipTable> newest_;
  std::vector<Fence> highest_fence_;
  // Of each sampled key: who took and released it, for reports of faults.
  std::vector<std::deque<std::string>> history_;
  std::string first_violation_;
  int leader_ = 0;
};

}  // namespace toucandock::core::keyspace

#endif  // TOUCANDOCK_TESTS_CORE_KEYSPACE_COORDINATOR_FIXTURE_H_
