#ifndef TOUCANDOCK_ENTRY_ADMISSION_CONTROL_H_
#define TOUCANDOCK_ENTRY_ADMISSION_CONTROL_H_

#include <chrono>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "core/discovery/target_directory.h"
#include "core/keyspace/admitted_fractions.h"
#include "core/keyspace/admitted_list.h"
#include "core/routing/route_table.h"
#include "core/time.h"

namespace toucandock::entry {

// The list of admitted fractions for the traffic thread; immutable once
// published.
struct AdmittedView {
  core::keyspace::AdmittedLists lists;
  // By the steady clock.
  core::TimePoint valid_until{};
};

using PublishAdmitted =
    std::function<void(std::shared_ptr<const AdmittedView>)>;

// The control thread's part in the admission of keyed requests: computes the
// list of admitted fractions on the leader, keeps the one that other hosts
// receive, and publishes it. Times are those of the lease clock.
class AdmissionControl {
 public:
  explicit AdmissionControl(PublishAdmitted publish);

  void OnLoad(const core::keyspace::LoadReport& report, core::TimePoint now);
  void OnTargets(const core::discovery::TargetDirectory& directory,
                 const core::routing::RouteTable* routes);
  // `led`: the ownership tables of the services whose owners this host decides
  // about.
  void Tick(const std::vector<const core::keyspace::OwnershipTable*>& led,
            core::TimePoint now);
  // Takes what the leader or a relay has sent.
  void OnUpdate(const core::keyspace::AdmittedUpdate& update,
                core::TimePoint received_at,
                core::TimePoint now);
  // Version of the list that this host knows.
  std::uint32_t version() const { return list_.version(); }
  std::optional<core::keyspace::AdmittedUpdate> MakeUpdate(
      std::uint32_t known_version,
      core::TimePoint now) const {
    return list_.MakeUpdate(known_version, now);
  }

 private:
  void Publish(core::TimePoint now);

  const PublishAdmitted publish_;
  std::map<std::string, core::keyspace::AdmissionPlanner> planners_;
  core::keyspace::AdmittedList list_;
  core::TimePoint next_update_{};
  bool computes_ = false;
  // Whether the published list has ranges.
  bool is_limiting_ = false;
};

}  // namespace toucandock::entry

#endif  // TOUCANDOCK_ENTRY_ADMISSION_CONTROL_H_
