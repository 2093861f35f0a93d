#ifndef TOUCANDOCK_CORE_REQUEST_ATTEMPT_PLACEMENT_H_
#define TOUCANDOCK_CORE_REQUEST_ATTEMPT_PLACEMENT_H_

#include <string>
#include <utility>
#include <vector>

#include "absl/strings/string_view.h"
#include "core/control/records.h"
#include "core/request/attempt_registry.h"

namespace toucandock::core::request {

std::vector<control::HostInfo> RegistryHosts(
    const std::vector<control::HostInfo>& members,
    absl::string_view service,
    absl::string_view request_id);

// Attempt records that have to be sent to a host after a change of membership.
struct Handover {
  control::HostInfo to;
  std::vector<AttemptRecord> records;
};

std::vector<Handover> PlanHandover(const std::vector<AttemptRecord>& records,
                                   const std::vector<control::HostInfo>& before,
                                   const std::vector<control::HostInfo>& after,
                                   const HostId& self);

}  // namespace toucandock::core::request

#endif  // TOUCANDOCK_CORE_REQUEST_ATTEMPT_PLACEMENT_H_
