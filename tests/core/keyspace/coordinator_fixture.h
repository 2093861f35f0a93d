#ifndef TOUCANDOCK_TESTS_CORE_KEYSPACE_COORDINATOR_FIXTURE_H_
#define TOUCANDOCK_TESTS_CORE_KEYSPACE_COORDINATOR_FIXTURE_H_

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "core/keyspace/grant_coordinator.h"

namespace toucandock::core::keyspace {

struct SimulationOptions {
  int hosts = 3;
  int targets = 4;
  // Fraction of the commands and appends that get no response. Half of them are
  // carried out nevertheless.
  double lost_answers = 0;
  // Fraction of the other half that is carried out 2 to 12 s later. The lease
  // of a grant still counts from its arrival.
  double late_commands = 0;
  Duration max_delay = std::chrono::milliseconds(20);
  std::uint64_t seed = 1;
};

// Simulates several coordinators, a store with conditional appends and targets
// that accept grants, in virtual time. Checks at the targets that no key has
// two holders and that fences increase from holder to holder.
class CoordinatorSimulation {
 public:
  explicit CoordinatorSimulation(const SimulationOptions& options);

  void Run(Duration time);
  void StopLosingAnswers() { options_.lost_answers = 0; }
  // The store confirms this host as the leader from its next confirmation on.
  void SetLeader(int host) { leader_ = host; }
  int leader() const { return leader_; }
  void CutFromStore(int host, bool cut) { hosts_[host].cut = cut; }
  // The store is unavailable for this long. It comes back in the next era, from
  // a copy that lacks the last `lost_records` records, and confirms this host
  // as the leader, since its groups went back as well.
  void RestoreStore(Duration away, size_t lost_records, int leader);
  // Cuts messages between two hosts. If `one_way`, those of the second one
  // still arrive.
  void CutHosts(int host, int other, bool cut, bool one_way = false);
  // Cuts one host from one target.
  void CutPath(int host, int target, bool cut);
  int hosts() const { return options_.hosts; }
  // A paused host neither acts nor processes what arrives.
  void Pause(int host, bool paused);
  void RestartHost(int host);
  void CutTarget(int target, bool cut) { targets_[target].cut = cut; }
  // New connections to the target are refused on their way, while the target
  // runs and its open connections work.
  void RefuseConnects(int target, bool refuses) {
    targets_[target].refuses_connects = refuses;
  }
  // The target closes its connections for grants.
  void CloseConnections(int target);
  void CrashTarget(int target);
  // The target starts again with the same id and holds no keys.
  void RestartTarget(int target);
  void SetDraining(int target, bool draining);
  void SetListed(int target, bool listed);
  void Load(std::uint32_t key, int requests);

  // Returns the target that holds the key now; negative if there is none.
  int HolderOf(std::uint32_t key) const;
  // Returns the fraction of the sampled keys that are served according to the
  // newest record and held by their owner.
  double ServedFraction() const;
  const std::optional<OwnershipTable>& Newest() const { return newest_; }
  // Returns the first violation of the checks; empty if there is none so far.
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
    bool refuses_connects = false;
    // Indexed by sampled key.
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
    // Era of the store that the host knows, and number of records of this era
    // that it has read.
    Era era = 0;
    Offset read = 0;
    bool store_lost = false;
    std::optional<TimePoint> store_up_since;
    // Hosts and targets that its messages do not reach.
    std::set<int> cut_hosts;
    std::set<int> cut_targets;
    // The time of the last message that each host sent to this one.
    std::map<int, TimePoint> stamps;
    // The instance of each target to which the host has a connection for
    // grants.
    std::map<std::string, std::int64_t> connected;
  };

  void At(Duration after, std::function<void()> event);
  // Runs the event once the host is not paused, unless the host was restarted
  // since this call.
  void ToHost(int host, Duration after, std::function<void()> event);
  Duration Delay();
  Duration LateDelay();
  bool Chance(double probability);
  void Step(int host);
  void Confirm(int host);
  void AskForLeadership(int host);
  void SendHeartbeat(int host);
  void SendHostMessage(int from, int to, std::function<void()> event);
  void ReadStore(int host);
  void ReadRecords(int host, Offset end);
  bool Reaches(int host) const;
  void LearnEra(int host, Era era);
  // Returns whether the record was appended.
  bool Store(const AppendCommand& command);
  void Execute(int host, const Action& action);
  CommandResult Apply(const GrantCommand& command, TimePoint arrived);
  CommandResult Apply(const ReleaseCommand& command, TimePoint arrived);
  Target* Find(const TargetInstance& instance);
  bool IsConnectRefused(int host, const TargetInstance& instance) const;
  Target* FindFrom(int host, const TargetInstance& instance);
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
  Era era_ = 0;
  TimePoint store_back_at_{};
  std::optional<OwnershipTable> newest_;
  std::vector<Fence> highest_fence_;
  // For each sampled key, who took and released it, to explain violations.
  std::vector<std::deque<std::string>> history_;
  std::string first_violation_;
  int leader_ = 0;
};

}  // namespace toucandock::core::keyspace

#endif  // TOUCANDOCK_TESTS_CORE_KEYSPACE_COORDINATOR_FIXTURE_H_
