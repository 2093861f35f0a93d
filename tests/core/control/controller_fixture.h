#ifndef TOUCANDOCK_TESTS_CORE_CONTROL_CONTROLLER_FIXTURE_H_
#define TOUCANDOCK_TESTS_CORE_CONTROL_CONTROLLER_FIXTURE_H_

#include <chrono>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <tuple>
#include <utility>
#include <vector>

#include "core/control/host_controller.h"
#include "core/control/messages.h"
#include "core/routing/routing_snapshot.h"

namespace toucandock::core::control::testing {

using Task = std::function<void()>;

// One request that a target ran.
struct Run {
  TimePoint at;
  TimePoint until;
  TargetId target;
  Unit unit;
  Fence fence = 0;
};

struct FakeTarget {
  TargetId id;
  std::string address;
  bool checks_fences = false;
  Duration clock_offset{};
  int drift_permille = 0;

  bool alive = true;
  bool paused = false;
  int process = 1;
  TargetHealth health = TargetHealth::kServing;
  std::tuple<Ballot, std::uint64_t> grant_position;
  Duration grant_expires{};
  std::map<Unit, Fence> granted;
  // Messages that arrived while the target was paused.
  std::deque<Task> queued_messages;
};

// One process of an entry host.
struct FakeHost {
  struct Request {
    std::uint64_t sequence = 0;
    Unit unit;
    bool sent = true;
  };

  HostInfo info;
  Duration clock_offset{};
  int drift_permille = 0;
  std::unique_ptr<HostController> controller;
  std::shared_ptr<const routing::RoutingSnapshot> snapshot;

  bool alive = true;
  bool paused = false;
  std::deque<Task> queued_messages;
  bool read_all = true;
  Offset next_read = 0;
  std::map<std::uint64_t, Request> in_flight;
  std::uint64_t highest_config = 0;
};

struct FakeLog {
  bool available = true;
  // Appends are stored but their responses are lost, as when a service fails
  // between the two.
  bool loses_answers = false;
  Duration delay = std::chrono::milliseconds(2);
  Offset first_retained = 0;
  std::vector<LogEntry> entries;
  // Selects the appends that are delayed, if set. Fleet::ReleaseAppends()
  // stores them.
  std::function<bool(const Record&)> delays_append;
  std::vector<Record> delayed_appends;
};

// Runs host controllers against a log, targets and links that are all in memory
// and in virtual time. While time passes, every host sends requests for every
// unit as the proxy does: according to its published snapshot and while it
// holds a serving lease. Violations are derived from the journal of the targets
// and from what hosts would send, not from what a leader knows.
class Fleet {
 public:
  explicit Fleet(std::uint64_t seed = 1);

  Fleet(const Fleet&) = delete;
  Fleet& operator=(const Fleet&) = delete;

  // Starts a process at the address. A process that runs there already is
  // killed.
  FakeHost& StartHost(const std::string& address,
                      const std::vector<std::string>& seeds = {});
  // Starts h1..hN and waits until all units are served.
  bool StartFleet(int hosts);
  void Kill(const std::string& address);
  // Asks a host for a planned stop. Its process runs until it is killed.
  void Stop(const std::string& address);
  void Pause(const std::string& address);
  void Resume(const std::string& address);
  void RestartTarget(const std::string& address);
  void Cut(const std::string& a, const std::string& b);
  void Isolate(const std::string& address,
               const std::vector<std::string>& from);
  void HealLinks() { cuts_.clear(); }
  std::string Publish(const std::string& text, std::uint64_t edited_from);
  void ReleaseAppends();
  // Sets the platform's list; entries that begin with '-' are leaving.
  void SetHostList(std::vector<std::string> addresses);
  // Runs once just before the hosts get the next list.
  void OnNextHostList(Task task) { before_host_list_ = std::move(task); }
  // Sends one request now, whether or not the host is allowed to.
  void SendRequest(FakeHost& host,
                   const TargetId& target,
                   const Unit& unit,
                   Fence fence);

  void RunFor(Duration duration);
  // Returns the time until the condition was met, or nullopt when the limit
  // passed first.
  std::optional<Duration> RunUntil(const std::function<bool()>& condition,
                                   Duration limit);

