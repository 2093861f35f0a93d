#ifndef TOUCANDOCK_ENTRY_CONTROL_H_
#define TOUCANDOCK_ENTRY_CONTROL_H_

#include "net/socket.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <string>

#include "absl/status/status.h"
#include "core/discovery/evacuations.h"
#include "core/discovery/target_directory.h"
#include "core/keyspace/grant_coordinator.h"
#include "core/keyspace/leader_membership.h"
#include "entry/admission_control.h"
#include "entry/peer_json.h"
#include "entry/peer_relay.h"
#include "entry/permit_link.h"
#include "entry/platform_hooks.h"
#include "entry/poison_control.h"
#include "entry/routing_view.h"
#include "entry/settings.h"
#include "entry/stream_follower.h"

namespace toucandock::entry {

using PublishView = std::function<void(std::shared_ptr<const RoutingView>)>;
using DeliverPermits =
    std::function<void(const std::vector<core::warmup::PermitAnswer>&)>;

// Control state of one entry host: the configuration, the targets and the
// owners of keys, as read from the store. On the leader, it also runs the
// coordinators that decide about owners. All calls must be made on the thread
// of the io_context.
class Control {
 public:
  Control(boost::asio::io_context& io,
          const EntrySettings& settings,
          const PlatformHooks& platform,
          PublishView publish,
          DeliverPermits deliver_permits,
          PublishAdmitted publish_admitted);

  absl::Status Start();
  // Address ("IP:PORT") at which the other hosts reach this one.
  std::string peer_address() const { return relay_.address(); }
  // Takes the load of this host's own requests. If another host decides about
  // the owners of the service, the report is forwarded to that host.
  void OnLoad(const core::keyspace::LoadReport& report);
  // Takes reports about targets that crashed while they ran requests of this
  // host, and about complete responses to suspected requests.
  void OnPoisonUpdate(const PoisonUpdate& update) {
    poison_.OnLocalUpdate(update);
  }
  // Asks the leader for permits to send requests of this host to cold targets.
  void AskPermits(const std::vector<core::warmup::PermitQuestion>& questions) {
    permit_link_.Ask(questions);
  }
  // Gives up leadership before the process ends, so that another host can
  // become the leader at once.
  void Leave();

 private:
  using Coordinator = core::keyspace::GrantCoordinator;

  FollowerHooks FollowerHooksFor(Stream stream);
  void OnConfigRecord(const StoredRecord& record);
  void OnEvacuationRecord(const std::string& failure_domain, bool removed);
  void RetainEvacuations(const std::vector<StoredRecord>& listed);
  void EndEvacuation(const std::string& failure_domain);
  bool ShouldYieldLeadership(core::TimePoint now) const;
  size_t CountEvacuatedOwners() const;
  size_t CountTargetsIn(const std::string& failure_domain) const;
  bool OnTargetRecord(const StoredRecord& record, bool complete);
  void OnOwnershipRecord(const StoredRecord& record);
  void OnOlderRecord(const StoredRecord& record);
  void OnRecords(Stream stream, const ReadResult& result, bool complete);
  void OnStoreEra(core::Era era);
  void OnStoreAnswer();
  void OnStoreFailure();
  void RenewMembership();
  void OnMembershipResult(const MembershipResult& result,
                          core::TimePoint requested_at);
  void ApplyExpirations();
  void Tick();
  void RunCoordinators();
  void UpdateAdmission();
  void Execute(Coordinator& coordinator, const core::keyspace::Action& action);
  void Append(Coordinator& coordinator,
              const core::keyspace::AppendCommand& command);
  void ResolveAppend(Coordinator& coordinator, core::Offset at);
  std::string AddressOf(const core::discovery::TargetInstance& instance) const;
  void OnTargetsChanged();
  void SyncCoordinators();
  void MarkChanged();
  void Publish();
  const core::routing::ColdLimit* ColdLimitOf(const std::string& service) const;
  void UpdateColdRates();
  NewestTable FindNewestTable() const;
  PermitLinkHooks MakePermitHooks(DeliverPermits deliver);
  PeerRelayHooks MakeRelayHooks();
  PoisonControlHooks MakePoisonHooks();
  void StorePoison(const std::string& value, std::function<void(bool)> done);
  void UpdateLiveHosts();
  void OnLoadReport(const core::keyspace::LoadReport& report);
  core::keyspace::MembershipRenewal NextMembershipRenewal() const;
  void ScheduleMembership(core::Duration delay);
  bool IsActive() const;
  PoisonWriter CurrentPoisonWriter() const;

  boost::asio::io_context& io_;
  const EntrySettings settings_;
  const PlatformHooks& platform_;
  const PublishView publish_;
  const std::string writer_;
  std::minstd_rand random_;
  boost::asio::steady_timer tick_timer_;
  boost::asio::steady_timer membership_timer_;
  Followers followers_;
  PeerRelay relay_;
  PoisonControl poison_;
  PermitLink permit_link_;
  AdmissionControl admission_;
  // Whether each stream has been read at least once.
  std::map<Stream, bool> was_read_;
  std::shared_ptr<const core::routing::RouteTable> routes_;
  core::discovery::TargetDirectory directory_;
  core::discovery::Evacuations evacuations_;
  // The next time at which a target of a service with a limit becomes warm.
  std::optional<core::TimePoint> next_warm_at_;
  // At the last published view.
  size_t evacuated_owners_ = 0;
  std::map<core::discovery::TargetInstance, std::string> addresses_;
  std::map<std::string, std::unique_ptr<Coordinator>> coordinators_;
  // Newest ownership table of each service, also of services that no
  // configuration names yet.
  std::map<std::string, core::keyspace::OwnershipTable> tables_;
  core::Offset ownership_end_ = 0;
  int live_hosts_ = 1;
  // Last estimate of the number of members of the store's group.
  int member_hosts_ = 1;
  // Number of hosts that the leader has reported, including itself.
  int peer_hosts_ = 0;
  bool store_lost_ = false;
  core::Era store_era_ = 0;
  std::uint64_t odd_store_eras_ = 0;
  // When this host learned of the era.
  core::TimePoint era_began_at_{};
  // Since when the store has answered this host; empty while it does not.
  std::optional<core::TimePoint> store_up_since_;
  bool publish_pending_ = false;
  bool leaving_ = false;
  bool is_leader_ = false;
  // Whether this host renews its membership of the group from which the store
  // chooses the leader.
  bool is_member_ = true;
  // Whether this host decided about owners when the coordinators last ran.
  bool active_ = false;
};

}  // namespace toucandock::entry

#endif  // TOUCANDOCK_ENTRY_CONTROL_H_