  FakeHost& Host(const std::string& address) const;
  FakeTarget& Target(const std::string& address);
  std::vector<FakeHost*> LiveHosts() const;
  FakeHost* LeaderHost() const;
  // The target that hosts with a lease would send to; empty when there is none.
  TargetId OwnerOf(const Unit& unit) const;
  std::vector<Unit> Units() const;
  std::vector<Unit> UnitsOf(const TargetId& target) const;
  bool HasLease(const FakeHost& host) const;
  bool IsServing() const;
  std::string ViolationSummary() const;
  const Run* LastRun(const Unit& unit) const;
  TimePoint now() const { return now_; }
  TimePoint LocalNow(const FakeHost& host) const;

  FakeLog log;
  std::map<std::string, config::Config> configs;
  double loss = 0;
  Duration link_delay = std::chrono::milliseconds(1);
  Duration work_time = std::chrono::milliseconds(2);
  // Hosts whose requests stay partly written until they time out.
  std::set<std::string> stalled_senders;
  // How long each request takes to be written.
  Duration sending_time{};
  bool traffic = true;
  Duration traffic_interval = std::chrono::milliseconds(10);
  std::vector<Run> journal;
  std::vector<std::string> decisions;
  // Violations of the rules that a unit has only one owner and that fences and
  // configuration versions never decrease.
  std::vector<std::string> violations;
  // Requests that ran while another target still ran one for the same unit.
  std::vector<std::string> overlaps;

 private:
  struct Scheduled {
    TimePoint at;
    std::uint64_t order = 0;
    bool operator<(const Scheduled& other) const {
      return std::tie(at, order) < std::tie(other.at, other.order);
    }
  };
  using HostPtr = std::shared_ptr<FakeHost>;

  void After(Duration delay, Task task);
  bool Transmit(const std::string& from, const std::string& to, Task task);
  HostPtr HostAt(const std::string& address) const;
  void Deliver(const HostPtr& host, const Event& event);
  void OnHost(const HostPtr& host, Task task);
  void OnTarget(FakeTarget& target, const Task& task);

  void Tick(const HostPtr& host);
  void ReadLog(const HostPtr& host);
  void ExecuteAction(const HostPtr& host, const Action& action);
  void Append(const HostPtr& host, const Record& record);
  void Store(const Record& record);
  // Sends a request to the process at the address and delivers its reply, or
  // nullopt after a timeout.
  template <typename ReplyAction, typename Reply>
  void Exchange(const HostPtr& host,
                const std::string& address,
                const std::function<Event(std::uint64_t)>& make_request,
                std::function<void(std::optional<Reply>)> deliver);
  void Call(const HostPtr& host, const SendRenewAction& action);
  void Call(const HostPtr& host, const SendVoteAction& action);
  void Call(const HostPtr& host, const FetchStateAction& action);
  void Contact(const HostPtr& host,
               const std::string& address,
               const std::function<TargetAnswer(FakeTarget&)>& serve,
               const std::function<Event(TargetAnswer)>& make_event);
  TargetAnswer ApplyGrant(FakeTarget& target, const Grant& grant);
  TargetAnswer AnswerOf(const FakeTarget& target, ContactResult result) const;
  Duration ClockOf(const FakeTarget& target) const;

  void SendTraffic(const HostPtr& host);
  void Send(const HostPtr& host,
            const TargetId& target,
            const Unit& unit,
            Fence fence,
            std::uint64_t sequence);
  void Arrive(const HostPtr& host,
              const TargetId& target,
              const Unit& unit,
              Fence fence,
              const std::function<void(detection::ObservationKind)>& done);
  bool Accepts(const FakeTarget& target, const Unit& unit, Fence fence) const;
  void RecordRun(const FakeTarget& target, const Unit& unit, Fence fence);
  void CheckHosts();

  TimePoint now_;
  std::uint64_t next_order_ = 0;
  std::uint64_t next_token_ = 1;
  std::uint64_t next_id_ = 1;
  int processes_ = 0;
  std::map<Scheduled, Task> scheduled_;
  std::map<std::string, HostPtr> hosts_;
  std::map<std::string, FakeTarget> targets_;
  std::set<std::pair<std::string, std::string>> cuts_;
  std::map<std::uint64_t, std::function<void(const Action&)>> replies_;
  std::optional<std::vector<ListedHost>> host_list_;
  Task before_host_list_;
  std::map<Unit, size_t> last_run_;
  std::mt19937_64 random_;
};

}  // namespace toucandock::core::control::testing

#endif  // TOUCANDOCK_TESTS_CORE_CONTROL_CONTROLLER_FIXTURE_H_
